#include "attempt_policy.h"

#include <algorithm>

namespace magnolia {
namespace {

/// Connections that may fail to open before the request is given up.
constexpr std::uint32_t max_unsent_attempts = 4;
/// Less time is not enough for another attempt.
constexpr duration min_retry_time = std::chrono::milliseconds{20};
/// Callers wait this long for the next event in any case.
constexpr duration min_idle_timeout = std::chrono::seconds{2};
constexpr int idle_timeout_latencies = 4;
constexpr int idle_timeout_pauses = 8;
/// Share of the callers' patience after which a silent stream is moved; a second backend server
/// then has the rest to read the prompt again.
constexpr double failover_share = 0.45;
/// Part of the limit after which a backend server that gives no sign of life is given up.
constexpr int failed_probe_divisor = 2;
/// Error of predictions under load, as a factor.
constexpr int prediction_error_factor = 3;
/// Silence of a plain request before it is sent again, in target latencies.
constexpr int plain_silence_latencies = 2;
constexpr duration min_silence_limit = std::chrono::milliseconds{200};

} // namespace

failure_action decide_after_failure(const failed_attempt& attempt) {
    const bool is_proven_not_run = attempt.evidence != run_evidence::in_doubt;
    const bool may_run_again = is_proven_not_run || attempt.repeat != repeat_rule::never;
    const bool can_continue = !attempt.has_begun_answer || attempt.repeat == repeat_rule::resumable;
    const bool has_sends_left =
        attempt.sends < attempt.max_sends && attempt.unsent_attempts < max_unsent_attempts;
    if (may_run_again && can_continue && has_sends_left && attempt.time_left > min_retry_time) {
        return failure_action::retry;
    }
    if (attempt.has_begun_answer) {
        return failure_action::abort_answer;
    }
    return is_proven_not_run && !attempt.is_earlier_in_doubt ? failure_action::report_not_run
                                                             : failure_action::report_failed;
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
    const auto prediction_limit = attempt.predicted_first * prediction_error_factor;
    switch (attempt.evidence) {
    case liveness_evidence::silent:
        return attempt.silence >= attempt.limit / failed_probe_divisor;
    case liveness_evidence::none:
    case liveness_evidence::answers_others:
        return attempt.silence >= std::max(attempt.limit, prediction_limit);
    case liveness_evidence::answers_probes:
        return false;
    }
    return false;
}

} // namespace magnolia
