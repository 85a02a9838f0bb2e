#include "limit_view.h"

#include "rendezvous.h"

#include <algorithm>
#include <utility>

namespace magnolia {
namespace {

/// Part of a zone's limits that its standby may grant.
constexpr double standby_part = 0.1;
/// Time for which a removed member's keeping is remembered; longer than any bucket takes to fill
/// in practice.
constexpr std::chrono::minutes removal_memory{10};
/// Time for which a request without deadlines in its contract may run.
constexpr std::chrono::minutes default_finish{10};

} // namespace

contract_limits limits_of(const contract& value, std::uint64_t version) {
    duration longest = value.deadlines.empty() ? duration{default_finish} : duration{0};
    for (const auto& each : value.deadlines) {
        longest = std::max<duration>(longest, each.finish);
    }
    return {version,
            value.state,
            value.cut_off,
            {value.requests_per_second, value.prompt_tokens_per_second,
             value.generated_tokens_per_second},
            {value.request_burst, value.prompt_token_burst, value.generated_token_burst},
            value.concurrency,
            value.max_prompt_tokens,
            value.max_generated_tokens,
            longest};
}

limit_view::limit_view(std::string self, std::string zone)
    : self_{std::move(self)}, zone_{std::move(zone)}, live_{{zone_, {self_}}}, zones_{zone_} {}

void limit_view::set_members(const std::vector<limit_member>& members, bool is_cut_off,
                             time_point now) {
    started_ = started_.value_or(now);
    const auto before = live_[zone_];
    live_.clear();
    live_[zone_].push_back(self_);
    for (const auto& member : members) {
        if (std::ranges::find(zones_, member.zone) == zones_.end()) {
            zones_.push_back(member.zone);
        }
        if (member.name == self_) {
            continue;
        }
        if (member.state == host_state::live) {
            live_[member.zone].push_back(member.name);
        }
        if (member.state == host_state::gone) {
            gone_.try_emplace(member.name, now);
        } else {
            gone_.erase(member.name);
        }
    }
    std::erase_if(removals_, [&](const auto& each) { return now - each.at > removal_memory; });
    const auto& after = live_[zone_];
    for (const auto& name : before) {
        if (std::ranges::find(after, name) == after.end()) {
            removals_.push_back({name, now});
        }
    }
    is_cut_off_ = is_cut_off;
}

std::vector<std::string> limit_view::other_zones() const {
    std::vector<std::string> others;
    std::ranges::copy_if(zones_, std::back_inserter(others),
                         [&](const auto& zone) { return zone != zone_; });
    return others;
}

keeper_pair limit_view::keepers(std::string_view workspace) const {
    return keepers(workspace, zone_);
}

keeper_pair limit_view::keepers(std::string_view workspace, const std::string& zone) const {
    keeper_pair chosen;
    const auto known = live_.find(zone);
    if (known == live_.end()) {
        return chosen;
    }
    std::uint64_t best = 0;
    std::uint64_t second = 0;
    for (const auto& name : known->second) {
        const auto weight = rendezvous_weight(workspace, name);
        if (weight >= best) {
            chosen.standby = std::exchange(chosen.keeper, name);
            second = std::exchange(best, weight);
        } else if (weight >= second) {
            chosen.standby = name;
            second = weight;
        }
    }
    return chosen;
}

keeper_role limit_view::role(std::string_view workspace) const {
    const auto chosen = keepers(workspace);
    if (chosen.keeper == self_) {
        return keeper_role::keeper;
    }
    return chosen.standby == self_ ? keeper_role::standby : keeper_role::none;
}

void limit_view::restart(time_point now) {
    started_ = now;
    restarted_ = now;
}

time_point limit_view::since(std::string_view workspace) const {
    const auto start = started_.value_or(time_point{});
    return std::max(start, emptied(workspace).value_or(start));
}

std::optional<time_point> limit_view::emptied(std::string_view workspace) const {
    auto moment = restarted_;
    const auto own = rendezvous_weight(workspace, self_);
    for (const auto& each : removals_) {
        if (rendezvous_weight(workspace, each.name) > own) {
            moment = std::max(moment.value_or(each.at), each.at);
        }
    }
    return moment;
}

bool limit_view::is_gone(std::string_view member, time_point heard) const {
    const auto found = gone_.find(member);
    return found != gone_.end() && heard <= found->second;
}

double limit_view::part(const contract_limits& limits, keeper_role role) const {
    if (role == keeper_role::none) {
        return 0;
    }
    const bool has_whole = is_cut_off_ && limits.cut_off == cut_off_rule::full;
    const auto zone_part = has_whole ? 1.0 : 1.0 / static_cast<double>(zones_.size());
    const bool has_standby = !is_alone();
    if (role == keeper_role::standby) {
        return zone_part * standby_part;
    }
    return has_standby ? zone_part * (1 - standby_part) : zone_part;
}

std::uint32_t limit_view::zone_slots(std::string_view workspace,
                                     const contract_limits& limits) const {
    if (is_cut_off_ && limits.cut_off == cut_off_rule::full) {
        return limits.concurrency;
    }
    const auto count = static_cast<std::uint32_t>(zones_.size());
    const auto order = rendezvous_choose(workspace, zones_, count);
    const auto place = static_cast<std::uint32_t>(std::ranges::find(order, zone_) - order.begin());
    return limits.concurrency / count + (place < limits.concurrency % count ? 1U : 0U);
}

std::uint32_t limit_view::slots(std::string_view workspace, const contract_limits& limits,
                                keeper_role role) const {
    const auto all = zone_slots(workspace, limits);
    const bool has_standby = !is_alone();
    std::uint32_t spare = 0;
    if (has_standby && all > 1) {
        spare = std::max(1U, static_cast<std::uint32_t>(all * standby_part));
    }
    switch (role) {
    case keeper_role::keeper:
        return all - spare;
    case keeper_role::standby:
        return spare;
    case keeper_role::none:
        break;
    }
    return 0;
}

} // namespace magnolia
