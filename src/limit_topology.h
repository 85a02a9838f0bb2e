/// Who keeps a workspace's limits: zones, keepers and since when, from the members' states.
#pragma once

#include <magnolia/schema.h>
#include <magnolia/types.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia {

/// A member of the fleet as the limiter needs it.
struct limit_member {
    std::string name;
    std::string zone;
    host_state state = host_state::live;

    bool operator==(const limit_member&) const = default;
};

/// The limits of one contract that are enforced.
struct contract_limits {
    std::uint64_t version = 0;
    contract_state state = contract_state::active;
    cut_off_rule cut_off = cut_off_rule::zone_share;
    limit_amounts rate;
    limit_amounts burst;
    std::uint32_t concurrency = 0;
    std::uint32_t max_prompt_tokens = 0;
    std::uint32_t max_generated_tokens = 0;
    /// Longest time for which an admitted request may run.
    duration max_run_time{0};
};

[[nodiscard]] contract_limits to_contract_limits(const contract& value, std::uint64_t version);

/// What this entry is for a workspace.
enum class allocator_role : std::uint8_t {
    none,
    /// Grants the zone's part, less the standby's.
    primary,
    /// Grants a tenth of the zone's part while the keeper does not answer.
    standby,
};

/// Keeper and standby of a workspace; empty if the zone has too few live entries.
struct allocator_pair {
    std::string primary;
    std::string standby;
};

/// One entry's view. Zones once known stay known, so that no zone's part is given to others while
/// it is cut off.
class limit_topology {
public:
    limit_topology(std::string self, std::string zone);

    void set_members(const std::vector<limit_member>& members, bool is_cut_off, time_point now);

    /// This entry was paused: others may have kept its workspaces meanwhile.
    void reset_after_pause(time_point now);

    [[nodiscard]] const std::string& self() const { return self_; }
    [[nodiscard]] bool is_cut_off() const { return is_cut_off_; }
    /// Whether no other entry of the own zone is live.
    [[nodiscard]] bool is_alone() const { return live_by_zone_.find(zone_)->second.size() == 1; }
    [[nodiscard]] std::size_t zone_count() const { return zones_.size(); }
    [[nodiscard]] std::vector<std::string> other_zones() const;
    /// Keepers in the own zone, or in another one.
    [[nodiscard]] allocator_pair allocators(std::string_view workspace) const;
    [[nodiscard]] allocator_pair allocators(std::string_view workspace,
                                            const std::string& zone) const;
    [[nodiscard]] allocator_role role(std::string_view workspace) const;
    /// Moment since which nobody else has kept the workspace in this role, in this view.
    [[nodiscard]] time_point role_since(std::string_view workspace) const;
    /// Moment at which the workspace's pool was unknown and has to be taken for empty; nothing if
    /// this entry has kept it since it started, when pools are taken for full.
    [[nodiscard]] std::optional<time_point> taken_over_at(std::string_view workspace) const;
    /// Whether a member that was last heard at a moment has been gone since.
    [[nodiscard]] bool is_gone(std::string_view member, time_point last_seen) const;
    /// Part of a contract's limits that this entry grants in its role, 0..1.
    [[nodiscard]] double fraction(const contract_limits& limits, allocator_role role) const;
    /// Slots of a contract's concurrency that this entry grants in its role.
    [[nodiscard]] std::uint32_t slots(std::string_view workspace, const contract_limits& limits,
                                      allocator_role role) const;

private:
    struct departure {
        std::string name;
        time_point at{};
    };

    [[nodiscard]] std::uint32_t zone_slots(std::string_view workspace,
                                           const contract_limits& limits) const;

    std::string self_;
    std::string zone_;
    bool is_cut_off_ = false;
    std::map<std::string, std::vector<std::string>, std::less<>> live_by_zone_;
    /// Members that are gone, and since when.
    std::map<std::string, time_point, std::less<>> gone_since_;
    std::vector<std::string> zones_;
    std::vector<departure> departures_;
    std::optional<time_point> active_since_;
    std::optional<time_point> resumed_at_;
};

} // namespace magnolia
