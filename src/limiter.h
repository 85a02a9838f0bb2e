/// Enforces the limits of contracts over all entries without a call per request.
#pragma once

#include "limit_topology.h"
#include "outgoing_message.h"

#include <magnolia/error.h>
#include <magnolia/types.h>

#include <memory>
#include <string_view>
#include <vector>

namespace magnolia {

/// What an admitted request holds of its workspace's limits until it is settled.
struct limit_ticket {
    std::string workspace;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t generated_tokens = 0;
    /// Whether the slot is the standby's, not the keeper's.
    bool has_standby_slot = false;
};

/// The local share is short and more was asked for. Ask again when take_due_workspaces() names the
/// workspace, at the latest at `until`, when the answer is final.
struct limit_pending {
    time_point until{};
};

/// Outcome of a question for admission.
using limit_decision = std::variant<limit_ticket, limit_pending, error>;

/// Local shares of every workspace that has traffic here, and the keeper's part for those it keeps.
/// Not thread-safe; owned by the duty of decisions.
class limiter {
public:
    /// @param self  name of this entry. @param zone  its availability zone.
    /// @param boot  random number of the process's start.
    limiter(std::string self, std::string zone, std::uint64_t boot = 0);
    ~limiter();

    /// Takes a newer version of a contract; an older one is ignored.
    void put_contract(const contract& value, std::uint64_t version, time_point now);

    /// Members as this entry sees them, itself included, and whether the own zone is cut off from
    /// the others. Costs a step for each contract; call it when something has changed.
    void set_members(const std::vector<limit_member>& members, bool is_cut_off, time_point now);

    /// Takes one request's worth from the local share, or says how long to wait for a larger one.
    /// @param since  when the request was first asked for; bounds its wait.
    /// Errors: limit_* with retry_after, cut_off, workspace_unknown, workspace_retired, too_large.
    [[nodiscard]] limit_decision decide(std::string_view workspace, std::uint32_t prompt_tokens,
                                        std::uint32_t max_generated_tokens, time_point since,
                                        time_point now);

    /// As decide() without a wait: a pending request is refused with a short retry_after.
    [[nodiscard]] result<limit_ticket> admit(std::string_view workspace,
                                             std::uint32_t prompt_tokens,
                                             std::uint32_t max_generated_tokens, time_point now);

    /// Gives back what the request did not use.
    void settle(const limit_ticket& ticket, std::uint32_t prompt_tokens,
                std::uint32_t generated_tokens, time_point now);

    void on_message(std::string_view from, const peer_message& message, time_point now);

    /// Messages due now: demand to keepers, grants to entries, loans between zones.
    [[nodiscard]] std::vector<outgoing_message> poll(time_point now);

    /// Workspaces whose share has grown since the last call.
    [[nodiscard]] std::vector<std::string> take_due_workspaces();

    /// Workspaces with state here: shares, and pools kept.
    [[nodiscard]] std::size_t active_count() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
