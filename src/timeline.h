/// Orders the events of many processes whose clocks differ. Pure: no clock, no sockets.
#pragma once

#include <magnolia/schema.h>

#include <cstddef>
#include <deque>
#include <map>
#include <span>
#include <utility>

namespace magnolia {

/// One run of one process.
struct process_run {
    std::string host;
    std::uint64_t boot = 0;

    auto operator<=>(const process_run&) const = default;
};

/// An event with its place in the common order.
struct ordered_event {
    timeline_event event;
    /// Time on the common clock; never before a cause or an earlier event of the same process.
    std::int64_t time_us = 0;
    /// Position of the cause in the same list; SIZE_MAX if there is none or it is not known.
    std::size_t cause = SIZE_MAX;
};

/// Which events are shown; empty fields match all.
struct timeline_filter {
    std::string request{};
    std::string workspace{};
    std::string host{};
    /// The last ones are shown.
    std::size_t limit = 10'000;
};

/// Bounds on the clock offset between two processes, from the causes that link them. A cause is
/// never later than its effect, so links in both directions enclose the offset.
struct offset_bounds {
    std::int64_t min_us = INT64_MIN;
    std::int64_t max_us = INT64_MAX;

    /// Middle of the bounds; with one bound, the value nearest to zero that keeps it.
    [[nodiscard]] std::int64_t estimate_us() const;
    /// Width of the bounds; INT64_MAX with one bound.
    [[nodiscard]] std::int64_t uncertainty_us() const;
};

/// Keeps the newest events of all processes up to a bound.
class timeline {
public:
    /// @param max_events  events kept; the ones that arrived first go first.
    explicit timeline(std::size_t max_events) : max_events_{max_events} {}

    /// Adds an event. Returns false for one that is there already.
    bool add(timeline_event event);

    /// Events in an order that keeps every process's sequence and puts causes before effects;
    /// among events that neither of these orders, by the common clock.
    [[nodiscard]] std::vector<ordered_event> ordered(const timeline_filter& filter = {}) const;

    /// Microseconds to add to each process's wall clock to get the common clock.
    [[nodiscard]] std::map<process_run, std::int64_t> offsets() const;

    [[nodiscard]] std::size_t size() const { return arrivals_.size(); }
    /// Events missing within the sequences of the kept processes.
    [[nodiscard]] std::uint64_t missing() const;

private:
    using event_key = std::pair<process_run, std::uint64_t>;

    [[nodiscard]] const timeline_event* cause_of(const timeline_event& event) const;
    void evict_oldest();

    std::size_t max_events_;
    std::map<process_run, std::map<std::uint64_t, timeline_event>> runs_;
    std::deque<event_key> arrivals_;
};

/// Whether the event passes the filter's fields.
[[nodiscard]] bool matches(const timeline_filter& filter, const timeline_event& event);

} // namespace magnolia
