/// What one entry exchanges with the others and the platform: members, contracts in force, states
/// of back ends. Pure; the running entry carries its messages and calls out.
#pragma once

#include "backend_states.h"
#include "contract_relay.h"
#include "limiter.h"
#include "membership.h"

namespace magnolia {

/// Members and what they imply for limits and contracts.
struct exchange_view {
    /// This entry and every member that is not gone.
    std::vector<limit_member> members;
    /// Peer listeners of the members.
    std::vector<member_info> addresses;
    /// No member of another zone answers.
    bool is_cut_off = false;
    /// The lease of the configuration has lapsed: contracts whose rule is to refuse are refused.
    bool is_lapsed = false;

    bool operator==(const exchange_view&) const = default;
};

/// One entry's exchange. Not thread-safe.
class entry_exchange {
public:
    /// @param self   this entry. @param known  members of the settings.
    entry_exchange(const member_info& self, std::span<const member_info> known, std::uint64_t seed,
                   time_point now);

    void on_message(std::string_view from, const peer_message& message, time_point now);
    void on_reply(std::uint64_t number, const result<platform_reply>& reply, time_point now);
    /// A back end gave a sign of itself. @param age  of what the sign describes.
    void on_backend_report(const std::string& name, host_state state, duration age, time_point now);

    /// Does what is due.
    void tick(time_point now);
    /// Announces that this entry takes no new work.
    void leave() { members_.leave(); }

    [[nodiscard]] host_state backend_state(const std::string& name) const {
        return backends_.state(name);
    }
    /// Whether contracts are known from the platform or a peer.
    [[nodiscard]] bool is_ready(time_point now) const;
    [[nodiscard]] exchange_view view(time_point now) const;

    [[nodiscard]] std::vector<outgoing_message> take_messages() {
        return std::exchange(messages_, {});
    }
    [[nodiscard]] std::vector<numbered_call> take_calls() { return std::exchange(calls_, {}); }
    [[nodiscard]] std::vector<contract_version> take_contracts() { return relay_.take_changes(); }
    [[nodiscard]] std::vector<backend_change> take_backend_changes() {
        return backends_.take_changes();
    }
    [[nodiscard]] std::vector<member_event> take_member_events() {
        return std::exchange(member_events_, {});
    }

private:
    void apply_host_page(const host_page& page, time_point now);
    void broadcast(const backend_state_message& update);

    membership members_;
    contract_relay relay_;
    backend_states backends_;
    std::mt19937_64 random_;
    time_point next_host_list_;
    std::vector<outgoing_message> messages_;
    std::vector<numbered_call> calls_;
    std::vector<member_event> member_events_;
};

} // namespace magnolia
