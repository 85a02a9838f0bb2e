#include "reservations.h"

#include "log.h"

namespace magnolia {
namespace {

/// Renewals within the time to live of a reservation: two may be lost.
constexpr int renewals_per_ttl = 3;
/// Timeout of each request: a round trip between zones with one lost packet.
constexpr std::chrono::milliseconds response_timeout{400};
constexpr unsigned status_ok = 200;

const logger& log_of() {
    static const logger log{"memory"};
    return log;
}

} // namespace

reservation_manager::reservation_manager(boost::asio::io_context& context, http_client& client,
                                         const gateway_codec& codec, milliseconds ttl)
    : client_{client}, codec_{codec}, ttl_{ttl}, timer_{context} {}

void reservation_manager::send_request(const endpoint& address, http_request request,
                                       std::function<void(bool)> on_done) {
    http_call_limits limits;
    limits.connect_timeout = response_timeout;
    limits.inactivity_timeout = response_timeout;
    limits.total_timeout = response_timeout;
    limits.max_body_bytes = config::max_order_answer_bytes;
    client_.call(address, std::move(request), limits,
                 [on_done = std::move(on_done)](const auto& response) {
                     on_done(response && response->status == status_ok);
                 });
}

void reservation_manager::reserve(const std::string& id, std::vector<memory_share> shares,
                                  std::function<void(bool)> on_done) {
    auto& reservation = reservations_[id];
    reservation.shares = std::move(shares);
    reservation.on_done = std::move(on_done);
    for (const auto& share : reservation.shares) {
        send_request(share.address, codec_.write_reserve(share.backend, id, share.tokens, ttl_),
                     [this, id](bool is_granted) { on_reserve_response(id, is_granted); });
    }
    if (reservations_.size() == 1) {
        schedule_renewal();
    }
}

void reservation_manager::on_reserve_response(const std::string& id, bool is_granted) {
    const auto found = reservations_.find(id);
    if (found == reservations_.end()) {
        return;
    }
    auto& reservation = found->second;
    ++reservation.responses;
    reservation.granted += is_granted ? 1 : 0;
    if (reservation.responses < reservation.shares.size()) {
        return;
    }
    const bool all_granted = reservation.granted == reservation.shares.size();
    const auto on_done = std::exchange(reservation.on_done, {});
    if (!all_granted) {
        log_of().info("reservation " + id + " was granted " + std::to_string(reservation.granted) +
                      " of " + std::to_string(reservation.shares.size()) +
                      " shares; all are released");
        release(id);
    }
    if (on_done) {
        on_done(all_granted);
    }
}

void reservation_manager::release(const std::string& id) {
    const auto node = reservations_.extract(id);
    if (node.empty()) {
        return;
    }
    for (const auto& share : node.mapped().shares) {
        send_request(share.address, codec_.write_release(share.backend, id),
                     [id](bool is_confirmed) {
                         if (!is_confirmed) {
                             log_of().warn("release of reservation " + id +
                                           " was not confirmed by the engine; it expires there");
                         }
                     });
    }
}

void reservation_manager::renew_all() {
    for (const auto& [id, reservation] : reservations_) {
        for (const auto& share : reservation.shares) {
            send_request(share.address, codec_.write_reserve(share.backend, id, share.tokens, ttl_),
                         [id = id](bool is_granted) {
                             if (!is_granted) {
                                 log_of().warn("renewal of reservation " + id +
                                               " was not confirmed by the engine; "
                                               "retried at the next renewal");
                             }
                         });
        }
    }
    schedule_renewal();
}

void reservation_manager::schedule_renewal() {
    if (reservations_.empty()) {
        return;
    }
    timer_.expires_after(ttl_ / renewals_per_ttl);
    timer_.async_wait([this](const auto& failure) {
        if (!failure) {
            renew_all();
        }
    });
}

} // namespace magnolia
