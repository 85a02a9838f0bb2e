/// Times of a planned stop: until when a host takes requests, which ones, and when those that are
/// left get their final answer. Answers the load of a stop beside long prompts: requests that wait
/// or run when the time is over. Pure.
#pragma once

#include <magnolia/types.h>

#include <chrono>

namespace magnolia {

/// Times of one planned stop, in the order in which they pass. They stay as they are if the
/// settings change meanwhile, as whoever stops the process goes by those that it began with.
struct stop_times {
    /// From then on only requests that are certain to end within the stop are accepted: the load
    /// balancer has other hosts for the rest.
    time_point cautious_from{};
    /// No connections are accepted from then on; without requests in progress, the stop ends.
    time_point accepts_until{};
    /// Remaining requests are answered as failed, started answers broken off.
    time_point aborts_at{};

    /// Whether a request that takes this long from now would get its answer cut.
    [[nodiscard]] bool would_cut(duration expected, time_point now) const {
        return now + expected > aborts_at;
    }
};

/// @param timeout  time from the begin of the stop until the process is killed.
[[nodiscard]] stop_times plan_stop(time_point begin, std::chrono::milliseconds timeout);

} // namespace magnolia
