/// Merges the events of many processes into one order although their wall clocks differ. Does no
/// I/O and reads no clock.
#pragma once

#include <magnolia/schema.h>

#include <cstddef>
#include <deque>
#include <map>
#include <span>
#include <utility>

namespace magnolia {

/// Identifies one run of a process; a restart changes `boot`.
struct process_run {
    std::string host;
    std::uint64_t boot = 0;

    auto operator<=>(const process_run&) const = default;
};

/// An event in the merged order.
struct ordered_event {
    timeline_event event;
    /// Time on the common clock, in microseconds; not earlier than that of an earlier event of the
    /// same process or of its cause, unless the cause was ignored (see timeline::ordered()).
    std::int64_t time_us = 0;
    /// Index of the cause in the same list; SIZE_MAX if the event has no cause, the list lacks it
    /// or it was ignored.
    std::size_t cause = SIZE_MAX;
};

/// Selects the events to show; an empty field matches all events.
struct timeline_filter {
    std::string request{};
    std::string workspace{};
    std::string host{};
    /// Maximum number of events; the last ones in the order are selected.
    std::size_t limit = 10'000;
};

/// Bounds of the clock offset between two processes, in microseconds, derived from the events of
/// one that were caused by the other. An effect is never earlier than its cause, so causes in both
/// directions give a lower and an upper bound.
struct offset_bounds {
    std::int64_t min_us = INT64_MIN;
    std::int64_t max_us = INT64_MAX;

    /// Midpoint of the bounds; with only one bound, the value nearest to zero that satisfies it.
    [[nodiscard]] std::int64_t estimate_us() const;
    /// Width of the interval; INT64_MAX with only one bound.
    [[nodiscard]] std::int64_t uncertainty_us() const;
};

/// Stores the most recently received events of all processes and computes their merged order. Owned
/// by magnolia-timeline. Not thread-safe.
class timeline {
public:
    /// @param max_events  maximum number of stored events; those that were received first are
    ///                    evicted first.
    explicit timeline(std::size_t max_events) : max_events_{max_events} {}

    /// Adds an event. Returns false for a duplicate of a stored event.
    bool add(timeline_event event);

    /// Events in an order that preserves the sequence of each process and puts causes before
    /// effects. Events that these rules leave unordered are sorted by their time on the common
    /// clock. Where causes contradict the sequences (a cycle), some causes are ignored.
    [[nodiscard]] std::vector<ordered_event> ordered(const timeline_filter& filter = {}) const;

    /// Offsets in microseconds to add to the wall clock of each process to get the common clock.
    [[nodiscard]] std::map<process_run, std::int64_t> offsets() const;

    /// Number of stored events.
    [[nodiscard]] std::size_t size() const { return arrivals_.size(); }
    /// Number of events missing between the first and the last stored event of each process.
    [[nodiscard]] std::uint64_t missing() const;

private:
    using event_key = std::pair<process_run, std::uint64_t>;

    [[nodiscard]] const timeline_event* cause_of(const timeline_event& event) const;
    void evict_oldest();

    std::size_t max_events_;
    std::map<process_run, std::map<std::uint64_t, timeline_event>> runs_;
    std::deque<event_key> arrivals_;
};

/// Whether the event matches all fields of the filter; `limit` is ignored.
[[nodiscard]] bool matches(const timeline_filter& filter, const timeline_event& event);

} // namespace magnolia
