/// Distributes contracts from the platform's store to all entries. Two relays per zone, chosen by
/// rendezvous hashing, watch the store and push changes to the entries of their zone. Every entry
/// polls a relay with its digest, repairs differences from that peer (anti-entropy), and tracks the
/// age of its last confirmation.
#pragma once

#include "contract_repair.h"
#include "contract_watcher.h"

#include <deque>
#include <random>
#include <set>

namespace magnolia {

/// Intervals and timeouts.
struct relay_options {
    /// Interval between two polls of a relay.
    std::chrono::milliseconds poll_period{1500};
    /// Time after which an unanswered poll is given up and the next relay is polled.
    std::chrono::milliseconds poll_timeout{500};
    /// Age of the last confirmation at which this entry counts as cut off from the configuration.
    std::chrono::milliseconds lease{8000};
    /// Age of the last confirmation at which relays of other zones are polled too.
    std::chrono::milliseconds query_other_zones_after{3000};
    /// Minimum interval between two writes of the zone's status.
    std::chrono::milliseconds status_period{2000};
    /// Interval after which an unchanged status is written again.
    std::chrono::milliseconds status_refresh{10000};
};

/// The contracts of one entry and its part in their distribution. Does no I/O: poll() returns the
/// messages and calls to send. Owned by entry_exchange; not thread-safe.
class contract_relay {
public:
    contract_relay(std::string self, std::string zone, std::uint64_t seed,
                   relay_options options = {});

    /// Sets the other members, from which the relays of each zone follow; starts or stops watching
    /// the store if this entry becomes or ceases to be a relay.
    void set_members(std::span<const member_info> members, time_point now);

    /// Handles a message of a peer; messages about other matters are ignored.
    void on_message(std::string_view from, const peer_message& message, time_point now);
    /// Starts a repair from a peer whose gossiped digest differs, at most every 5 s and not within
    /// 3 s after a change.
    void on_digest_mismatch(std::string_view peer, time_point now);
    /// Handles the reply to a call of poll().
    void on_reply(std::uint64_t number, const result<platform_reply>& reply, time_point now);

    /// Appends the messages and calls that are due to the given lists.
    void poll(time_point now, std::vector<outgoing_message>& messages,
              std::vector<numbered_call>& calls);

    [[nodiscard]] const contract_table& table() const { return table_; }
    /// Returns the contracts that changed since the last call.
    [[nodiscard]] std::vector<contract_version> take_changes();
    [[nodiscard]] bool is_relay() const { return is_relay_; }
    /// Time since the moment at which the store is known to have held nothing newer than the table;
    /// duration::max() if there was none.
    [[nodiscard]] duration age(time_point now) const;
    /// Whether the lease of the configuration has lapsed, so that the contracts' rule for a cut-off
    /// entry applies.
    [[nodiscard]] bool is_lapsed(time_point now) const { return age(now) >= options_.lease; }

private:
    /// A change whose propagation in the zone the relay tracks.
    struct tracked_change {
        std::string workspace;
        std::uint64_t version = 0;
        std::uint64_t revision = 0;
    };
    /// A poll without an answer yet.
    struct pending_poll {
        std::uint32_t number = 0;
        std::string to;
        time_point sent_at{};
    };
    /// The zone's status object as last read or written, and the call for it in flight.
    struct status_state {
        zone_status written;
        std::uint64_t version = 0;
        std::optional<std::uint64_t> pending_call;
        bool is_loaded = false;
        time_point sent_at{};
        time_point next_due{};
    };

    void on(std::string_view from, const config_poll& message, time_point now);
    void on(std::string_view from, const config_answer& message, time_point now);
    void on(std::string_view from, const config_buckets& message, time_point now);
    void on(std::string_view from, const config_versions& message, time_point now);
    void on(std::string_view from, const config_fetch& message, time_point now);
    void on(std::string_view from, const config_contracts& message, time_point now);
    template <class Other>
    void on(std::string_view, const Other&, time_point) {}

    /// Puts a contract into the table; returns whether it was newer.
    bool put(const contract_version& value, time_point now);
    /// Records that the table is complete up to `revision` as of `at`.
    void confirm(std::optional<time_point> at, std::uint64_t revision);
    /// Sends changes to all other entries of the zone, in messages of bounded size.
    void push_changes(std::vector<contract_version> changes);
    /// Takes over the confirmation of the peer after a complete repair.
    void finish_repair();
    void send(std::string_view member, peer_message message);
    void send(std::optional<outgoing_message> message);

    /// Relays to poll in turn: those of the zone, and one of another zone if they do not suffice.
    [[nodiscard]] std::vector<std::string> poll_targets(time_point now);
    void poll_relay(time_point now);
    /// Reads or writes the zone's status; only the first relay of the zone does so.
    void poll_status(time_point now, std::vector<numbered_call>& calls);
    void on_status_reply(const result<platform_reply>& reply, time_point now);
    [[nodiscard]] zone_status make_status() const;

    std::string self_;
    std::string zone_;
    relay_options options_;
    std::mt19937_64 random_;
    contract_table table_;
    contract_watcher watcher_;
    contract_repair repair_;
    std::vector<std::string> zone_relays_;
    std::vector<std::string> zone_entries_;
    std::vector<std::string> other_zone_relays_;
    bool is_relay_ = false;
    std::optional<time_point> confirmed_at_;
    std::uint64_t revision_ = 0;
    /// Revision of the last change of a contract that this relay has seen.
    std::uint64_t changed_revision_ = 0;
    std::optional<time_point> changed_at_;
    std::optional<pending_poll> pending_poll_;
    time_point next_poll_{};
    std::size_t poll_count_ = 0;
    /// Consecutive polls without an answer.
    std::size_t unanswered_polls_ = 0;
    time_point next_mismatch_repair_{};
    std::uint32_t next_message_number_ = 1;
    std::uint64_t next_call_number_ = 1;
    /// Revision in force at each live entry of the zone, according to its polls of this relay.
    std::map<std::string, std::uint64_t, std::less<>> entry_revisions_;
    std::deque<tracked_change> tracked_changes_;
    status_state status_;
    std::vector<contract_version> changes_;
    std::vector<outgoing_message> outgoing_;
};

} // namespace magnolia
