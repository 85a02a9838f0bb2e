#include "backend_states.h"

#include <algorithm>

namespace magnolia {

host_state backend_states::merged(const backend_record& known) {
    if (known.listed == host_state::gone || known.listed == host_state::leaving) {
        return known.listed;
    }
    return known.latest.sequence > 0 ? known.latest.state : known.listed;
}

void backend_states::report_change(const std::string& name, backend_record& known) {
    if (const auto now = merged(known); now != known.reported) {
        known.reported = now;
        changes_.push_back({name, now});
    }
}

void backend_states::adopt(backend_record& known, const backend_state_message& update,
                           time_point now) {
    known.latest = update;
    known.updated_at = now;
    known.rounds_left = settings_.gossip_rounds;
    known.due = now;
    report_change(update.engine, known);
}

void backend_states::apply_list(std::span<const listed_backend> list) {
    std::map<std::string, host_state> states;
    for (const auto& item : list) {
        states[item.name] = item.state;
    }
    for (auto& [name, known] : records_) {
        states.try_emplace(name, host_state::gone);
    }
    for (const auto& [name, state] : states) {
        auto& known = records_[name];
        known.listed = state;
        report_change(name, known);
    }
}

void backend_states::on_state_report(const std::string& name, host_state state, duration age,
                                     time_point now) {
    auto& known = records_[name];
    const bool is_leaving = known.latest.sequence > 0 && known.latest.state == host_state::leaving;
    if (state == host_state::live) {
        const bool is_later = now - age >= known.updated_at + settings_.rejoin_guard;
        if (!is_leaving || !is_later) {
            report_change(name, known);
            return;
        }
    } else if (is_leaving) {
        return;
    }
    adopt(known, {name, state, known.latest.sequence + 1, self_}, now);
}

void backend_states::apply_update(const backend_state_message& update, time_point now) {
    auto& known = records_[update.engine];
    const bool is_tie = update.sequence == known.latest.sequence;
    if (update.sequence < known.latest.sequence || (is_tie && update.state <= known.latest.state)) {
        return;
    }
    adopt(known, update, now);
}

host_state backend_states::state(const std::string& name) const {
    const auto found = records_.find(name);
    return found == records_.end() ? host_state::gone : merged(found->second);
}

std::vector<backend_change> backend_states::take_changes() {
    return std::exchange(changes_, {});
}

std::vector<backend_state_message> backend_states::poll(time_point now) {
    std::vector<backend_state_message> updates;
    for (auto& [name, known] : records_) {
        if (known.rounds_left > 0 && known.due <= now) {
            --known.rounds_left;
            known.due = now + settings_.round_interval;
            updates.push_back(known.latest);
        }
    }
    return updates;
}

time_point backend_states::next_due() const {
    auto due = time_point::max();
    for (const auto& [name, known] : records_) {
        due = known.rounds_left > 0 ? std::min(due, known.due) : due;
    }
    return due;
}

} // namespace magnolia
