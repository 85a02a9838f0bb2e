/// Admission control: decides whether a request is sent now, waits, or is refused. Under overload
/// by short requests a plain FIFO queue would make all of them late. If requests that are late
/// already yield to the others, nearly all of the others meet their target. Used by forward_call.
#pragma once

#include <magnolia/types.h>

#include <cstdint>
#include <optional>

namespace magnolia {

/// Input of decide_dispatch(): a waiting request and its best placement at the moment.
struct queued_request {
    /// chosen_backends::net_value of the placement; empty if no backend server has capacity.
    std::optional<double> net_value;
    /// The target latency has passed.
    bool is_late = false;
    /// The caller repeats the request after a refusal or failure, possibly for the last time.
    bool is_retry = false;
    /// An earlier attempt was sent, or part of the answer was sent to the caller.
    bool was_sent = false;
    /// Capacity is limited and forecast. Otherwise a request only waits while no backend server is
    /// available.
    bool has_forecast = false;
    time_point now{};
    /// Time until which it may wait.
    time_point wait_until{};
};

/// What to do with a waiting request; `wait` means to decide again later.
enum class dispatch_decision : std::uint8_t { send, wait, refuse };

/// Sends a request with a non-negative net value, and one that was sent before wherever there is
/// capacity. Refuses a late request with a forecast at once, unless it is a retry or was sent
/// before. Others wait until wait_until, then are refused.
[[nodiscard]] dispatch_decision decide_dispatch(const queued_request& request);

/// Retry-After time for a refused caller: long enough for the load peak to pass, and below a third
/// of the caller's remaining time, the longest that callers honour.
[[nodiscard]] duration retry_delay(duration time_left);

/// Distinguishes retries from new requests of a route, which the protocol does not mark: callers of
/// a route usually state the same time limit, and a retry states what remains of it. One per route,
/// owned by the gateway. Not thread-safe.
class retry_detector {
public:
    /// Records a request with this time limit.
    /// @param assumed  time limit of new requests until enough of them were recorded.
    /// @returns the time since the caller's first try; 0 for a new request, and while the time
    /// limits of the route differ too much to distinguish retries.
    [[nodiscard]] duration time_since_first_try(duration time_limit, duration assumed);

private:
    /// Longest time limit of recent requests.
    duration longest_limit_{0};
    /// Decayed counts of all requests, and of those that stated the longest time limit.
    double request_weight_ = 0;
    double longest_limit_weight_ = 0;
};

} // namespace magnolia
