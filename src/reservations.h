/// Reservations of engine memory for prompts that do not fit one engine: made on all engines of the
/// group or on none, renewed while the request runs, released at its end. The time to live is short
/// so that memory becomes free soon after its owner has died.
#pragma once

#include "gateway_port.h"
#include "http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>

namespace magnolia {

/// Share of a reservation on one engine.
struct memory_share {
    /// Id of the engine; another process at its address grants nothing.
    std::string backend;
    endpoint address;
    std::uint32_t tokens = 0;
};

/// Makes, renews and releases reservations. Owned by the gateway and used by forwarded calls. Not
/// thread-safe: all calls and callbacks run on the thread of the I/O context.
class reservation_manager {
public:
    /// @param ttl  time to live of each reservation; it is renewed three times within it.
    reservation_manager(boost::asio::io_context& context, http_client& client,
                        const gateway_codec& codec, milliseconds ttl);

    /// Sets the time to live of later reservations and renewals.
    void set_ttl(milliseconds ttl) { ttl_ = ttl; }
    /// Requests every share under the id and calls `on_done` with whether all were granted. If not,
    /// all shares are released, since one without a response may have been granted.
    void reserve(const std::string& id, std::vector<memory_share> shares,
                 std::function<void(bool)> on_done);
    /// Releases every share and stops the renewals; unknown ids are ignored.
    void release(const std::string& id);
    /// Number of reservations, pending ones included.
    [[nodiscard]] std::size_t size() const { return reservations_.size(); }

private:
    struct reservation {
        std::vector<memory_share> shares;
        std::size_t responses = 0;
        std::size_t granted = 0;
        std::function<void(bool)> on_done;
    };

    /// Sends the request and calls `on_done` with whether the engine answered 200.
    void send_request(const endpoint& address, http_request request,
                      std::function<void(bool)> on_done);
    void on_reserve_response(const std::string& id, bool is_granted);
    void renew_all();
    void schedule_renewal();

    http_client& client_;
    const gateway_codec& codec_;
    milliseconds ttl_;
    boost::asio::steady_timer timer_;
    std::map<std::string, reservation> reservations_;
};

} // namespace magnolia
