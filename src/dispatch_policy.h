/// Decides whether a request is sent now, held back, or refused. Answers the pattern of more short
/// requests than there are slots: if all wait in turn, all are late; if those that are late already
/// give way, nearly all of the others are in time.
#pragma once

#include <magnolia/types.h>

#include <cstdint>
#include <optional>

namespace magnolia {

/// A request that waits for a backend server, and the best place for it at the moment.
struct queued_request {
    /// Value that would be gained, less what others lose by it; empty if nothing has room.
    std::optional<double> net_value;
    /// Its target latency has passed.
    bool is_late = false;
    /// The caller asks again after an earlier refusal or failure, and may not ask a third time.
    bool is_retry = false;
    /// A backend server may have worked on it, or part of its answer is out.
    bool was_sent = false;
    /// Places are limited and predicted; otherwise only lost backend servers are waited for.
    bool has_forecast = false;
    time_point now{};
    /// End of the time for which it waits.
    time_point wait_until{};
};

enum class dispatch_decision : std::uint8_t { send, wait, refuse };

[[nodiscard]] dispatch_decision decide_dispatch(const queued_request& request);

/// Time after which a refused caller should come back: well after the wave that it was refused in,
/// and within the third of its time left that callers wait at most.
[[nodiscard]] duration retry_delay(duration time_left);

/// Tells callers that come back from new ones: the callers of a route state the same time limit as
/// a rule, and one that asks again states what is left of it.
class retry_detector {
public:
    /// A request came that states this time limit.
    /// @param assumed  time limit of new callers until enough of them have come.
    /// @returns the time that has passed since the caller first asked; 0 for new ones, and as long
    /// as time limits of the route differ too much to tell.
    [[nodiscard]] duration time_since_first_try(duration time_limit, duration assumed);

private:
    duration longest_limit_{0};
    /// Requests of late, and those of them that stated the longest time; both fade.
    double request_weight_ = 0;
    double longest_limit_weight_ = 0;
};

} // namespace magnolia
