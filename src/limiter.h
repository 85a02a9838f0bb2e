/// Distributed rate limiter: enforces the limits of contracts over all entries without a network
/// call per request.
#pragma once

#include "limit_topology.h"
#include "outgoing_message.h"

#include <magnolia/error.h>
#include <magnolia/types.h>

#include <memory>
#include <string_view>
#include <vector>

namespace magnolia {

/// Tokens and slot that an admitted request holds of its workspace's limits until settle().
struct limit_ticket {
    std::string workspace;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t generated_tokens = 0;
    /// Whether the slot was granted by the standby allocator instead of the primary.
    bool has_standby_slot = false;
};

/// The local quota is too small and more was requested from an allocator. Call decide() again when
/// take_due_workspaces() names the workspace, at the latest at `until`, when the outcome is final.
struct limit_pending {
    time_point until{};
};

/// Outcome of decide().
using limit_decision = std::variant<limit_ticket, limit_pending, error>;

/// Admission by the limits of contracts. For each workspace with traffic at this entry it holds a
/// local quota, granted by the zone's allocator of the workspace (see limit_allocator) for a short
/// lease, and it is that allocator for some of the workspaces. Owned by the decision code of the
/// entry (entry_core) and used on its thread only; not thread-safe. Does no I/O.
class limiter {
public:
    /// @param self  name of this entry.
    /// @param zone  availability zone of this entry.
    /// @param boot  random number that identifies this run of the process.
    limiter(std::string self, std::string zone, std::uint64_t boot = 0);
    ~limiter();

    /// Adds a contract or applies a newer version of it; an older version is ignored.
    void put_contract(const contract& value, std::uint64_t version, time_point now);

    /// Replaces the members as this entry sees them, itself included. The cost is linear in the
    /// number of contracts: call it only when something has changed.
    /// @param is_cut_off  whether the own zone is cut off from all others.
    void set_members(const std::vector<limit_member>& members, bool is_cut_off, time_point now);

    /// Admits a request from the local quota, refuses it, or leaves it pending while more quota is
    /// requested.
    /// @param since  time of the first call for this request, equal to `now` then; bounds the wait.
    /// Errors: limit_* with retry_after, cut_off, workspace_unknown, workspace_retired, too_large.
    [[nodiscard]] limit_decision decide(std::string_view workspace, std::uint32_t prompt_tokens,
                                        std::uint32_t max_generated_tokens, time_point since,
                                        time_point now);

    /// Same as decide(), but refuses a request that would be pending, with a short retry_after.
    [[nodiscard]] result<limit_ticket> admit(std::string_view workspace,
                                             std::uint32_t prompt_tokens,
                                             std::uint32_t max_generated_tokens, time_point now);

    /// Ends an admitted request: frees its slot and returns the tokens that it did not use.
    /// @param prompt_tokens     tokens used.
    /// @param generated_tokens  tokens used.
    void settle(const limit_ticket& ticket, std::uint32_t prompt_tokens,
                std::uint32_t generated_tokens, time_point now);

    /// Handles the limit messages of other entries; ignores all others.
    void on_message(std::string_view from, const peer_message& message, time_point now);

    /// Returns the messages that are due: demands to allocators, grants to entries, loans between
    /// zones. Also expires and renews grants and removes idle state; call it periodically.
    [[nodiscard]] std::vector<outgoing_message> poll(time_point now);

    /// Returns the workspaces whose pending requests are due for another decide(): the local quota
    /// may have grown, or the standby may grant more.
    [[nodiscard]] std::vector<std::string> take_due_workspaces();

    /// Number of local quotas and of pools that this entry allocates from.
    [[nodiscard]] std::size_t active_count() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
