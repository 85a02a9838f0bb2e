#include "backend_states.h"

#include <algorithm>

namespace magnolia {

host_state backend_states::merged(const record& known) {
    if (known.listed == host_state::gone || known.listed == host_state::leaving) {
        return known.listed;
    }
    return known.news.sequence > 0 ? known.news.state : known.listed;
}

void backend_states::tell(const std::string& name, record& known) {
    if (const auto now = merged(known); now != known.told) {
        known.told = now;
        changes_.push_back({name, now});
    }
}

void backend_states::accept(record& known, const backend_state_message& news, time_point now) {
    known.news = news;
    known.learned_at = now;
    known.rounds_left = settings_.news_rounds;
    known.due = now;
    tell(news.engine, known);
}

void backend_states::on_list(std::span<const listed_backend> list) {
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
        tell(name, known);
    }
}

void backend_states::on_state_report(const std::string& name, host_state state, duration age,
                                     time_point now) {
    auto& known = records_[name];
    const bool is_leaving = known.news.sequence > 0 && known.news.state == host_state::leaving;
    if (state == host_state::live) {
        const bool is_later = now - age >= known.learned_at + settings_.return_guard;
        if (!is_leaving || !is_later) {
            tell(name, known);
            return;
        }
    } else if (is_leaving) {
        return;
    }
    accept(known, {name, state, known.news.sequence + 1, self_}, now);
}

void backend_states::apply_update(const backend_state_message& news, time_point now) {
    auto& known = records_[news.engine];
    const bool is_tie = news.sequence == known.news.sequence;
    if (news.sequence < known.news.sequence || (is_tie && news.state <= known.news.state)) {
        return;
    }
    accept(known, news, now);
}

host_state backend_states::state(const std::string& name) const {
    const auto found = records_.find(name);
    return found == records_.end() ? host_state::gone : merged(found->second);
}

std::vector<backend_change> backend_states::take_changes() {
    return std::exchange(changes_, {});
}

std::vector<backend_state_message> backend_states::poll(time_point now) {
    std::vector<backend_state_message> news;
    for (auto& [name, known] : records_) {
        if (known.rounds_left > 0 && known.due <= now) {
            --known.rounds_left;
            known.due = now + settings_.round_interval;
            news.push_back(known.news);
        }
    }
    return news;
}

time_point backend_states::next_due() const {
    auto due = time_point::max();
    for (const auto& [name, known] : records_) {
        due = known.rounds_left > 0 ? std::min(due, known.due) : due;
    }
    return due;
}

} // namespace magnolia
