#include "platform_scheduler.h"

#include "platform_wire.h"

#include <algorithm>
#include <ranges>

namespace magnolia {
namespace {

/// Number of calls in flight while the platform is down, as probes, until one is answered.
constexpr std::size_t max_probes_in_flight = 1;

/// Size of a token bucket, in seconds of its rate.
constexpr double burst_seconds = 0.5;

/// A waiting watch is charged as one read per interval, as the platform does.
constexpr auto watch_charge_interval = std::chrono::seconds{1};

/// Bound that keeps the doubled backoff from overflowing.
constexpr std::uint32_t max_backoff_doublings = 10;

token_bucket make_bucket(double rate) {
    const auto burst = std::max(1.0, rate * burst_seconds);
    return {rate, burst, burst, time_point{}};
}

/// Reads that a watch is charged for: one, and one per interval of its wait.
double watch_cost(const object_watch& call) {
    return 1 + (std::chrono::duration<double>(call.wait) / watch_charge_interval);
}

} // namespace

platform_scheduler::platform_scheduler(const platform_budget& budget, std::uint64_t seed)
    : budget_{budget}, write_tokens_{make_bucket(budget.writes_per_second)},
      read_tokens_{make_bucket(budget.reads_per_second)}, random_{seed} {}

result<void> platform_scheduler::add(std::uint64_t number, const platform_call& call,
                                     call_priority priority, time_point now) {
    auto& queue = queues_.at(static_cast<std::size_t>(priority));
    if (queue.size() >= budget_.max_queued) {
        return fail(error_code::platform_busy, "too many queued calls", budget_.timeout);
    }
    const auto* watch = std::get_if<object_watch>(&call);
    const double cost = watch == nullptr ? 1 : watch_cost(*watch);
    queue.push_back({number, is_write(call), watch != nullptr, cost, now});
    return {};
}

std::vector<scheduled_call> platform_scheduler::poll(time_point now) {
    std::vector<scheduled_call> calls;
    refuse_expired(calls, now);
    for (auto& queue : queues_) {
        while (!queue.empty() && try_admit(queue.front(), now)) {
            const auto call = queue.front();
            queue.pop_front();
            in_flight_.emplace(call.number, call_in_flight{call.is_watch, now});
            non_watch_calls_in_flight_ += call.is_watch ? 0 : 1;
            calls.push_back({call.number, std::nullopt});
        }
    }
    return calls;
}

void platform_scheduler::refuse_expired(std::vector<scheduled_call>& calls, time_point now) {
    for (auto& queue : queues_) {
        while (!queue.empty() && now - queue.front().queued_at >= budget_.timeout) {
            calls.push_back(
                {queue.front().number, error{error_code::platform_busy,
                                             "call not sent within the timeout", budget_.timeout}});
            queue.pop_front();
        }
    }
}

bool platform_scheduler::try_admit(const queued_call& call, time_point now) {
    if (now < backoff_until_) {
        return false;
    }
    if (has_to_wait_for_reply(call)) {
        return false;
    }
    auto& bucket = call.is_write ? write_tokens_ : read_tokens_;
    return bucket.take(std::min(call.cost, bucket.burst()), now);
}

bool platform_scheduler::has_to_wait_for_reply(const queued_call& call) const {
    const auto probes = std::ranges::count_if(in_flight_ | std::views::values, [this](auto& sent) {
        // A watch from before the outage may wait for long, or for ever.
        return sent.sent_at >= down_since_;
    });
    const bool is_probing = !is_up() && static_cast<std::size_t>(probes) >= max_probes_in_flight;
    return is_probing || (!call.is_watch && non_watch_calls_in_flight_ >= budget_.max_in_flight);
}

void platform_scheduler::on_completed(std::uint64_t number, const error* failure, time_point now) {
    const auto found = in_flight_.find(number);
    if (found == in_flight_.end()) {
        return;
    }
    const auto call = found->second;
    in_flight_.erase(found);
    non_watch_calls_in_flight_ -= call.is_watch ? 0 : 1;
    if (failure != nullptr && failure->code == error_code::platform_busy) {
        back_off(std::max(failure->retry_after, budget_.initial_backoff), now);
        return;
    }
    if (failure == nullptr || failure->code != error_code::platform_down) {
        failures_ = 0;
        return;
    }
    // A call that was sent before the latest pause began gives no new information on the
    // platform, so that its failure does not extend the backoff.
    if (call.sent_at < backoff_until_) {
        return;
    }
    if (failures_++ == 0) {
        down_since_ = now;
    }
    const auto max_delay =
        budget_.initial_backoff * (1U << std::min(failures_ - 1, max_backoff_doublings));
    back_off(std::min(budget_.max_backoff, max_delay), now);
}

void platform_scheduler::back_off(std::chrono::milliseconds max_delay, time_point now) {
    std::uniform_int_distribution<std::int64_t> distribution{max_delay.count() / 2,
                                                             max_delay.count()};
    backoff_until_ =
        std::max(backoff_until_, now + std::chrono::milliseconds{distribution(random_)});
}

time_point platform_scheduler::next_due(time_point now) const {
    auto due = time_point::max();
    for (const auto& queue : queues_) {
        if (queue.empty()) {
            continue;
        }
        const auto& call = queue.front();
        const auto& bucket = call.is_write ? write_tokens_ : read_tokens_;
        const auto token_available_at =
            now + bucket.wait_for(std::min(call.cost, bucket.burst()), now);
        due = std::min(due, call.queued_at + budget_.timeout);
        if (!has_to_wait_for_reply(call)) {
            due = std::min(due, std::max(backoff_until_, token_available_at));
        }
    }
    return due;
}

} // namespace magnolia
