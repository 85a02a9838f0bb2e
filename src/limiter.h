/// Enforces the limits of contracts over all entries without a call per request.
#pragma once

#include <magnolia/error.h>
#include <magnolia/types.h>

#include <memory>
#include <string_view>
#include <vector>

namespace magnolia {

/// A message to another member.
struct outgoing_message {
    std::string member;
    peer_message message;
};

/// What an admitted request holds of its workspace's limits until it is settled.
struct limit_ticket {
    std::string workspace;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t generated_tokens = 0;
};

/// A member of the fleet as the limiter needs it.
struct limit_member {
    std::string name;
    std::string zone;
    host_state state = host_state::live;
};

/// Local shares of every workspace that has traffic here, and the keeper's part for those it keeps.
/// Not thread-safe; owned by the duty of decisions.
class limiter {
public:
    /// @param self  name of this entry. @param zone  its availability zone.
    limiter(std::string self, std::string zone);
    ~limiter();

    /// Takes a newer version of a contract.
    void put_contract(const contract& value, std::uint64_t version, time_point now);

    /// Members as this entry sees them, itself included, and whether the own zone is cut off from
    /// the others.
    void set_members(const std::vector<limit_member>& members, bool is_cut_off, time_point now);

    /// Takes one request's worth from the local share.
    /// Errors: limit_* with retry_after, cut_off, workspace_unknown.
    [[nodiscard]] result<limit_ticket> admit(std::string_view workspace,
                                             std::uint32_t prompt_tokens,
                                             std::uint32_t max_generated_tokens, time_point now);

    /// Gives back what the request did not use.
    void settle(const limit_ticket& ticket, std::uint32_t prompt_tokens,
                std::uint32_t generated_tokens, time_point now);

    void on_message(std::string_view from, const peer_message& message, time_point now);

    /// Messages due now: demand to keepers, grants to entries, loans between zones.
    [[nodiscard]] std::vector<outgoing_message> poll(time_point now);

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
