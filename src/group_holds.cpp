#include "group_holds.h"

#include <algorithm>
#include <ranges>

namespace magnolia {
namespace {

/// Timeout of a reservation request.
constexpr duration reserve_timeout = std::chrono::seconds{2};
/// Interval at which an unanswered release is repeated.
constexpr duration release_retry_interval = std::chrono::seconds{1};
/// Renewals per expiry period.
constexpr int renewals_per_expiry = 3;

} // namespace

group_holds::group_holds(command_id_generator& ids, duration expiry) : ids_{ids}, expiry_{expiry} {}

void group_holds::begin_round(std::vector<group_hold> holds) {
    ++round_;
    reservation_ = to_string(ids_.request) + "." + std::to_string(round_);
    holds_ = std::move(holds);
}

void group_holds::replace(std::size_t index, named_engine target, time_point now,
                          std::vector<engine_command>& out) {
    auto& hold = holds_[index];
    if (hold.state != hold_state::none) {
        release(hold.target.engine, reservation_, now, out);
    }
    hold = {.target = std::move(target), .tokens = hold.tokens};
}

bool group_holds::request_next(time_point now, std::vector<engine_command>& out) {
    auto missing = holds_ | std::views::filter([](const group_hold& hold) {
                       return hold.state != hold_state::held;
                   });
    const auto first = std::ranges::min_element(
        missing, {}, [](const group_hold& hold) -> const std::string& { return hold.target.name; });
    if (first == missing.end()) {
        return false;
    }
    if (first->state == hold_state::none) {
        send_reserve(*first, now, out);
    }
    return true;
}

void group_holds::send_reserve(group_hold& hold, time_point now, std::vector<engine_command>& out) {
    const auto id = ids_.generate();
    hold.number = id.number;
    hold.requested_at = now;
    if (hold.state == hold_state::none) {
        hold.state = hold_state::requested;
    }
    out.emplace_back(engine_reserve{id, hold.target.engine, reservation_, hold.tokens, expiry_});
}

void group_holds::release(engine_handle engine, const std::string& reservation, time_point now,
                          std::vector<engine_command>& out) {
    const auto id = ids_.generate();
    out.emplace_back(engine_release{id, engine, reservation});
    const auto pending = std::ranges::find_if(releases_, [&](const pending_release& item) {
        return item.engine == engine && item.reservation == reservation;
    });
    if (pending != releases_.end()) {
        pending->number = id.number;
        pending->retry_at = now + release_retry_interval;
        return;
    }
    releases_.push_back({engine, reservation, id.number, now + release_retry_interval,
                         now + expiry_ + reserve_timeout});
}

void group_holds::release_all(time_point now, std::vector<engine_command>& out) {
    for (const auto& hold : holds_) {
        if (hold.state != hold_state::none) {
            release(hold.target.engine, reservation_, now, out);
        }
    }
    holds_.clear();
}

hold_result group_holds::on_event(const engine_event& event, time_point now,
                                  std::vector<engine_command>& out) {
    if (const auto* const reserved = std::get_if<engine_reserved>(&event)) {
        return on_reserved(*reserved, now, out);
    }
    if (const auto* const failed = std::get_if<engine_failed>(&event)) {
        return on_failed(*failed, now, out);
    }
    if (const auto* const released = std::get_if<engine_released>(&event)) {
        std::erase_if(releases_, [released](const pending_release& item) {
            return item.number == released->id.number;
        });
    }
    return {};
}

hold_result group_holds::on_reserved(const engine_reserved& event, time_point now,
                                     std::vector<engine_command>& out) {
    const auto hold = std::ranges::find_if(
        holds_, [&event](const group_hold& item) { return item.target.engine == event.engine; });
    if (hold == holds_.end() || event.reservation != reservation_) {
        // The engine granted a reservation that has been abandoned meanwhile.
        release(event.engine, event.reservation, now, out);
        return {};
    }
    const bool is_new = hold->state != hold_state::held;
    hold->state = hold_state::held;
    hold->confirmed_at = now;
    const auto index = static_cast<std::size_t>(hold - holds_.begin());
    return {is_new ? hold_change::confirmed : hold_change::none, index};
}

hold_result group_holds::on_failed(const engine_failed& event, time_point now,
                                   std::vector<engine_command>& out) {
    const auto hold = std::ranges::find(holds_, event.id.number, &group_hold::number);
    if (hold == holds_.end()) {
        return {};
    }
    if (event.certainty != run_certainty::not_run || hold->state == hold_state::held) {
        release(hold->target.engine, reservation_, now, out);
    }
    hold->state = hold_state::none;
    return {hold_change::refused, static_cast<std::size_t>(hold - holds_.begin())};
}

std::optional<std::size_t> group_holds::poll(time_point now, std::vector<engine_command>& out) {
    std::erase_if(releases_, [now](const pending_release& item) { return item.expires_at <= now; });
    std::vector<pending_release> due;
    std::ranges::copy_if(releases_, std::back_inserter(due),
                         [now](const pending_release& item) { return item.retry_at <= now; });
    for (const auto& item : due) {
        release(item.engine, item.reservation, now, out);
    }
    for (std::size_t index = 0; index < holds_.size(); ++index) {
        auto& hold = holds_[index];
        const bool is_unanswered =
            hold.state == hold_state::requested && now >= hold.requested_at + reserve_timeout;
        const bool has_expired =
            hold.state == hold_state::held && now >= hold.confirmed_at + expiry_;
        if (is_unanswered || has_expired) {
            return index;
        }
        if (hold.state == hold_state::held &&
            now >= hold.requested_at + expiry_ / renewals_per_expiry) {
            send_reserve(hold, now, out);
        }
    }
    return std::nullopt;
}

time_point group_holds::next_due() const {
    auto due = time_point::max();
    for (const auto& item : releases_) {
        due = std::min({due, item.retry_at, item.expires_at});
    }
    for (const auto& hold : holds_) {
        if (hold.state == hold_state::requested) {
            due = std::min(due, hold.requested_at + reserve_timeout);
        }
        if (hold.state == hold_state::held) {
            due = std::min({due, hold.requested_at + expiry_ / renewals_per_expiry,
                            hold.confirmed_at + expiry_});
        }
    }
    return due;
}

bool group_holds::is_empty() const {
    return holds_.empty() && releases_.empty();
}

} // namespace magnolia
