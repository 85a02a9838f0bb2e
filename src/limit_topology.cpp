#include "limit_topology.h"

#include "rendezvous.h"

#include <algorithm>
#include <utility>

namespace magnolia {
namespace {

/// Fraction of a zone's share that its standby may grant.
constexpr double standby_fraction = 0.1;
/// Time for which departures are remembered for taken_over_at(). Longer than any bucket takes to
/// fill in practice, so forgetting a departure does not change a level.
constexpr std::chrono::minutes departure_retention{10};
/// Longest run time of a request whose contract has no deadlines.
constexpr std::chrono::minutes default_max_run_time{10};

} // namespace

contract_limits to_contract_limits(const contract& value, std::uint64_t version) {
    duration max_run_time = value.deadlines.empty() ? duration{default_max_run_time} : duration{0};
    for (const auto& each : value.deadlines) {
        max_run_time = std::max<duration>(max_run_time, each.finish);
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
            max_run_time};
}

limit_topology::limit_topology(std::string self, std::string zone)
    : self_{std::move(self)}, zone_{std::move(zone)}, live_by_zone_{{zone_, {self_}}},
      zones_{zone_} {}

void limit_topology::set_members(const std::vector<limit_member>& members, bool is_cut_off,
                                 time_point now) {
    active_since_ = active_since_.value_or(now);
    const auto before = live_by_zone_[zone_];
    live_by_zone_.clear();
    live_by_zone_[zone_].push_back(self_);
    for (const auto& member : members) {
        if (std::ranges::find(zones_, member.zone) == zones_.end()) {
            zones_.push_back(member.zone);
        }
        if (member.name == self_) {
            continue;
        }
        if (member.state == host_state::live) {
            live_by_zone_[member.zone].push_back(member.name);
        }
        if (member.state == host_state::gone) {
            gone_since_.try_emplace(member.name, now);
        } else {
            gone_since_.erase(member.name);
        }
    }
    std::erase_if(departures_,
                  [&](const auto& each) { return now - each.at > departure_retention; });
    const auto& after = live_by_zone_[zone_];
    for (const auto& name : before) {
        if (std::ranges::find(after, name) == after.end()) {
            departures_.push_back({name, now});
        }
    }
    is_cut_off_ = is_cut_off;
}

std::vector<std::string> limit_topology::other_zones() const {
    std::vector<std::string> others;
    std::ranges::copy_if(zones_, std::back_inserter(others),
                         [&](const auto& zone) { return zone != zone_; });
    return others;
}

allocator_pair limit_topology::allocators(std::string_view workspace) const {
    return allocators(workspace, zone_);
}

allocator_pair limit_topology::allocators(std::string_view workspace,
                                          const std::string& zone) const {
    allocator_pair chosen;
    const auto found = live_by_zone_.find(zone);
    if (found == live_by_zone_.end()) {
        return chosen;
    }
    std::uint64_t best = 0;
    std::uint64_t second = 0;
    for (const auto& name : found->second) {
        const auto weight = rendezvous_weight(workspace, name);
        if (weight >= best) {
            chosen.standby = std::exchange(chosen.primary, name);
            second = std::exchange(best, weight);
        } else if (weight >= second) {
            chosen.standby = name;
            second = weight;
        }
    }
    return chosen;
}

allocator_role limit_topology::role(std::string_view workspace) const {
    const auto chosen = allocators(workspace);
    if (chosen.primary == self_) {
        return allocator_role::primary;
    }
    return chosen.standby == self_ ? allocator_role::standby : allocator_role::none;
}

void limit_topology::reset_after_pause(time_point now) {
    active_since_ = now;
    resumed_at_ = now;
}

time_point limit_topology::role_since(std::string_view workspace) const {
    const auto start = active_since_.value_or(time_point{});
    return std::max(start, taken_over_at(workspace).value_or(start));
}

std::optional<time_point> limit_topology::taken_over_at(std::string_view workspace) const {
    auto latest = resumed_at_;
    const auto own_weight = rendezvous_weight(workspace, self_);
    for (const auto& each : departures_) {
        if (rendezvous_weight(workspace, each.name) > own_weight) {
            latest = std::max(latest.value_or(each.at), each.at);
        }
    }
    return latest;
}

bool limit_topology::is_gone(std::string_view member, time_point last_seen) const {
    const auto found = gone_since_.find(member);
    return found != gone_since_.end() && last_seen <= found->second;
}

double limit_topology::fraction(const contract_limits& limits, allocator_role role) const {
    if (role == allocator_role::none) {
        return 0;
    }
    const bool has_full_limit = is_cut_off_ && limits.cut_off == cut_off_rule::full;
    const auto zone_fraction = has_full_limit ? 1.0 : 1.0 / static_cast<double>(zones_.size());
    const bool has_standby = !is_alone();
    if (role == allocator_role::standby) {
        return zone_fraction * standby_fraction;
    }
    return has_standby ? zone_fraction * (1 - standby_fraction) : zone_fraction;
}

std::uint32_t limit_topology::zone_slots(std::string_view workspace,
                                         const contract_limits& limits) const {
    if (is_cut_off_ && limits.cut_off == cut_off_rule::full) {
        return limits.concurrency;
    }
    const auto count = static_cast<std::uint32_t>(zones_.size());
    const auto order = rendezvous_choose(workspace, zones_, count);
    const auto position =
        static_cast<std::uint32_t>(std::ranges::find(order, zone_) - order.begin());
    return limits.concurrency / count + (position < limits.concurrency % count ? 1U : 0U);
}

std::uint32_t limit_topology::slots(std::string_view workspace, const contract_limits& limits,
                                    allocator_role role) const {
    const auto total = zone_slots(workspace, limits);
    const bool has_standby = !is_alone();
    std::uint32_t standby_slots = 0;
    if (has_standby && total > 1) {
        standby_slots = std::max(1U, static_cast<std::uint32_t>(total * standby_fraction));
    }
    switch (role) {
    case allocator_role::primary:
        return total - standby_slots;
    case allocator_role::standby:
        return standby_slots;
    case allocator_role::none:
        break;
    }
    return 0;
}

} // namespace magnolia
