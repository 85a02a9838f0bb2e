#include "backend_states.h"

#include <algorithm>

namespace magnolia {

host_state backend_states::merged(const backend_record& record) {
    if (record.listed == host_state::gone || record.listed == host_state::leaving) {
        return record.listed;
    }
    return record.latest.sequence > 0 ? record.latest.state : record.listed;
}

void backend_states::report_change(const std::string& name, backend_record& record) {
    if (const auto now = merged(record); now != record.reported) {
        record.reported = now;
        changes_.push_back({name, now});
    }
}

void backend_states::adopt(backend_record& record, const backend_state_message& update,
                           time_point now) {
    record.latest = update;
    record.updated_at = now;
    record.rounds_left = settings_.gossip_rounds;
    record.due = now;
    report_change(update.engine, record);
}

void backend_states::apply_list(std::span<const listed_backend> list) {
    std::map<std::string, host_state> states;
    for (const auto& item : list) {
        states[item.name] = item.state;
    }
    for (auto& [name, record] : records_) {
        states.try_emplace(name, host_state::gone);
    }
    for (const auto& [name, state] : states) {
        auto& record = records_[name];
        record.listed = state;
        report_change(name, record);
    }
}

void backend_states::on_state_report(const std::string& name, host_state state, duration age,
                                     time_point now) {
    auto& record = records_[name];
    const bool is_leaving =
        record.latest.sequence > 0 && record.latest.state == host_state::leaving;
    if (state == host_state::live) {
        const bool is_later = now - age >= record.updated_at + settings_.rejoin_guard;
        if (!is_leaving || !is_later) {
            report_change(name, record);
            return;
        }
    } else if (is_leaving) {
        return;
    }
    adopt(record, {name, state, record.latest.sequence + 1, self_}, now);
}

void backend_states::apply_update(const backend_state_message& update, time_point now) {
    auto& record = records_[update.engine];
    const bool is_tie = update.sequence == record.latest.sequence;
    if (update.sequence < record.latest.sequence ||
        (is_tie && update.state <= record.latest.state)) {
        return;
    }
    adopt(record, update, now);
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
    for (auto& [name, record] : records_) {
        if (record.rounds_left > 0 && record.due <= now) {
            --record.rounds_left;
            record.due = now + settings_.round_interval;
            updates.push_back(record.latest);
        }
    }
    return updates;
}

time_point backend_states::next_due() const {
    auto due = time_point::max();
    for (const auto& [name, record] : records_) {
        due = record.rounds_left > 0 ? std::min(due, record.due) : due;
    }
    return due;
}

} // namespace magnolia
