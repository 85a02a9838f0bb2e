/// Reservations of engine memory for prompts that fit no single engine: made at all engines or at
/// none, renewed while the request runs, released at its end. Held for short spans, so that memory
/// is free soon after its owner has died.
#pragma once

#include "gateway_port.h"
#include "http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>

namespace magnolia {

/// Memory on one engine.
struct memory_share {
    endpoint address;
    std::uint32_t tokens = 0;
};

class reservation_manager {
public:
    /// @param ttl  span of each reservation; renewed three times in it.
    reservation_manager(boost::asio::io_context& context, http_client& client,
                        const gateway_codec& codec, milliseconds ttl);

    /// Span of the reservations and renewals that are asked for from now on.
    void set_ttl(milliseconds ttl) { ttl_ = ttl; }
    /// Reserves every part under the id; `done` is told whether all were granted. If not, those
    /// that were or may have been granted are released.
    void reserve(const std::string& id, std::vector<memory_share> parts,
                 std::function<void(bool)> done);
    /// Releases every part; unknown names are ignored.
    void release(const std::string& id);
    [[nodiscard]] std::size_t size() const { return reservations_.size(); }

private:
    struct reservation {
        std::vector<memory_share> parts;
        std::size_t responses = 0;
        std::size_t granted = 0;
        std::function<void(bool)> done;
    };

    void send_order(const endpoint& address, http_request request, std::function<void(bool)> done);
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
