#include "reservations.h"

#include "log.h"

namespace magnolia {
namespace {

/// Renewals in the span of a reservation: two may be lost.
constexpr int renewals_per_hold = 3;
/// Longest wait for the answer to an order: a round trip between zones with a lost packet.
constexpr std::chrono::milliseconds order_timeout{400};
constexpr unsigned status_ok = 200;

const logger& log_of() {
    static const logger log{"memory"};
    return log;
}

} // namespace

reservation_manager::reservation_manager(boost::asio::io_context& context, http_client& client,
                                         const gateway_codec& codec, milliseconds hold)
    : client_{client}, codec_{codec}, hold_{hold}, timer_{context} {}

void reservation_manager::order(const endpoint& address, http_request request,
                                std::function<void(bool)> done) {
    http_call_limits limits;
    limits.connect_timeout = order_timeout;
    limits.inactivity_timeout = order_timeout;
    limits.total_timeout = order_timeout;
    client_.call(address, std::move(request), limits, [done = std::move(done)](const auto& answer) {
        done(answer && answer->status == status_ok);
    });
}

void reservation_manager::reserve(const std::string& name, std::vector<memory_share> parts,
                                  std::function<void(bool)> done) {
    auto& item = held_[name];
    item.parts = std::move(parts);
    item.done = std::move(done);
    for (const auto& part : item.parts) {
        order(part.address, codec_.write_reserve(name, part.tokens, hold_),
              [this, name](bool is_granted) { on_answer(name, is_granted); });
    }
    if (held_.size() == 1) {
        schedule();
    }
}

void reservation_manager::on_answer(const std::string& name, bool is_granted) {
    const auto found = held_.find(name);
    if (found == held_.end()) {
        return;
    }
    auto& item = found->second;
    ++item.answers;
    item.grants += is_granted ? 1 : 0;
    if (item.answers < item.parts.size()) {
        return;
    }
    const bool has_all = item.grants == item.parts.size();
    const auto done = std::exchange(item.done, {});
    if (!has_all) {
        log_of().info("reservation " + name + " got " + std::to_string(item.grants) + " of " +
                      std::to_string(item.parts.size()) + " parts; released");
        release(name);
    }
    if (done) {
        done(has_all);
    }
}

void reservation_manager::release(const std::string& name) {
    const auto node = held_.extract(name);
    if (node.empty()) {
        return;
    }
    for (const auto& part : node.mapped().parts) {
        order(part.address, codec_.write_release(name), [name](bool is_done) {
            if (!is_done) {
                log_of().warn("release of " + name + " was not confirmed; it lapses by itself");
            }
        });
    }
}

void reservation_manager::renew_all() {
    for (const auto& [name, item] : held_) {
        for (const auto& part : item.parts) {
            order(part.address, codec_.write_reserve(name, part.tokens, hold_),
                  [name = name](bool is_granted) {
                      if (!is_granted) {
                          log_of().warn("renewal of " + name + " was not confirmed");
                      }
                  });
        }
    }
    schedule();
}

void reservation_manager::schedule() {
    if (held_.empty()) {
        return;
    }
    timer_.expires_after(hold_ / renewals_per_hold);
    timer_.async_wait([this](const auto& failure) {
        if (!failure) {
            renew_all();
        }
    });
}

} // namespace magnolia
