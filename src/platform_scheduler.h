/// Decides when each call to the platform is sent: priorities, rates, concurrency, and the return
/// after an outage.
#pragma once

#include "platform_port.h"
#include "token_bucket.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <random>

namespace magnolia {

/// A process's share of the platform's rates.
struct platform_budget {
    double writes_per_second = 40;
    double reads_per_second = 150;
    /// Longest wait for an answer; a watch may take its own wait longer.
    std::chrono::milliseconds timeout{2000};
    /// Calls under way at once, watches not counted.
    std::size_t max_in_flight = 64;
    /// Calls that wait, for each priority.
    std::size_t max_queued = 1024;
    /// First and longest pause between probes while the platform is down; each is drawn from the
    /// upper half of its range.
    std::chrono::milliseconds initial_backoff{100};
    std::chrono::milliseconds max_backoff{5000};
};

/// A call that may be sent, or that has waited too long.
struct scheduled_call {
    std::uint64_t number = 0;
    /// Set if the call is refused without being sent: it had no effect.
    std::optional<error> refusal;
};

/// Pure schedule; calls are known by number.
class platform_scheduler {
public:
    platform_scheduler(const platform_budget& budget, std::uint64_t seed);

    /// Takes a call into its queue. Errors: platform_busy if the queue is full.
    [[nodiscard]] result<void> add(std::uint64_t number, const platform_call& call,
                                   call_priority priority, time_point now);
    /// Calls to send or to refuse now, the highest priority first.
    [[nodiscard]] std::vector<scheduled_call> poll(time_point now);
    /// A sent call has ended; `failure` is null if the platform answered it.
    void on_completed(std::uint64_t number, const error* failure, time_point now);
    /// Time at which poll() may have something; max() if nothing waits.
    [[nodiscard]] time_point next_due(time_point now) const;

    [[nodiscard]] bool is_up() const { return failures_ == 0; }

private:
    struct queued_call {
        std::uint64_t number = 0;
        bool is_write = false;
        bool is_watch = false;
        /// Calls that it counts for.
        double cost = 1;
        time_point queued_at;
    };

    struct call_in_flight {
        bool is_watch = false;
        time_point sent;
    };

    static constexpr std::size_t priorities = 4;

    void refuse_expired(std::vector<scheduled_call>& calls, time_point now);
    [[nodiscard]] bool may_send(const queued_call& call, time_point now);
    void back_off(std::chrono::milliseconds max_delay, time_point now);

    platform_budget budget_;
    token_bucket write_tokens_;
    token_bucket read_tokens_;
    std::array<std::deque<queued_call>, priorities> queues_;
    std::map<std::uint64_t, call_in_flight> in_flight_;
    std::size_t non_watch_calls_in_flight_ = 0;
    /// Calls that failed since the last answer.
    std::uint32_t failures_ = 0;
    time_point backoff_until_{};
    std::mt19937_64 random_;
};

} // namespace magnolia
