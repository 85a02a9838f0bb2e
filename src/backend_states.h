/// Which back ends take new work: merges the platform's lagging host list, the back ends' own signs
/// and update from other entries. Pure decisions.
#pragma once

#include <magnolia/error.h>

#include <map>
#include <span>
#include <vector>

namespace magnolia {

struct backend_state_settings {
    /// Least time between the update that a back end leaves and a moment at which it was seen live.
    duration rejoin_guard{2000000};
    /// Rounds in which an entry passes update on, and the time between them.
    std::uint32_t gossip_rounds = 3;
    duration round_interval{200000};
};

/// A back end's state in the host list.
struct listed_backend {
    std::string name;
    host_state state = host_state::live;
};

/// State that changed, for the router.
struct backend_change {
    std::string name;
    host_state state = host_state::live;

    bool operator==(const backend_change&) const = default;
};

/// States at one entry. Not thread-safe.
///
/// - A sign that the back end gave itself (refusal, drain answer, load report) goes before the
/// list.
/// - A leaving sign of the back end (refusal, drain answer, load report) is undone only by a sign
/// that describes a later moment, or by update with a higher
///   sequence; of two states with the same sequence the more restrictive one stays.
class backend_states {
public:
    /// @param self  name of this entry, the source of its update.
    backend_states(std::string self, backend_state_settings settings)
        : self_{std::move(self)}, settings_{settings} {}

    /// Takes the whole list of one kind of back end.
    void apply_list(std::span<const listed_backend> list);

    /// Takes a sign of the back end itself: live or leaving. @param age  of what it describes.
    void on_state_report(const std::string& name, host_state state, duration age, time_point now);

    /// Takes update from another entry.
    void apply_update(const backend_state_message& update, time_point now);

    /// State by all that is known; gone for an unknown name.
    [[nodiscard]] host_state state(const std::string& name) const;

    /// Changes since the last call.
    [[nodiscard]] std::vector<backend_change> take_changes();
    /// News due now, each for a few random members.
    [[nodiscard]] std::vector<backend_state_message> poll(time_point now);
    /// Time of the next poll that matters.
    [[nodiscard]] time_point next_due() const;

private:
    struct backend_record {
        host_state listed = host_state::live;
        /// Last sign or update; sequence 0 if there is none.
        backend_state_message latest;
        time_point updated_at{};
        std::uint32_t rounds_left = 0;
        time_point due{};
        host_state reported = host_state::gone;
    };

    void adopt(backend_record& known, const backend_state_message& update, time_point now);
    void report_change(const std::string& name, backend_record& known);
    [[nodiscard]] static host_state merged(const backend_record& known);

    std::string self_;
    backend_state_settings settings_;
    std::map<std::string, backend_record> records_;
    std::vector<backend_change> changes_;
};

} // namespace magnolia
