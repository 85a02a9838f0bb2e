/// Which entries live: SWIM probing with suspicion, incarnations and refutation; news rides on the
/// probes.
#pragma once

#include "outgoing_message.h"

#include <magnolia/types.h>

#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace magnolia {

/// Times and bounds of the probing.
struct membership_options {
    /// Time between two probes of one member each.
    std::chrono::milliseconds probe_period{1000};
    std::chrono::milliseconds ack_timeout{300};
    /// Time for the answer to come through other members.
    std::chrono::milliseconds indirect_timeout{600};
    /// Members that are asked to probe a silent one.
    std::size_t indirect_probes = 3;
    /// Time that a suspect has to refute.
    std::chrono::milliseconds suspicion_timeout{4000};
    /// Time between two probes of members that are gone.
    std::chrono::milliseconds gone_probe_period{2000};
    /// Time for which a gone member is remembered, unless the settings name it.
    std::chrono::milliseconds gone_retention{600000};
    /// Silence of all other zones after which the own zone counts as cut off.
    std::chrono::milliseconds cut_off_after{3000};
    /// Time between two requests for a whole list.
    std::chrono::milliseconds list_request_period{10000};
    /// Bytes of news on one message.
    std::size_t max_piggyback_bytes = 600;
};

/// A member whose state changed.
struct member_event {
    member_info member;
    host_state before = host_state::gone;
};

/// One entry's view of the entries. Not thread-safe.
class membership {
public:
    /// @param self  name, zone and address of this entry; the incarnation is its wall clock at
    ///              start in ms, so that a restarted entry overrules its former self.
    membership(member_info self, std::uint64_t seed, membership_options options = {});

    /// Adds members of the settings or the platform's host list. Nothing is believed of them until
    /// they answer.
    /// @param keep  whether they are probed for ever.
    void add_seeds(std::span<const member_info> members, bool is_permanent, time_point now);

    /// Digest of the contracts in force here, sent with each probe.
    void set_config_digest(const config_digest& digest) { config_ = digest; }

    void on_message(std::string_view from, const peer_message& message, time_point now);

    /// Messages due now.
    [[nodiscard]] std::vector<outgoing_message> poll(time_point now);

    /// Announces that this entry takes no new work, first to its zone.
    void leave();

    /// Every known member but this one, by name.
    [[nodiscard]] std::vector<member_info> members() const;
    [[nodiscard]] const member_info& self() const { return self_; }
    [[nodiscard]] host_state state_of(std::string_view name) const;
    /// Changes since the last call.
    [[nodiscard]] std::vector<member_event> take_events();
    /// Members whose contracts differed from the digest here, since the last call.
    [[nodiscard]] std::vector<std::string> take_config_differences();

    /// Whether no member of any other zone has been heard for the stated time. False if no other
    /// zone is known.
    [[nodiscard]] bool is_cut_off(time_point now) const;

private:
    struct member_record {
        member_info info;
        /// Times that the news is still to be sent.
        std::size_t transmissions_left = 0;
        /// Moment of the last change of state.
        time_point state_changed_at{};
        bool is_permanent = false;
    };
    struct pending_probe {
        std::string target;
        time_point sent_at{};
        bool has_indirect_requests = false;
        /// Member that asked for this probe, and its number.
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

    void record_contact(std::string_view from, time_point now);
    void apply_updates(std::span<const member_info> updates, time_point now);
    void apply_update(const member_info& update, time_point now);
    void refute(const member_info& update);
    void set_state(member_record& member, const member_info& update, time_point now);
    void compare_digests(std::string_view from, std::uint64_t members_hash,
                         const config_digest& config, time_point now);

    void probe_next(time_point now);
    void probe_other_zone(time_point now);
    void probe_gone(time_point now);
    void check_probes(time_point now);
    void request_indirect_probes(std::uint32_t number, const pending_probe& unanswered);
    void expire_suspects(time_point now);
    void request_member_list(time_point now);
    void send_ping(const std::string& target, time_point now, std::string requester = {},
                   std::uint32_t requester_number = 0);
    void send(std::string_view member, peer_message message);
    [[nodiscard]] std::vector<member_info> pick_updates(std::string_view to);
    [[nodiscard]] std::size_t transmission_limit() const;
    [[nodiscard]] std::uint64_t members_hash() const;
    template <class Predicate>
    [[nodiscard]] std::vector<std::string> pick_random(std::size_t count, Predicate predicate);

    member_info self_;
    std::size_t self_transmissions_left_;
    membership_options options_;
    std::mt19937_64 random_;
    config_digest config_;
    std::map<std::string, member_record, std::less<>> members_;
    std::map<std::uint32_t, pending_probe> pending_probes_;
    /// Members in the order in which they are probed, last first.
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
