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
    /// @param hold  span of each reservation; renewed three times in it.
    reservation_manager(boost::asio::io_context& context, http_client& client,
                        const gateway_codec& codec, milliseconds hold);

    /// Span of the reservations and renewals that are asked for from now on.
    void set_ttl(milliseconds hold) { hold_ = hold; }
    /// Reserves every part under the name; `done` is told whether all were granted. If not, those
    /// that were or may have been granted are released.
    void reserve(const std::string& name, std::vector<memory_share> parts,
                 std::function<void(bool)> done);
    /// Releases every part; unknown names are ignored.
    void release(const std::string& name);
    [[nodiscard]] std::size_t size() const { return held_.size(); }

private:
    struct reservation {
        std::vector<memory_share> parts;
        std::size_t answers = 0;
        std::size_t grants = 0;
        std::function<void(bool)> done;
    };

    void order(const endpoint& address, http_request request, std::function<void(bool)> done);
    void on_answer(const std::string& name, bool is_granted);
    void renew_all();
    void schedule();

    http_client& client_;
    const gateway_codec& codec_;
    milliseconds hold_;
    boost::asio::steady_timer timer_;
    std::map<std::string, reservation> held_;
};

} // namespace magnolia
