/// Decides what becomes of a request after an attempt on a backend server has failed.
#pragma once

#include "forward_types.h"

namespace magnolia {

/// What is certain about the run of a failed attempt.
enum class run_evidence : std::uint8_t {
    /// No byte of the request was sent: no backend server has it.
    not_sent,
    /// The backend server proved that it has not run it.
    refused,
    /// It may have run.
    in_doubt,
};

/// An attempt that failed, and the request it belongs to.
struct failed_attempt {
    repeat_rule repeat = repeat_rule::never;
    run_evidence evidence = run_evidence::in_doubt;
    /// Whether any earlier attempt of the request is in doubt.
    bool is_earlier_in_doubt = false;
    /// Whether part of the answer has gone to the caller.
    bool has_begun_answer = false;
    /// Backend servers that bytes were sent to, this one included.
    std::uint32_t sends = 0;
    std::uint32_t max_sends = 1;
    /// Attempts that ended before anything was sent, this one included.
    std::uint32_t unsent_attempts = 0;
    /// Time until which an answer is of use.
    duration time_left{0};
};

enum class failure_action : std::uint8_t {
    /// Another backend server may be asked, if the retry budget allows it.
    retry,
    /// The caller is told that nothing has run and nothing will.
    report_not_run,
    /// The caller is told that it failed; it may have run.
    report_failed,
    /// The answer has begun and cannot be completed: it is broken off visibly.
    abort_answer,
};

[[nodiscard]] failure_action decide_after_failure(const failed_attempt& attempt);

/// Longest wait for the first event or the next one after which callers give a stream up.
[[nodiscard]] duration caller_idle_timeout(const route_info& route);

/// Silence of an answer after which its backend server may be taken for lost. For a stream well
/// before callers give it up.
[[nodiscard]] duration silence_limit(const route_info& route);

/// What is known of a backend server beside the silence of one request.
enum class liveness_evidence : std::uint8_t {
    /// Nothing new.
    none,
    /// Other answers come from it.
    answers_others,
    /// It answers probes, and no request: busy.
    answers_probes,
    /// It did not answer the last probe.
    silent,
};

/// A request that has heard nothing for a while.
struct silent_attempt {
    duration silence{0};
    duration limit{0};
    /// Predicted time to the first event, if none has come; 0 otherwise.
    duration predicted_first{0};
    liveness_evidence evidence = liveness_evidence::none;
};

/// Whether another backend server should be asked: this one is lost, or has forgotten the request.
/// A busy one is left alone; reading the prompt again elsewhere would only add to the load.
[[nodiscard]] bool is_backend_lost(const silent_attempt& attempt);

} // namespace magnolia
