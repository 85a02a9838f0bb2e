#include "attempt_policy.h"

#include <algorithm>

namespace magnolia {
namespace {

/// The request fails once so many attempts failed before any byte was sent (e.g. to connect).
constexpr std::uint32_t max_unsent_attempts = 4;
/// Time that another attempt needs at least.
constexpr duration min_retry_time = std::chrono::milliseconds{20};
/// Callers wait at least this long for the next event. Above that their idle timeout is the larger
/// of so many target latencies and so many target pauses.
constexpr duration min_idle_timeout = std::chrono::seconds{2};
constexpr int idle_timeout_latencies = 4;
constexpr int idle_timeout_pauses = 8;
/// Share of the callers' idle timeout after which a silent stream fails over. The second backend
/// server has the rest of it to prefill the prompt again.
constexpr double failover_share = 0.45;
/// A backend server that fails a probe counts as lost after the silence limit divided by this.
constexpr int failed_probe_divisor = 2;
/// Under load the first event may take this many times its predicted time.
constexpr int prediction_error_factor = 3;
/// Silence limit of a request without a stream, in target latencies, and its lower bound.
constexpr int plain_silence_latencies = 2;
constexpr duration min_silence_limit = std::chrono::milliseconds{200};

} // namespace

failure_action decide_after_failure(const failed_attempt& attempt) {
    const bool is_proven_not_run = attempt.evidence != run_evidence::in_doubt;
    const bool may_run_again = is_proven_not_run || attempt.repeat != repeat_rule::never;
    const bool can_continue =
        !attempt.has_partial_answer || attempt.repeat == repeat_rule::resumable;
    const bool has_sends_left =
        attempt.sends < attempt.max_sends && attempt.unsent_attempts < max_unsent_attempts;
    if (may_run_again && can_continue && has_sends_left && attempt.time_left > min_retry_time) {
        return failure_action::retry;
    }
    if (attempt.has_partial_answer) {
        return failure_action::abort_answer;
    }
    return is_proven_not_run && !attempt.is_earlier_attempt_in_doubt
               ? failure_action::report_not_run
               : failure_action::report_failed;
}

bool is_stream_complete(const ended_stream& stream) {
    const bool needs_event = stream.is_event_missing || stream.framing == body_framing::until_close;
    return !stream.is_inside_event && (stream.has_new_event || !needs_event);
}

duration caller_idle_timeout(const route_info& route) {
    return std::max({min_idle_timeout, duration{route.target_latency} * idle_timeout_latencies,
                     duration{route.target_pause} * idle_timeout_pauses});
}

duration silence_limit(const route_info& route) {
    if (!route.is_stream) {
        return std::max(min_silence_limit,
                        duration{route.target_latency} * plain_silence_latencies);
    }
    return std::chrono::duration_cast<duration>(caller_idle_timeout(route) * failover_share);
}

bool is_backend_lost(const silent_attempt& attempt) {
    const auto prediction_limit = attempt.predicted_first_event * prediction_error_factor;
    switch (attempt.evidence) {
    case liveness_evidence::silent:
        return attempt.silence >= attempt.limit / failed_probe_divisor;
    case liveness_evidence::none:
    case liveness_evidence::answers_others:
        return attempt.silence >= std::max(attempt.limit, prediction_limit);
    case liveness_evidence::answers_probes:
        return false;
    case liveness_evidence::replaced:
        return true;
    }
    return false;
}

} // namespace magnolia
