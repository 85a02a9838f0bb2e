#include "group_holds.h"

#include <algorithm>
#include <ranges>

namespace magnolia {
namespace {

/// Time for an engine to answer a reservation.
constexpr duration answer_timeout = std::chrono::seconds{2};
/// Pause before an unanswered release is repeated.
constexpr duration release_repeat = std::chrono::seconds{1};
/// Renewals in the time of an expiry.
constexpr int renewals = 3;

} // namespace

group_holds::group_holds(command_numbers& numbers, duration expiry)
    : numbers_{numbers}, expiry_{expiry} {}

void group_holds::begin_round(std::vector<group_hold> wanted) {
    ++round_;
    reservation_ = to_string(numbers_.request) + "." + std::to_string(round_);
    holds_ = std::move(wanted);
}

void group_holds::replace(std::size_t index, named_engine where, time_point now,
                          std::vector<engine_command>& out) {
    auto& hold = holds_[index];
    if (hold.state != hold_state::none) {
        release(hold.where.engine, reservation_, now, out);
    }
    hold = {.where = std::move(where), .tokens = hold.tokens};
}

bool group_holds::ask_next(time_point now, std::vector<engine_command>& out) {
    auto missing = holds_ | std::views::filter([](const group_hold& hold) {
                       return hold.state != hold_state::held;
                   });
    const auto first = std::ranges::min_element(
        missing, {}, [](const group_hold& hold) -> const std::string& { return hold.where.name; });
    if (first == missing.end()) {
        return false;
    }
    if (first->state == hold_state::none) {
        ask(*first, now, out);
    }
    return true;
}

void group_holds::ask(group_hold& hold, time_point now, std::vector<engine_command>& out) {
    const auto id = numbers_.take();
    hold.number = id.number;
    hold.asked_at = now;
    if (hold.state == hold_state::none) {
        hold.state = hold_state::asked;
    }
    out.emplace_back(engine_reserve{id, hold.where.engine, reservation_, hold.tokens, expiry_});
}

void group_holds::release(engine_handle engine, const std::string& reservation, time_point now,
                          std::vector<engine_command>& out) {
    const auto id = numbers_.take();
    out.emplace_back(engine_release{id, engine, reservation});
    const auto known = std::ranges::find_if(releases_, [&](const pending_release& item) {
        return item.engine == engine && item.reservation == reservation;
    });
    if (known != releases_.end()) {
        known->number = id.number;
        known->repeat_at = now + release_repeat;
        return;
    }
    releases_.push_back(
        {engine, reservation, id.number, now + release_repeat, now + expiry_ + answer_timeout});
}

void group_holds::release_all(time_point now, std::vector<engine_command>& out) {
    for (const auto& hold : holds_) {
        if (hold.state != hold_state::none) {
            release(hold.where.engine, reservation_, now, out);
        }
    }
    holds_.clear();
}

hold_result group_holds::on_event(const engine_event& event, time_point now,
                                  std::vector<engine_command>& out) {
    if (const auto* const reserved = std::get_if<engine_reserved>(&event)) {
        return take(*reserved, now, out);
    }
    if (const auto* const failed = std::get_if<engine_failed>(&event)) {
        return take(*failed, now, out);
    }
    if (const auto* const released = std::get_if<engine_released>(&event)) {
        std::erase_if(releases_, [released](const pending_release& item) {
            return item.number == released->id.number;
        });
    }
    return {};
}

hold_result group_holds::take(const engine_reserved& event, time_point now,
                              std::vector<engine_command>& out) {
    const auto hold = std::ranges::find_if(
        holds_, [&event](const group_hold& item) { return item.where.engine == event.engine; });
    if (hold == holds_.end() || event.reservation != reservation_) {
        // The engine carried out a request that was given up meanwhile.
        release(event.engine, event.reservation, now, out);
        return {};
    }
    const bool is_new = hold->state != hold_state::held;
    hold->state = hold_state::held;
    hold->agreed_at = now;
    const auto index = static_cast<std::size_t>(hold - holds_.begin());
    return {is_new ? hold_change::agreed : hold_change::none, index};
}

hold_result group_holds::take(const engine_failed& event, time_point now,
                              std::vector<engine_command>& out) {
    const auto hold = std::ranges::find(holds_, event.id.number, &group_hold::number);
    if (hold == holds_.end()) {
        return {};
    }
    if (event.certainty != run_certainty::not_run || hold->state == hold_state::held) {
        release(hold->where.engine, reservation_, now, out);
    }
    hold->state = hold_state::none;
    return {hold_change::refused, static_cast<std::size_t>(hold - holds_.begin())};
}

std::optional<std::size_t> group_holds::poll(time_point now, std::vector<engine_command>& out) {
    std::erase_if(releases_, [now](const pending_release& item) { return item.gone_at <= now; });
    std::vector<pending_release> due;
    std::ranges::copy_if(releases_, std::back_inserter(due),
                         [now](const pending_release& item) { return item.repeat_at <= now; });
    for (const auto& item : due) {
        release(item.engine, item.reservation, now, out);
    }
    for (std::size_t index = 0; index < holds_.size(); ++index) {
        auto& hold = holds_[index];
        const bool is_silent =
            hold.state == hold_state::asked && now >= hold.asked_at + answer_timeout;
        const bool is_lapsed = hold.state == hold_state::held && now >= hold.agreed_at + expiry_;
        if (is_silent || is_lapsed) {
            return index;
        }
        if (hold.state == hold_state::held && now >= hold.asked_at + expiry_ / renewals) {
            ask(hold, now, out);
        }
    }
    return std::nullopt;
}

time_point group_holds::next_due() const {
    auto due = time_point::max();
    for (const auto& item : releases_) {
        due = std::min({due, item.repeat_at, item.gone_at});
    }
    for (const auto& hold : holds_) {
        if (hold.state == hold_state::asked) {
            due = std::min(due, hold.asked_at + answer_timeout);
        }
        if (hold.state == hold_state::held) {
            due = std::min({due, hold.asked_at + expiry_ / renewals, hold.agreed_at + expiry_});
        }
    }
    return due;
}

bool group_holds::is_empty() const {
    return holds_.empty() && releases_.empty();
}

} // namespace magnolia
