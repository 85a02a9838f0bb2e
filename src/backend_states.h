/// Which backend servers take new requests: merges the platform's host list, which lags, with state
/// reports of the backend servers themselves and with updates gossiped by other entries. Does no
/// I/O.
#pragma once

#include <magnolia/error.h>

#include <map>
#include <span>
#include <vector>

namespace magnolia {

/// Timing of backend_states.
struct backend_state_settings {
    /// A backend server that was leaving counts as live again only if its report describes a moment
    /// at least this long after the leaving report arrived.
    duration rejoin_guard{2000000};
    /// Rounds in which an entry gossips an update, and the time between them.
    std::uint32_t gossip_rounds = 3;
    duration round_interval{200000};
};

/// State of a backend server in the host list.
struct listed_backend {
    std::string name;
    host_state state = host_state::live;
};

/// A change of the merged state, for the router.
struct backend_change {
    std::string name;
    host_state state = host_state::live;

    bool operator==(const backend_change&) const = default;
};

/// Merged states at one entry. Owned by entry_exchange. Not thread-safe.
///
/// A state report is a refusal, a drain answer or a load report of the backend server itself.
/// - Where the list has a backend server as live, its latest state report takes precedence, whether
///   it arrived directly or by gossip.
/// - A report of leaving is undone only by a report that describes a later moment, or by an update
///   with a higher sequence. Of two states with the same sequence the more restrictive one stays,
///   so that all entries agree whatever the order of the updates.
class backend_states {
public:
    /// @param self  name of this entry, the source of its updates.
    backend_states(std::string self, backend_state_settings settings)
        : self_{std::move(self)}, settings_{settings} {}

    /// Applies the complete host list. Backend servers missing from it are gone.
    void apply_list(std::span<const listed_backend> list);

    /// Applies a report of the backend server itself: live or leaving.
    /// @param age  time since the moment that the report describes.
    void on_state_report(const std::string& name, host_state state, duration age, time_point now);

    /// Applies an update from another entry.
    void apply_update(const backend_state_message& update, time_point now);

    /// Merged state; gone for an unknown name.
    [[nodiscard]] host_state state(const std::string& name) const;

    /// Takes the changes of merged states since the last call.
    [[nodiscard]] std::vector<backend_change> take_changes();
    /// Updates due now; each is to be sent to a few random members.
    [[nodiscard]] std::vector<backend_state_message> poll(time_point now);
    /// Time at which poll() next returns an update; time_point::max() if none is due.
    [[nodiscard]] time_point next_due() const;

private:
    struct backend_record {
        host_state listed = host_state::live;
        /// Latest report or update; sequence 0 if there is none.
        backend_state_message latest;
        time_point updated_at{};
        /// Gossip rounds left for `latest`, and the time of the next one.
        std::uint32_t rounds_left = 0;
        time_point due{};
        /// Merged state that was last returned as a change.
        host_state reported = host_state::gone;
    };

    /// Replaces the latest report and starts to gossip it.
    void adopt(backend_record& record, const backend_state_message& update, time_point now);
    /// Queues a change if the merged state differs from the reported one.
    void report_change(const std::string& name, backend_record& record);
    [[nodiscard]] static host_state merged(const backend_record& record);

    std::string self_;
    backend_state_settings settings_;
    std::map<std::string, backend_record> records_;
    std::vector<backend_change> changes_;
};

} // namespace magnolia
