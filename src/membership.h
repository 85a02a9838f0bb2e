/// Membership of the entries by the SWIM protocol: probing with suspicion, incarnations and
/// refutation. Updates are disseminated by piggybacking them on the probes.
#pragma once

#include "outgoing_message.h"

#include <magnolia/types.h>

#include <map>
#include <optional>
#include <random>
#include <span>
#include <utility>
#include <vector>

namespace magnolia {

/// Timing and bounds of the protocol.
struct membership_options {
    /// Time between two probes; each probe goes to one member.
    std::chrono::milliseconds probe_period{1000};
    /// Time without an ack after which indirect probes are requested.
    std::chrono::milliseconds ack_timeout{300};
    /// Further time for an ack through other members; then the member becomes suspect.
    std::chrono::milliseconds indirect_timeout{600};
    /// Members that are requested to probe a member that does not answer.
    std::size_t indirect_probes = 3;
    /// Time that a suspect member has to refute the suspicion before it is declared gone.
    std::chrono::milliseconds suspicion_timeout{4000};
    /// Time between two probes of gone members; one random member each. Notices a healed
    /// partition and a restarted member.
    std::chrono::milliseconds gone_probe_period{2000};
    /// Time after which a gone member is removed, unless it is a permanent seed.
    std::chrono::milliseconds gone_retention{600000};
    /// Time without a message from any other zone after which the own zone counts as cut off.
    std::chrono::milliseconds cut_off_after{3000};
    /// Shortest time between two requests for a full member list because digests differ
    /// (anti-entropy).
    std::chrono::milliseconds list_request_period{10000};
    /// Bytes of piggybacked updates on one message.
    std::size_t max_piggyback_bytes = 600;
    /// Members in one message of a full list, which is sent in parts.
    std::size_t members_per_list_message = 200;
    /// Listed members without any sign of life that are probed by each poll(), beside the probe of
    /// the period. If not 0, such a member is declared gone only after a probe of its own.
    std::size_t unconfirmed_probes = 0;
};

/// Change of a member's state.
struct member_event {
    /// The member with its new state.
    member_info member;
    host_state before = host_state::gone;
};

/// One entry's view of all entries. Owned by entry_exchange. Not thread-safe; does no I/O: messages
/// are returned by poll(), and time is passed in.
///
/// Each update carries the incarnation of the member that it describes. A higher incarnation
/// overrules a lower one; within one incarnation, gone overrules leaving, leaving suspect, and
/// suspect live. Only the member itself raises its incarnation: to refute an update, or to leave.
class membership {
public:
    /// @param self  name, zone and address of this entry. Its incarnation is the wall clock at the
    ///              start in ms, so that a restarted entry overrules what is known of its last run.
    /// @param seed  seed of the random choices.
    membership(member_info self, std::uint64_t seed, membership_options options = {});

    /// Adds members named by the settings or the platform's host list. They start as suspect and,
    /// as any suspect, become gone if they do not answer within the suspicion timeout.
    /// @param is_permanent  whether they stay in the list, and are probed, for ever.
    void add_seeds(std::span<const member_info> members, bool is_permanent, time_point now);

    /// Sets the digest of the contracts in force at this entry; it is sent with each probe and ack.
    void set_config_digest(const config_digest& digest) { config_ = digest; }

    /// Handles the membership messages of other entries. Any message of a known member counts as
    /// contact with its zone.
    void on_message(std::string_view from, const peer_message& message, time_point now);

    /// Sends the probes that are due, times out unanswered ones and expires suspects. Returns the
    /// messages to send.
    [[nodiscard]] std::vector<outgoing_message> poll(time_point now);

    /// Takes the messages to send since the last poll(): answers to on_message().
    [[nodiscard]] std::vector<outgoing_message> take_messages() {
        return std::exchange(outgoing_, {});
    }

    /// Probes a member at once, so that it knows this entry.
    void greet(const std::string& member, time_point now) { send_ping(member, now); }

    /// Announces that this entry accepts no new work: at once to the live members of its zone, then
    /// to all by gossip.
    void leave();

    /// All known members except this entry, sorted by name.
    [[nodiscard]] std::vector<member_info> members() const;
    [[nodiscard]] const member_info& self() const { return self_; }
    /// State of a member, or of this entry; gone if the name is unknown.
    [[nodiscard]] host_state state_of(std::string_view name) const;
    /// Returns the changes of state since the last call.
    [[nodiscard]] std::vector<member_event> take_events();
    /// Returns the members whose config digest differed from that of this entry since the last
    /// call; a name may occur more than once.
    [[nodiscard]] std::vector<std::string> take_config_differences();

    /// Whether no message from any other zone has arrived for membership_options::cut_off_after.
    /// False if no other zone is known.
    [[nodiscard]] bool is_cut_off(time_point now) const;

private:
    /// Last known state of a member and the dissemination of that update.
    struct member_record {
        member_info info;
        /// Number of messages on which the last update of the member is still to be piggybacked.
        std::size_t transmissions_left = 0;
        /// Time of the last update.
        time_point updated_at{};
        /// Never removed from the list.
        bool is_permanent = false;
        /// A listed member was probed since it was added.
        bool was_probed = false;

        /// Only named by a list: no update of the member itself has arrived.
        [[nodiscard]] bool is_unconfirmed() const { return info.incarnation == 0; }
    };
    /// Ping that has not been acknowledged.
    struct pending_probe {
        std::string target;
        time_point sent_at{};
        bool has_indirect_requests = false;
        /// Member that requested this probe (ping-req) and the number of its own ping; empty for a
        /// probe of this entry.
        std::string requester;
        std::uint32_t requester_number = 0;
    };

    void on(std::string_view from, const ping_message& message, time_point now);
    void on(std::string_view from, const ack_message& message, time_point now);
    void on(std::string_view from, const ping_request_message& message, time_point now);
    void on(std::string_view from, const member_list_request& message, time_point now);
    void on(std::string_view from, const member_list_message& message, time_point now);
    template <class Other>
    void on(std::string_view, const Other&, time_point) {}

    /// Records the time of a message if the sender is in another zone.
    void record_contact(std::string_view from, time_point now);
    void apply_updates(std::span<const member_info> updates, time_point now);
    void apply_update(const member_info& update, time_point now);
    /// Handles an update about this entry: if it contradicts the own state, refutes it with a
    /// higher incarnation.
    void refute(const member_info& update);
    /// Applies an update to a record, schedules its dissemination, and records an event if the
    /// state changed.
    void set_state(member_record& member, const member_info& update, time_point now);
    /// Compares the digests of a sender with the own ones. Records a different config digest;
    /// requests the full member list if the lists differ and no update is still being disseminated.
    void compare_digests(std::string_view from, std::uint64_t members_hash,
                         const config_digest& config, time_point now);

    /// Probes the next member that is not gone, in a random order that is drawn again when all have
    /// been probed.
    void probe_next(time_point now);
    /// Probes a random member of another zone if no message from one has arrived for a probe
    /// period, so that a partition and its end are detected quickly.
    void probe_other_zone(time_point now);
    /// Probes a random gone member, if it is time to.
    void probe_gone(time_point now);
    /// Probes listed members that have given no sign of life.
    void probe_unconfirmed(time_point now);
    /// Requests indirect probes for pings without an ack, and declares their targets suspect after
    /// the indirect timeout; a leaving member becomes gone directly.
    void check_probes(time_point now);
    void request_indirect_probes(std::uint32_t number, const pending_probe& unanswered);
    /// Declares members gone that did not refute a suspicion in time, and removes old gone ones.
    void expire_suspects(time_point now);
    /// Requests full member lists until the first one has arrived.
    void request_member_list(time_point now);
    void send_ping(const std::string& target, time_point now, std::string requester = {},
                   std::uint32_t requester_number = 0);
    void send(std::string_view member, peer_message message);
    /// Chooses the updates to piggyback on a message: about this entry, then about the receiver if
    /// it is not live (so that it can refute), then those with the most transmissions left.
    [[nodiscard]] std::vector<member_info> pick_updates(std::string_view to);
    /// Number of messages on which a new update is piggybacked; logarithmic in the number of
    /// members.
    [[nodiscard]] std::size_t transmission_limit() const;
    /// Hash over this entry and the members that are not gone, without seeds that have not
    /// answered; equal views have equal hashes.
    [[nodiscard]] std::uint64_t members_hash() const;
    /// Draws up to `count` members for which the predicate holds.
    template <class Predicate>
    [[nodiscard]] std::vector<std::string> pick_random(std::size_t count, Predicate predicate);

    member_info self_;
    std::size_t self_transmissions_left_;
    membership_options options_;
    std::mt19937_64 random_;
    config_digest config_;
    std::map<std::string, member_record, std::less<>> members_;
    std::map<std::uint32_t, pending_probe> pending_probes_;
    /// Members still to be probed in this round; the next one is at the back.
    std::vector<std::string> probe_order_;
    std::vector<outgoing_message> outgoing_;
    std::vector<member_event> events_;
    std::vector<std::string> config_differences_;
    std::uint32_t next_probe_number_;
    time_point next_probe_{};
    time_point next_gone_probe_{};
    time_point next_other_zone_probe_{};
    time_point next_list_request_{};
    std::optional<time_point> first_poll_at_;
    std::optional<time_point> other_zone_last_seen_;
    bool has_received_list_ = false;
};

} // namespace magnolia
