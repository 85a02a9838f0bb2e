#include "memory_ledger.h"

#include <algorithm>

namespace magnolia {
namespace {

/// Whether a renewal that failed so may succeed later.
bool may_retry(error_code code) {
    return code != error_code::no_capacity && code != error_code::conflict &&
           code != error_code::backend_refused;
}

} // namespace

std::string memory_ledger::reserve(const attempt_id& id, engine_handle engine, std::uint32_t tokens,
                                   time_point now) {
    auto name =
        to_string(id.request) + "." + std::to_string(id.number) + "." + std::to_string(++names_);
    item value;
    value.id = id;
    value.tokens = tokens;
    value.due = now;
    items_.emplace(item_key{engine, name}, value);
    return name;
}

void memory_ledger::release(engine_handle engine, const std::string& reservation, time_point now) {
    if (const auto found = items_.find({engine, reservation}); found != items_.end()) {
        begin_release(found->second, now);
    }
}

void memory_ledger::release_all(const request_id& request, time_point now) {
    for (auto& [key, value] : items_) {
        if (value.id.request == request) {
            begin_release(value, now);
        }
    }
}

void memory_ledger::begin_release(item& value, time_point now) {
    if (value.state == phase::releasing) {
        return;
    }
    value.state = phase::releasing;
    if (!value.is_asking) {
        value.due = now;
    }
}

void memory_ledger::lose(const item_key& key, item& value, time_point now) {
    lost_.push_back({value.id, key.first, key.second});
    begin_release(value, now);
}

void memory_ledger::on_event(const engine_event& event, time_point now) {
    std::visit([this, now](const auto& value) { on(value, now); }, event);
}

void memory_ledger::on(const engine_reserved& event, time_point now) {
    const item_key key{event.engine, event.reservation};
    auto found = items_.find(key);
    if (found == items_.end()) {
        // Granted after everything about it was forgotten.
        item late;
        late.id = event.id;
        late.state = phase::releasing;
        late.due = now;
        items_.emplace(key, late);
        return;
    }
    auto& value = found->second;
    value.is_asking = false;
    if (value.state == phase::releasing) {
        value.due = now;
        return;
    }
    value.safe_until = std::max(value.safe_until, value.asked_at + settings_.expiry);
    if (value.safe_until <= now) {
        lose(key, value, now);
        return;
    }
    value.state = phase::held;
    value.due = std::min(value.asked_at + settings_.renewal_interval, value.safe_until);
}

void memory_ledger::on(const engine_released& event, time_point now) {
    const auto found = items_.find({event.engine, event.reservation});
    if (found == items_.end() || found->second.state != phase::releasing) {
        return;
    }
    auto& value = found->second;
    value.is_releasing = false;
    if (!value.is_asking && value.doubtful_until <= now) {
        items_.erase(found);
        return;
    }
    // A reserve may still arrive behind this release.
    value.due = now + settings_.retry_interval;
}

void memory_ledger::on(const engine_failed& event, time_point now) {
    const item_key key{event.engine, event.reservation};
    const auto found = items_.find(key);
    if (event.reservation.empty() || found == items_.end()) {
        return;
    }
    auto& value = found->second;
    if (value.is_releasing) {
        value.is_releasing = false;
        value.due = now + settings_.retry_interval;
        return;
    }
    value.is_asking = false;
    const bool is_refused = event.certainty == run_certainty::not_run;
    if (!is_refused) {
        value.doubtful_until = now + settings_.linger;
    }
    if (value.state == phase::held && may_retry(event.failure.code)) {
        value.due = std::min(now + settings_.retry_interval, value.safe_until);
    } else if (value.state == phase::held) {
        lose(key, value, now);
    } else if (value.state == phase::reserving && is_refused) {
        items_.erase(found);
    } else {
        value.state = phase::releasing;
        value.due = now;
    }
}

void memory_ledger::forget_engine(engine_handle engine) {
    std::erase_if(items_, [engine](const auto& entry) { return entry.first.first == engine; });
}

void memory_ledger::on_engine_restarted(engine_handle engine, time_point now) {
    for (auto& [key, value] : items_) {
        if (key.first == engine && value.state == phase::held) {
            lose(key, value, now);
        }
    }
}

engine_command memory_ledger::ask(const item_key& key, item& value, time_point now) const {
    value.is_asking = true;
    value.asked_at = now;
    value.due = now + settings_.linger;
    return engine_reserve{value.id, key.first, key.second, value.tokens, settings_.expiry};
}

std::vector<engine_command> memory_ledger::poll(time_point now) {
    std::vector<engine_command> commands;
    for (auto& [key, value] : items_) {
        if (value.state == phase::held && value.safe_until <= now) {
            lose(key, value, now);
        }
        if (value.due > now) {
            continue;
        }
        if (value.is_asking) {
            // The answer is overdue; the engine may take the command yet.
            value.is_asking = false;
            value.doubtful_until = now + settings_.linger;
        }
        if (value.state != phase::releasing) {
            commands.push_back(ask(key, value, now));
            continue;
        }
        value.is_releasing = true;
        value.due = now + settings_.linger;
        commands.emplace_back(engine_release{value.id, key.first, key.second});
    }
    return commands;
}

std::vector<lost_reservation> memory_ledger::take_lost() {
    return std::exchange(lost_, {});
}

time_point memory_ledger::next_due() const {
    auto due = time_point::max();
    for (const auto& [key, value] : items_) {
        due = std::min(due, value.due);
        if (value.state == phase::held) {
            due = std::min(due, value.safe_until);
        }
    }
    return due;
}

bool memory_ledger::is_held(engine_handle engine, const std::string& reservation,
                            time_point now) const {
    const auto found = items_.find({engine, reservation});
    return found != items_.end() && found->second.state == phase::held &&
           now < found->second.safe_until;
}

} // namespace magnolia
