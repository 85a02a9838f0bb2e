/// State that an entry shares with the other entries and the platform: members, active contracts
/// and states of backend servers. Performs no I/O: entry_server sends its messages and calls.
#pragma once

#include "backend_states.h"
#include "contract_relay.h"
#include "limiter.h"
#include "membership.h"

namespace magnolia {

/// Members, and what they imply for limits and contracts.
struct exchange_view {
    /// This entry and every member that is not gone.
    std::vector<limit_member> members;
    /// Peer listener addresses of the other members.
    std::vector<member_info> addresses;
    /// No member of another zone is reachable.
    bool is_cut_off = false;
    /// The configuration lease has lapsed: requests of contracts with the cut-off rule `refuse` are
    /// refused.
    bool is_lapsed = false;

    bool operator==(const exchange_view&) const = default;
};

/// Membership, contract relay and backend server states of one entry. Owned by entry_server and
/// used on its decision thread. Not thread-safe.
class entry_exchange {
public:
    /// @param self  this entry.
    /// @param seed_members  members listed in the settings.
    entry_exchange(const member_info& self, std::span<const member_info> seed_members,
                   std::uint64_t seed, time_point now);

    void on_message(std::string_view from, const peer_message& message, time_point now);
    void on_reply(std::uint64_t number, const result<platform_reply>& reply, time_point now);
    /// Applies a state report that came from the backend server itself (load report or refusal).
    /// @param age  age of the reported state.
    void on_backend_report(const std::string& name, host_state state, duration age, time_point now);

    /// Processes everything that is due; see the take_ functions for the results.
    void tick(time_point now);
    /// Announces to the other members that this entry takes no new requests.
    void leave() { members_.leave(); }

    [[nodiscard]] host_state backend_state(const std::string& name) const {
        return backends_.state(name);
    }
    /// Whether contracts have been received from the platform or a peer.
    [[nodiscard]] bool is_ready(time_point now) const;
    /// Current view of the members and contracts.
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
    /// Applies the platform's host list to the members and backend servers.
    void apply_host_page(const host_page& page, time_point now);
    /// Sends a state update to a few random live members.
    void gossip(const backend_state_message& update);

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
