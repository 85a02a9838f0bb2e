/// Retry and failure detection rules of one request: when a silent backend server counts as lost,
/// and what follows a failed attempt. Pure functions, called by forward_call.
#pragma once

#include "forward_types.h"

namespace magnolia {

/// Whether a failed attempt may have run.
enum class run_evidence : std::uint8_t {
    /// No byte of the request was sent, so no backend server received it.
    not_sent,
    /// The backend server stated that it did not run it.
    refused,
    /// It may have run; nothing proves otherwise.
    in_doubt,
};

/// Input of decide_after_failure(): the failed attempt and the state of its request.
struct failed_attempt {
    repeat_rule repeat = repeat_rule::never;
    run_evidence evidence = run_evidence::in_doubt;
    /// An earlier attempt of the request may have run.
    bool is_earlier_attempt_in_doubt = false;
    /// Part of the answer has been sent to the caller.
    bool has_partial_answer = false;
    /// Attempts, this one included, of which bytes were sent to a backend server.
    std::uint32_t sends = 0;
    std::uint32_t max_sends = 1;
    /// Attempts, this one included, that failed before any byte was sent.
    std::uint32_t unsent_attempts = 0;
    /// Time until the deadline of the request.
    duration time_left{0};
};

/// What to do after a failed attempt.
enum class failure_action : std::uint8_t {
    /// Send the request to another backend server, if the retry budget allows it.
    retry,
    /// Answer that the request did not run and will not run.
    report_not_run,
    /// Answer that the request failed; it may have run.
    report_failed,
    /// The answer is partly sent and cannot be completed: abort it so that the caller notices.
    abort_answer,
};

/// A request is retried if that is safe (it is proven not run, or its repeat_rule allows it), and
/// if both sends and time remain.
[[nodiscard]] failure_action decide_after_failure(const failed_attempt& attempt);

/// Input of is_stream_complete(): a stream of events whose response ended without an error.
struct ended_stream {
    body_framing framing = body_framing::none;
    /// The response has an event that the caller did not have.
    bool has_new_event = false;
    bool is_inside_event = false;
    /// An earlier attempt was cut inside an event that the caller does not have.
    bool is_event_missing = false;
};

/// Whether the backend server sent the complete stream. If not, it has broken it off: an event is
/// incomplete, or there is no new one although an earlier attempt had more, or although only the
/// close of the connection marks the end of the body.
[[nodiscard]] bool is_stream_complete(const ended_stream& stream);

/// Time without an event after which callers are assumed to abandon a stream.
[[nodiscard]] duration caller_idle_timeout(const route_info& route);

/// Time without bytes of an answer after which its backend server may count as lost. For a stream
/// this is well below caller_idle_timeout(), which leaves time for a failover.
[[nodiscard]] duration silence_limit(const route_info& route);

/// Recent signs of life of a backend server, apart from the request that is silent.
enum class liveness_evidence : std::uint8_t {
    /// No recent evidence.
    none,
    /// It sends bytes of other answers.
    answers_others,
    /// It answers probes but no requests: it is busy.
    answers_probes,
    /// It did not answer the latest probe.
    silent,
    /// Another process has its address or its id: it has ended.
    replaced,
};

/// Input of is_backend_lost(): an attempt without recent bytes of its answer.
struct silent_attempt {
    /// Time since the last byte, or since the request was sent.
    duration silence{0};
    /// silence_limit() of the route.
    duration limit{0};
    /// Predicted time from sending to the first event; 0 once it has arrived.
    duration predicted_first_event{0};
    liveness_evidence evidence = liveness_evidence::none;
};

/// Whether to fail over: the backend server is lost, or has dropped the request. A busy one is
/// waited for, as prefilling the prompt again elsewhere would only add load.
[[nodiscard]] bool is_backend_lost(const silent_attempt& attempt);

} // namespace magnolia
