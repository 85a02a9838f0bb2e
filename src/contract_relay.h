/// Keeps the contracts in force at this entry: two relays per zone watch the platform and pass
/// changes on; entries poll a relay, repair from peers, and know the age of what they hold.
#pragma once

#include "contract_repair.h"
#include "contract_watcher.h"

#include <deque>
#include <random>
#include <set>

namespace magnolia {

/// Times and bounds.
struct relay_options {
    /// Time between two polls of a relay.
    std::chrono::milliseconds poll_period{1500};
    /// Wait for a relay's answer before the other one is asked.
    std::chrono::milliseconds poll_timeout{500};
    /// Age of the last confirmation at which this entry counts as cut off.
    std::chrono::milliseconds lease{8000};
    /// Age at which a relay asks relays of other zones.
    std::chrono::milliseconds query_other_zones_after{3000};
    std::chrono::milliseconds status_period{2000};
    std::chrono::milliseconds status_refresh{10000};
};

/// One entry's part. Not thread-safe.
class contract_relay {
public:
    contract_relay(std::string self, std::string zone, std::uint64_t seed,
                   relay_options options = {});

    /// Members other than this entry.
    void set_members(std::span<const member_info> members, time_point now);

    void on_message(std::string_view from, const peer_message& message, time_point now);
    /// A peer's digest differs; its table may hold what this one missed.
    void on_digest_mismatch(std::string_view peer, time_point now);
    void on_reply(std::uint64_t number, const result<platform_reply>& reply, time_point now);

    /// Messages and calls due now are added to the given lists.
    void poll(time_point now, std::vector<outgoing_message>& messages,
              std::vector<numbered_call>& calls);

    [[nodiscard]] const contract_table& table() const { return table_; }
    /// Contracts that came into force since the last call.
    [[nodiscard]] std::vector<contract_version> take_changes();
    [[nodiscard]] bool is_relay() const { return is_relay_; }
    /// Time since the store was last known to hold nothing newer; duration::max() if it never was.
    [[nodiscard]] duration age(time_point now) const;
    /// Whether the lease of the configuration has lapsed: the contracts' cut-off rule applies.
    [[nodiscard]] bool is_lapsed(time_point now) const { return age(now) >= options_.lease; }

private:
    /// A change that the relay follows through its zone.
    struct tracked_change {
        std::string workspace;
        std::uint64_t version = 0;
        std::uint64_t revision = 0;
    };
    struct pending_poll {
        std::uint32_t number = 0;
        std::string to;
        time_point sent_at{};
    };
    /// Status object as the store has it.
    struct status_state {
        zone_status written;
        std::uint64_t version = 0;
        std::optional<std::uint64_t> pending_call;
        bool is_loaded = false;
        time_point sent_at{};
        time_point next{};
    };

    void on(std::string_view from, const config_poll& message, time_point now);
    void on(std::string_view from, const config_answer& message, time_point now);
    void on(std::string_view from, const config_buckets& message, time_point now);
    void on(std::string_view from, const config_versions& message, time_point now);
    void on(std::string_view from, const config_fetch& message, time_point now);
    void on(std::string_view from, const config_contracts& message, time_point now);
    template <class Other>
    void on(std::string_view, const Other&, time_point) {}

    bool put(const contract_version& value, time_point now);
    void confirm(std::optional<time_point> at, std::uint64_t revision);
    void push_changes(std::vector<contract_version> changes);
    void finish_repair();
    void send(std::string_view member, peer_message message);
    void send(std::optional<outgoing_message> message);

    [[nodiscard]] std::vector<std::string> poll_targets(time_point now);
    void poll_relay(time_point now);
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
    /// Revision at which the contracts last changed, as far as this relay saw.
    std::uint64_t changed_revision_ = 0;
    std::optional<time_point> changed_at_;
    std::optional<pending_poll> pending_poll_;
    time_point next_poll_{};
    std::size_t poll_count_ = 0;
    /// Polls without an answer since the last one with.
    std::size_t unanswered_polls_ = 0;
    time_point next_mismatch_repair_{};
    std::uint32_t next_message_number_ = 1;
    std::uint64_t next_call_number_ = 1;
    /// Revision in force at each live entry of the zone, as it last polled here.
    std::map<std::string, std::uint64_t, std::less<>> entry_revisions_;
    std::deque<tracked_change> tracked_changes_;
    status_state status_;
    std::vector<contract_version> changes_;
    std::vector<outgoing_message> outgoing_;
};

} // namespace magnolia
