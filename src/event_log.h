/// Events of this process for the time line.
#pragma once

#include "metrics.h"
#include "ring.h"

#include <magnolia/types.h>

#include <atomic>
#include <memory>
#include <mutex>

namespace magnolia {

/// Event of another process that led to this one; arrives with its message.
struct event_cause {
    std::string host{};
    std::uint64_t sequence = 0;
};

/// What an event is about; empty fields are left out of the picture.
struct event_fields {
    std::string request{};
    std::string workspace{};
    /// Back end, member, contract or object.
    std::string subject{};
    /// Outcome, error or figure.
    std::string detail{};
    event_cause cause{};
};

/// Numbers the events of one process and keeps the ones not yet sent in a bounded ring. Safe from
/// any thread; never waits for the collector.
class event_log {
public:
    /// @param boot   random number of the process's start.
    /// @param capacity  events that wait; further ones are counted as lost.
    event_log(std::string host, std::string zone, std::uint64_t boot, std::size_t capacity);

    /// Adds an event and returns its sequence, which may be passed on as the cause of another.
    std::uint64_t emit(event_kind kind, event_fields fields = {});
    std::uint64_t emit(event_kind kind, const request_id& request, event_fields fields = {});

    /// Oldest event that was not taken yet.
    [[nodiscard]] std::optional<timeline_event> pop() { return ring_.pop(); }

    /// Counts events that were taken and did not arrive.
    void count_lost(std::uint64_t events) { lost_.fetch_add(events); }
    /// Events that did not fit or did not arrive.
    [[nodiscard]] std::uint64_t lost() const { return lost_.load(); }

private:
    std::string host_;
    std::string zone_;
    std::uint64_t boot_;
    std::mutex mutex_;
    std::uint64_t last_sequence_ = 0;
    bounded_ring<timeline_event> ring_;
    std::atomic<std::uint64_t> lost_{0};
};

/// Duty that sends the events of a log to magnolia-timeline as lines of JSON, and connects again
/// after a failure.
class event_sender {
public:
    event_sender(event_log& log, const endpoint& collector, metrics_registry& metrics);
    /// Waits a short, bounded time for the last events.
    ~event_sender();
    event_sender(const event_sender&) = delete;
    event_sender& operator=(const event_sender&) = delete;

private:
    class connection;
    std::unique_ptr<connection> connection_;
};

} // namespace magnolia
