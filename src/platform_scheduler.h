/// Scheduler of calls to the platform: priority queues, rate limits, a concurrency limit, and
/// probing with backoff during an outage.
#pragma once

#include "platform_port.h"
#include "token_bucket.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <random>

namespace magnolia {

/// The process's share of the platform's rates, and limits of its client.
struct platform_budget {
    double writes_per_second = 40;
    double reads_per_second = 150;
    /// Maximum time in the queue, and maximum time until the reply; a watch has its own wait on top
    /// of the latter.
    std::chrono::milliseconds timeout{2000};
    /// Maximum number of calls in flight, without watches.
    std::size_t max_in_flight = 64;
    /// Maximum number of queued calls per priority.
    std::size_t max_queued = 1024;
    /// Bounds of the exponential backoff between probes while the platform is down. Each delay is
    /// drawn from the upper half of its range.
    std::chrono::milliseconds initial_backoff{100};
    std::chrono::milliseconds max_backoff{5000};
};

/// A call to send or to refuse now.
struct scheduled_call {
    std::uint64_t number = 0;
    /// Set if the call is refused without being sent, so that it has no effect.
    std::optional<error> refusal;
};

/// Decides when queued calls are sent. Calls are identified by number; the owner sends them. Does
/// no I/O. Owned by platform_client; not thread-safe.
class platform_scheduler {
public:
    platform_scheduler(const platform_budget& budget, std::uint64_t seed);

    /// Queues a call. Errors: platform_busy if the queue of its priority is full.
    [[nodiscard]] result<void> add(std::uint64_t number, const platform_call& call,
                                   call_priority priority, time_point now);
    /// Returns the calls to send or to refuse now, the highest priority first.
    [[nodiscard]] std::vector<scheduled_call> poll(time_point now);
    /// Handles the end of a sent call; `failure` is null if it succeeded. platform_busy pauses
    /// sending for half of the retry delay to all of it, platform_down starts or extends the
    /// backoff. Any other error counts as an answer of the platform.
    void on_completed(std::uint64_t number, const error* failure, time_point now);
    /// Time at which poll() has to be called next, unless a reply arrives before; max() if no call
    /// is queued.
    [[nodiscard]] time_point next_due(time_point now) const;

    /// Whether the platform is considered reachable: no call has failed with platform_down since
    /// the last answer. A platform_busy answer does not end an outage, and a call that was sent
    /// before the latest pause does not start one.
    [[nodiscard]] bool is_up() const { return failures_ == 0; }

private:
    struct queued_call {
        std::uint64_t number = 0;
        bool is_write = false;
        bool is_watch = false;
        /// Tokens that the call takes from its rate limit.
        double cost = 1;
        time_point queued_at;
    };

    struct call_in_flight {
        bool is_watch = false;
        time_point sent_at;
    };

    static constexpr std::size_t priority_count = 4;

    /// Refuses the calls that were queued for the timeout.
    void refuse_expired(std::vector<scheduled_call>& calls, time_point now);
    /// Whether the call may be sent now; takes its tokens if so.
    [[nodiscard]] bool try_admit(const queued_call& call, time_point now);
    /// Whether the call may be sent only after the reply to another one: one probe at a time while
    /// the platform is down, and a bounded number of calls else.
    [[nodiscard]] bool has_to_wait_for_reply(const queued_call& call) const;
    /// Sends no call for half of `max_delay` to all of it.
    void back_off(std::chrono::milliseconds max_delay, time_point now);

    platform_budget budget_;
    token_bucket write_tokens_;
    token_bucket read_tokens_;
    std::array<std::deque<queued_call>, priority_count> queues_;
    std::map<std::uint64_t, call_in_flight> in_flight_;
    std::size_t non_watch_calls_in_flight_ = 0;
    /// Number of platform_down failures since the last answer, as is_up() counts them.
    std::uint32_t failures_ = 0;
    /// Moment of the first of these failures.
    time_point down_since_{};
    time_point backoff_until_{};
    std::mt19937_64 random_;
};

} // namespace magnolia
