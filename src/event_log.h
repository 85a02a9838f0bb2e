/// Queue of the timeline events of this process, and their sender.
#pragma once

#include "metrics.h"
#include "ring.h"

#include <magnolia/types.h>

#include <atomic>
#include <memory>
#include <mutex>

namespace magnolia {

/// Reference to the event of another process that caused this one; received with a message of that
/// process.
struct event_cause {
    std::string host{};
    std::uint64_t sequence = 0;
};

/// Optional fields of an event; empty ones are not shown.
struct event_fields {
    std::string request{};
    std::string workspace{};
    /// Affected backend server, member, contract or object.
    std::string subject{};
    /// Outcome, error or number.
    std::string detail{};
    event_cause cause{};
};

/// Numbers the events of this process and queues them in a bounded ring until they are sent.
/// Thread-safe; emit() never waits for the collector.
class event_log {
public:
    /// @param boot      random number that identifies this run of the process.
    /// @param capacity  maximum number of queued events; further ones are dropped and counted as
    ///                  lost.
    event_log(std::string host, std::string zone, std::uint64_t boot, std::size_t capacity);

    /// Queues an event and returns its sequence number, which other processes can refer to as a
    /// cause.
    std::uint64_t emit(event_kind kind, event_fields fields = {});
    std::uint64_t emit(event_kind kind, const request_id& request, event_fields fields = {});

    /// Removes and returns the oldest queued event.
    [[nodiscard]] std::optional<timeline_event> pop() { return ring_.pop(); }

    /// Counts events that were removed from the queue and not delivered.
    void count_lost(std::uint64_t events) { lost_.fetch_add(events); }
    /// Number of events that were dropped or not delivered.
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

/// Sends the events of a log to magnolia-timeline as lines of JSON, on a thread of its own.
/// Reconnects with exponential backoff and jitter after a failure.
class event_sender {
public:
    event_sender(event_log& log, const endpoint& collector, metrics_registry& metrics);
    /// Sends the remaining events, within a short, bounded time.
    ~event_sender();
    event_sender(const event_sender&) = delete;
    event_sender& operator=(const event_sender&) = delete;

private:
    class connection;
    std::unique_ptr<connection> connection_;
};

} // namespace magnolia
