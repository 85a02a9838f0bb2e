#include "timeline.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <queue>
#include <set>
#include <unordered_map>

namespace magnolia {
namespace {

using run_pair = std::pair<process_run, process_run>;

process_run run_of(const timeline_event& event) {
    return {event.host, event.boot};
}

/// Computes the clock offsets of all processes. In each connected group of processes one is the
/// reference with offset 0; offsets propagate from it to the others over the links with the
/// smallest uncertainty first (as in Prim's algorithm for a minimum spanning tree).
class clock_offset_solver {
public:
    /// Adds the constraint that `effect` is not earlier than `cause` on the common clock.
    void add_link(const timeline_event& cause, const timeline_event& effect) {
        const auto from = run_of(cause);
        const auto to = run_of(effect);
        if (from == to) {
            return;
        }
        // cause.wall_us + offset(from) <= effect.wall_us + offset(to), so that the gap is a lower
        // bound of offset(to) - offset(from) and the negative gap an upper bound of the reverse.
        const auto gap = cause.wall_us - effect.wall_us;
        auto& forward = bounds_[{from, to}];
        forward.min_us = std::max(forward.min_us, gap);
        auto& backward = bounds_[{to, from}];
        backward.max_us = std::min(backward.max_us, -gap);
    }

    /// Sets the offset of every process in the map.
    void solve(std::map<process_run, std::int64_t>& offsets) {
        std::set<process_run> reached;
        for (auto& [run, offset] : offsets) {
            if (!reached.contains(run)) {
                propagate_from(run, offsets, reached);
            }
        }
    }

private:
    /// Link from a process with a known offset to another one.
    struct candidate {
        std::int64_t uncertainty_us = 0;
        process_run from;
        process_run to;

        auto operator<=>(const candidate&) const = default;
    };
    using candidates = std::priority_queue<candidate, std::vector<candidate>, std::greater<>>;

    void enqueue_links(const process_run& from, candidates& frontier) const {
        const auto first = bounds_.lower_bound({from, process_run{}});
        for (auto link = first; link != bounds_.end() && link->first.first == from; ++link) {
            frontier.push({link->second.uncertainty_us(), from, link->first.second});
        }
    }

    void propagate_from(const process_run& start, std::map<process_run, std::int64_t>& offsets,
                        std::set<process_run>& reached) const {
        candidates frontier;
        reached.insert(start);
        enqueue_links(start, frontier);
        while (!frontier.empty()) {
            const auto next = frontier.top();
            frontier.pop();
            if (!reached.insert(next.to).second) {
                continue;
            }
            offsets[next.to] = offsets[next.from] + bounds_.at({next.from, next.to}).estimate_us();
            enqueue_links(next.to, frontier);
        }
    }

    /// Bounds of offset(second) - offset(first) for each pair of linked processes.
    std::map<run_pair, offset_bounds> bounds_;
};

/// Node of the dependency graph: an event and the events that have to precede it.
struct event_node {
    const timeline_event* event = nullptr;
    /// Time on the common clock. When a predecessor is emitted, raised to its time if that is
    /// later.
    std::int64_t time_us = 0;
    /// Index of the previous event of the same process; SIZE_MAX for the first one.
    std::size_t previous = SIZE_MAX;
    /// Index of the cause; SIZE_MAX if there is none.
    std::size_t cause = SIZE_MAX;
    /// Events that this event has to precede.
    std::vector<std::size_t> successors;
    /// Number of predecessors that are not emitted yet.
    std::size_t pending_predecessors = 0;
    bool is_emitted = false;
};

/// Topological sort of the events; among those whose predecessors are all emitted, the earliest one
/// is next. If causes contradict the sequences of processes (a cycle), so that no event is ready,
/// the cause of one event is ignored; see break_cycle().
class order_builder {
public:
    explicit order_builder(std::vector<event_node>& nodes) : nodes_{nodes} {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            add_dependency(nodes_[index].previous, index);
            add_dependency(nodes_[index].cause, index);
        }
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (nodes_[index].pending_predecessors == 0) {
                ready_.emplace(nodes_[index].time_us, index);
            }
        }
    }

    [[nodiscard]] std::vector<std::size_t> build() {
        std::vector<std::size_t> order;
        order.reserve(nodes_.size());
        while (order.size() < nodes_.size()) {
            const auto next = ready_.empty() ? break_cycle() : pop_ready();
            mark_emitted(next);
            order.push_back(next);
        }
        return order;
    }

private:
    void add_dependency(std::size_t before, std::size_t index) {
        if (before != SIZE_MAX) {
            nodes_[before].successors.push_back(index);
            ++nodes_[index].pending_predecessors;
        }
    }

    std::size_t pop_ready() {
        const auto next = ready_.top().second;
        ready_.pop();
        return next;
    }

    /// Called if no event is ready, that is, at a cycle: selects the earliest event whose
    /// predecessors in its own process are all emitted, and drops its cause. The event may be one
    /// that only follows from the cycle.
    std::size_t break_cycle() {
        std::size_t best = SIZE_MAX;
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            const auto& current = nodes_[index];
            const bool is_head = !current.is_emitted && (current.previous == SIZE_MAX ||
                                                         nodes_[current.previous].is_emitted);
            if (is_head && (best == SIZE_MAX || current.time_us < nodes_[best].time_us)) {
                best = index;
            }
        }
        nodes_[best].cause = SIZE_MAX;
        return best;
    }

    void mark_emitted(std::size_t index) {
        auto& current = nodes_[index];
        current.is_emitted = true;
        for (const auto next : current.successors) {
            auto& successor = nodes_[next];
            if (successor.is_emitted) {
                continue;
            }
            successor.time_us = std::max(successor.time_us, current.time_us);
            if (--successor.pending_predecessors == 0) {
                ready_.emplace(successor.time_us, next);
            }
        }
    }

    using ready_event = std::pair<std::int64_t, std::size_t>;

    std::vector<event_node>& nodes_;
    std::priority_queue<ready_event, std::vector<ready_event>, std::greater<>> ready_;
};

/// Events that match the filter, in the given order.
std::vector<ordered_event> select_events(const std::vector<event_node>& nodes,
                                         std::span<const std::size_t> order,
                                         const timeline_filter& filter) {
    std::vector<std::size_t> chosen;
    std::ranges::copy_if(order, std::back_inserter(chosen),
                         [&](std::size_t index) { return matches(filter, *nodes[index].event); });
    const auto skipped = chosen.size() - std::min(chosen.size(), filter.limit);
    chosen.erase(chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(skipped));
    std::unordered_map<std::size_t, std::size_t> position_of;
    std::vector<ordered_event> list;
    for (const auto index : chosen) {
        position_of[index] = list.size();
        const auto cause = position_of.find(nodes[index].cause);
        list.push_back({*nodes[index].event, nodes[index].time_us,
                        cause == position_of.end() ? SIZE_MAX : cause->second});
    }
    return list;
}

} // namespace

std::int64_t offset_bounds::estimate_us() const {
    if (min_us != INT64_MIN && max_us != INT64_MAX) {
        return min_us + (max_us - min_us) / 2;
    }
    return std::clamp<std::int64_t>(0, std::min(min_us, max_us), std::max(min_us, max_us));
}

std::int64_t offset_bounds::uncertainty_us() const {
    const bool has_both_bounds = min_us != INT64_MIN && max_us != INT64_MAX;
    return has_both_bounds ? std::abs(max_us - min_us) : INT64_MAX;
}

bool matches(const timeline_filter& filter, const timeline_event& event) {
    const auto matches_field = [](const std::string& filter_value, const std::string& value) {
        return filter_value.empty() || filter_value == value;
    };
    return matches_field(filter.request, event.request) &&
           matches_field(filter.workspace, event.workspace) &&
           matches_field(filter.host, event.host);
}

bool timeline::add(timeline_event event) {
    const auto run = run_of(event);
    const auto sequence = event.sequence;
    if (!runs_[run].emplace(sequence, std::move(event)).second) {
        return false;
    }
    arrivals_.emplace_back(run, sequence);
    if (arrivals_.size() > max_events_) {
        evict_oldest();
    }
    return true;
}

void timeline::evict_oldest() {
    const auto& [run, sequence] = arrivals_.front();
    const auto found = runs_.find(run);
    found->second.erase(sequence);
    if (found->second.empty()) {
        runs_.erase(found);
    }
    arrivals_.pop_front();
}

const timeline_event* timeline::cause_of(const timeline_event& event) const {
    if (event.cause_host.empty()) {
        return nullptr;
    }
    // The event names only the host of its cause, not the run; assume the run whose event with this
    // sequence number is nearest in time.
    const timeline_event* best = nullptr;
    std::int64_t smallest_gap = INT64_MAX;
    for (auto run = runs_.lower_bound({event.cause_host, 0});
         run != runs_.end() && run->first.host == event.cause_host; ++run) {
        const auto found = run->second.find(event.cause_sequence);
        if (found == run->second.end()) {
            continue;
        }
        const auto gap = std::abs(found->second.wall_us - event.wall_us);
        if (gap < smallest_gap) {
            best = &found->second;
            smallest_gap = gap;
        }
    }
    return best;
}

std::map<process_run, std::int64_t> timeline::offsets() const {
    std::map<process_run, std::int64_t> offsets;
    clock_offset_solver solver;
    for (const auto& [run, events] : runs_) {
        offsets[run] = 0;
        for (const auto& [sequence, event] : events) {
            if (const auto* cause = cause_of(event)) {
                solver.add_link(*cause, event);
            }
        }
    }
    solver.solve(offsets);
    return offsets;
}

std::vector<ordered_event> timeline::ordered(const timeline_filter& filter) const {
    const auto clocks = offsets();
    std::vector<event_node> nodes;
    nodes.reserve(arrivals_.size());
    std::unordered_map<const timeline_event*, std::size_t> index_of;
    for (const auto& [run, events] : runs_) {
        std::size_t previous = SIZE_MAX;
        for (const auto& [sequence, event] : events) {
            index_of[&event] = nodes.size();
            nodes.push_back({.event = &event,
                             .time_us = event.wall_us + clocks.at(run),
                             .previous = previous,
                             .successors = {}});
            previous = nodes.size() - 1;
        }
    }
    for (auto& current : nodes) {
        if (const auto* cause = cause_of(*current.event)) {
            current.cause = index_of.at(cause);
        }
    }
    const auto order = order_builder{nodes}.build();
    return select_events(nodes, order, filter);
}

std::uint64_t timeline::missing() const {
    std::uint64_t missing = 0;
    for (const auto& [run, events] : runs_) {
        missing += events.rbegin()->first - events.begin()->first + 1 - events.size();
    }
    return missing;
}

} // namespace magnolia
