/// Client of the platform: executes calls on an I/O thread, within the process's share of the
/// platform's rates, by priority, with timeouts and a backoff after outages.
#pragma once

#include "gateway_port.h"
#include "http_client.h"
#include "platform_port.h"
#include "platform_scheduler.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>

namespace magnolia {

/// Called once with the reply or the error. After platform_down, a write may have taken effect or
/// may still do so; see conditional_write.h.
using platform_reply_handler = std::function<void(const result<platform_reply>& reply)>;

/// Called once with all objects of a list, or the first error.
using object_list_handler = std::function<void(const result<std::vector<stored_object>>& objects)>;

/// Reply of the platform as a transport received it.
struct transport_reply {
    result<platform_reply> reply;
    /// Epoch of the store in which the reply was given; absent if the response does not state it.
    std::optional<std::uint64_t> epoch;
};

/// Transport over HTTP. Without a codec it uses the interface of docs/backends/platform.md.
class http_platform_transport {
public:
    http_platform_transport(boost::asio::io_context& context, endpoint address,
                            const store_codec* codec);

    /// Executes a call at once. Errors: those of the codec; platform_down without a response.
    void execute(const platform_call& call, std::chrono::milliseconds timeout,
                 std::function<void(transport_reply)> done);
    void set_address(const endpoint& address) { address_ = address; }

private:
    [[nodiscard]] transport_reply decode(const platform_call& call,
                                         const http_response& response) const;

    http_client client_;
    endpoint address_;
    const store_codec* codec_;
    /// The last call ended without a response.
    bool has_failed_ = false;
};

/// Transports that the client supports.
using platform_transport = std::variant<http_platform_transport>;

/// Client of one process. Queues calls in a platform_scheduler and executes those that it releases.
/// Used on the context's thread only; callbacks run on it and never from inside execute().
class platform_client {
public:
    /// @param seed   seed of the random backoff.
    /// @param codec  codec of a deployment, which has to outlive the client; null for the product's
    ///               own interface.
    platform_client(boost::asio::io_context& context, const endpoint& address,
                    const platform_budget& budget, std::uint64_t seed,
                    const store_codec* codec = nullptr);
    ~platform_client();
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    /// Queues a call. Errors: platform_busy, without effect, if the queue is full or the call was
    /// not sent within the timeout; platform_down if it was sent and not answered; else those of
    /// the platform.
    void execute(platform_call call, call_priority priority, platform_reply_handler done);

    /// Reads a list page by page. Errors: those of execute(), for the first page that fails.
    void list_all(object_list call, call_priority priority, object_list_handler done);

    /// Sends later calls to another address, where another store counts as a restored one. Calls in
    /// flight fail with platform_down when their replies arrive.
    void set_address(const endpoint& address);

    /// Whether the platform is considered reachable; see platform_scheduler::is_up().
    [[nodiscard]] bool is_up() const { return scheduler_.is_up(); }
    /// Epoch of the store as its replies state it; 0 until one does.
    [[nodiscard]] std::uint64_t epoch() const { return epoch_.value_or(0); }
    /// Takes note of the epoch that another host has seen, as of one in a reply. Errors:
    /// platform_down if it is an earlier one.
    [[nodiscard]] result<void> observe_epoch(std::uint64_t epoch) { return check_epoch(epoch); }
    /// Sets a function that is called when a reply shows that the store was restored from a copy,
    /// before that reply is handed on: positions and versions read before mean nothing any more.
    void on_restored(std::function<void()> restored) { on_restored_ = std::move(restored); }
    /// Sets a function that is called when is_up() changes.
    void on_change(std::function<void(bool is_up)> changed) { on_change_ = std::move(changed); }

private:
    struct pending_call {
        platform_call call;
        platform_reply_handler done;
        /// See address_number_.
        std::uint64_t address_number = 0;
    };

    /// Reads the pages of list_all() that follow the objects read so far.
    /// @param epoch  epoch of the pages read so far; absent for the first one.
    void list_next(object_list call, call_priority priority, std::vector<stored_object> objects,
                   std::optional<std::uint64_t> epoch, object_list_handler done);
    /// Sends the calls that the scheduler releases, and fails those that it refuses.
    void dispatch(time_point now);
    /// Executes a call that the scheduler has released.
    void send(std::uint64_t number);
    void on_reply(std::uint64_t number, transport_reply answer);
    /// Records the epoch of a reply. Errors: platform_down if the reply belongs to an earlier
    /// epoch, whose state is lost.
    [[nodiscard]] result<void> check_epoch(std::uint64_t epoch);
    /// Calls the handler of a call and removes the call.
    void complete(std::uint64_t number, const result<platform_reply>& reply);
    /// Fails a call that was not sent, from the event loop instead of the caller's stack.
    void post_failure(std::uint64_t number, const error& failure);
    /// Sets the timer for dispatch(), unless it is set for an earlier time.
    void schedule_dispatch(time_point when);

    platform_transport transport_;
    platform_budget budget_;
    platform_scheduler scheduler_;
    std::uint64_t next_number_ = 1;
    std::map<std::uint64_t, pending_call> calls_;
    std::function<void(bool)> on_change_;
    std::function<void()> on_restored_;
    /// The highest epoch that a reply from the current address has stated.
    std::optional<std::uint64_t> epoch_;
    /// Incremented by set_address().
    std::uint64_t address_number_ = 0;
    boost::asio::steady_timer timer_;
    /// Time for which the timer is set; max() if it is not set.
    time_point timer_due_ = time_point::max();
    /// Expires with the client. Handlers hold a weak reference and ignore replies that arrive
    /// later.
    std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

} // namespace magnolia
