/// Zones, live entries and limit allocators as one entry sees them. Derived from the membership.
#pragma once

#include <magnolia/schema.h>
#include <magnolia/types.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia {

/// Member of the fleet: the fields that limits depend on.
struct limit_member {
    std::string name;
    std::string zone;
    host_state state = host_state::live;

    bool operator==(const limit_member&) const = default;
};

/// Limits of a contract that the limiter enforces. Rates are per second.
struct contract_limits {
    std::uint64_t version = 0;
    contract_state state = contract_state::active;
    cut_off_rule cut_off = cut_off_rule::zone_share;
    limit_amounts rate;
    limit_amounts burst;
    std::uint32_t concurrency = 0;
    std::uint32_t max_prompt_tokens = 0;
    std::uint32_t max_generated_tokens = 0;
    /// Longest run time of an admitted request; bounds how long a slot can stay in use.
    duration max_run_time{0};
};

/// Extracts the limits of a contract. `max_run_time` is the longest deadline for the complete
/// answer, or 10 minutes if the contract has no deadlines.
[[nodiscard]] contract_limits to_contract_limits(const contract& value, std::uint64_t version);

/// Role of this entry in the allocation of a workspace's limits within its zone.
enum class allocator_role : std::uint8_t {
    none,
    /// Grants the zone's share of the limits, less the standby's part.
    primary,
    /// Grants a tenth of the zone's share to entries that get no answer from the primary.
    standby,
};

/// Names of a workspace's allocators in one zone; empty if the zone has too few live entries.
struct allocator_pair {
    std::string primary;
    std::string standby;
};

/// Maps each workspace to its primary and standby allocator by rendezvous hashing over the live
/// entries of a zone, and computes the part of the limits that this entry may grant. Owned by the
/// limiter; read by limit_allocator. Not thread-safe.
///
/// A zone is never forgotten: each zone keeps its share of the limits while it is cut off, because
/// its entries go on granting it.
class limit_topology {
public:
    limit_topology(std::string self, std::string zone);

    /// Replaces the list of members; this entry need not be part of it. A member counts for
    /// is_gone() only if the list contains it with the state gone.
    /// @param is_cut_off  whether the own zone is cut off from all others.
    void set_members(const std::vector<limit_member>& members, bool is_cut_off, time_point now);

    /// Records that this process was paused. Other entries may have taken over its workspaces
    /// meanwhile, so role_since() and taken_over_at() start again at `now`.
    void reset_after_pause(time_point now);

    [[nodiscard]] const std::string& self() const { return self_; }
    [[nodiscard]] bool is_cut_off() const { return is_cut_off_; }
    /// Whether this entry is the only live one of its zone.
    [[nodiscard]] bool is_alone() const { return live_by_zone_.find(zone_)->second.size() == 1; }
    /// Number of known zones, the own one included.
    [[nodiscard]] std::size_t zone_count() const { return zones_.size(); }
    [[nodiscard]] std::vector<std::string> other_zones() const;
    /// Allocators of a workspace in the own zone.
    [[nodiscard]] allocator_pair allocators(std::string_view workspace) const;
    /// Allocators of a workspace in the named zone.
    [[nodiscard]] allocator_pair allocators(std::string_view workspace,
                                            const std::string& zone) const;
    /// Role of this entry for a workspace.
    [[nodiscard]] allocator_role role(std::string_view workspace) const;
    /// Time since which, in this entry's view, no other entry has allocated the workspace's limits
    /// in this entry's role.
    [[nodiscard]] time_point role_since(std::string_view workspace) const;
    /// Time at which this entry last took the workspace over from another allocator. What that
    /// allocator had left is unknown, so the pool has to be assumed empty at this time. Nothing if
    /// there was no takeover since the start; the pool may then be assumed full.
    [[nodiscard]] std::optional<time_point> taken_over_at(std::string_view workspace) const;
    /// Whether a member is gone and has sent nothing since it was found to be gone.
    /// @param last_seen  time of the last message from the member.
    [[nodiscard]] bool is_gone(std::string_view member, time_point last_seen) const;
    /// Fraction of a contract's rates and bursts that this entry grants in a role, 0..1.
    [[nodiscard]] double fraction(const contract_limits& limits, allocator_role role) const;
    /// Number of the contract's concurrent requests (slots) that this entry grants in a role.
    [[nodiscard]] std::uint32_t slots(std::string_view workspace, const contract_limits& limits,
                                      allocator_role role) const;

private:
    /// Entry of the own zone that is no longer live, and when this entry noticed.
    struct departure {
        std::string name;
        time_point at{};
    };

    /// Slots of the own zone: the concurrency divided by the zones. The remainder goes to the zones
    /// that rank first in the workspace's rendezvous order.
    [[nodiscard]] std::uint32_t zone_slots(std::string_view workspace,
                                           const contract_limits& limits) const;

    std::string self_;
    std::string zone_;
    bool is_cut_off_ = false;
    /// Names of the live entries by zone; the own zone always contains this entry.
    std::map<std::string, std::vector<std::string>, std::less<>> live_by_zone_;
    /// Members that are gone, with the time at which this entry noticed.
    std::map<std::string, time_point, std::less<>> gone_since_;
    /// All zones ever seen.
    std::vector<std::string> zones_;
    std::vector<departure> departures_;
    /// Time of the first set_members(), or of the end of the last pause.
    std::optional<time_point> active_since_;
    /// End of the last pause.
    std::optional<time_point> resumed_at_;
};

} // namespace magnolia
