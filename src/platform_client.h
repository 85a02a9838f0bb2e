/// Executes calls to the platform on a duty: priorities, the process's share of the platform's
/// rates, timeouts, jittered return after outages.
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

/// Called once with the reply or the failure. platform_down after a write: the write may have taken
/// effect, or may still do so; see conditional_write.h.
using platform_reply_handler = std::function<void(const result<platform_reply>& reply)>;

/// The platform over HTTP. Without a codec it speaks the interface of docs/backends/platform.md.
class http_platform_transport {
public:
    http_platform_transport(boost::asio::io_context& context, endpoint address,
                            const store_codec* codec);

    void execute(const platform_call& call, std::chrono::milliseconds timeout,
                 platform_reply_handler done);
    void set_address(const endpoint& address) { address_ = address; }

private:
    http_client client_;
    endpoint address_;
    const store_codec* codec_;
};

/// Back ends that the client can talk to.
using platform_transport = std::variant<http_platform_transport>;

/// Client of one process. All members are called on the context's thread; callbacks come on it and
/// never from inside execute().
class platform_client {
public:
    /// @param seed   seed of the jitter.
    /// @param codec  codec of a deployment, which has to outlive the client; null for the
    /// product's.
    platform_client(boost::asio::io_context& context, const endpoint& address,
                    const platform_budget& budget, std::uint64_t seed,
                    const store_codec* codec = nullptr);
    ~platform_client();
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;

    /// Queues a call. It fails with platform_busy, without effect, if it could not be sent in time,
    /// and with platform_down if it was sent and not answered.
    void execute(platform_call call, call_priority priority, platform_reply_handler done);

    /// Calls that are sent from now on go to another address.
    void set_address(const endpoint& address);

    /// Whether the platform answered last.
    [[nodiscard]] bool is_up() const { return scheduler_.is_up(); }
    /// Sets a function that is called when is_up() changes.
    void on_change(std::function<void(bool is_up)> changed) { on_change_ = std::move(changed); }

private:
    struct pending_call {
        platform_call call;
        platform_reply_handler done;
    };

    void run(time_point now);
    void send(std::uint64_t number);
    void on_answer(std::uint64_t number, const result<platform_reply>& reply);
    void finish(std::uint64_t number, const result<platform_reply>& reply);
    void post_failure(std::uint64_t number, const error& failure);
    void run_at(time_point when);

    platform_transport transport_;
    platform_budget budget_;
    platform_scheduler scheduler_;
    std::uint64_t next_number_ = 1;
    std::map<std::uint64_t, pending_call> calls_;
    std::function<void(bool)> on_change_;
    boost::asio::steady_timer timer_;
    /// Time for which the timer is set.
    time_point timer_due_ = time_point::max();
    /// Expires with the client, so that late answers find it gone.
    std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

} // namespace magnolia
