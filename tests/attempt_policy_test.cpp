#include "attempt_policy.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

failed_attempt make_attempt(repeat_rule repeat, run_evidence evidence) {
    return {.repeat = repeat,
            .evidence = evidence,
            .sends = 1,
            .max_sends = 2,
            .time_left = std::chrono::seconds{1}};
}

TEST(attempt_policy, retries_respect_the_repeat_rule) {
    EXPECT_EQ(decide_after_failure(make_attempt(repeat_rule::never, run_evidence::in_doubt)),
              failure_action::report_failed);
    EXPECT_EQ(decide_after_failure(make_attempt(repeat_rule::never, run_evidence::refused)),
              failure_action::retry);
    EXPECT_EQ(decide_after_failure(make_attempt(repeat_rule::idempotent, run_evidence::in_doubt)),
              failure_action::retry);
    EXPECT_EQ(decide_after_failure(make_attempt(repeat_rule::resumable, run_evidence::in_doubt)),
              failure_action::retry);
}

TEST(attempt_policy, not_run_is_reported_only_if_every_attempt_proved_it) {
    auto attempt = make_attempt(repeat_rule::idempotent, run_evidence::refused);
    attempt.sends = 2;
    EXPECT_EQ(decide_after_failure(attempt), failure_action::report_not_run);
    attempt.is_earlier_attempt_in_doubt = true;
    EXPECT_EQ(decide_after_failure(attempt), failure_action::report_failed);
}

TEST(attempt_policy, sends_time_and_unsent_attempts_are_bounded) {
    auto attempt = make_attempt(repeat_rule::idempotent, run_evidence::in_doubt);
    attempt.sends = 2;
    EXPECT_EQ(decide_after_failure(attempt), failure_action::report_failed);
    attempt.sends = 1;
    attempt.time_left = std::chrono::milliseconds{1};
    EXPECT_EQ(decide_after_failure(attempt), failure_action::report_failed);
    attempt.time_left = std::chrono::seconds{1};
    attempt.unsent_attempts = 4;
    attempt.evidence = run_evidence::not_sent;
    EXPECT_EQ(decide_after_failure(attempt), failure_action::report_not_run);
}

TEST(attempt_policy, a_partly_sent_answer_is_resumed_or_aborted) {
    auto attempt = make_attempt(repeat_rule::resumable, run_evidence::in_doubt);
    attempt.has_partial_answer = true;
    EXPECT_EQ(decide_after_failure(attempt), failure_action::retry);
    attempt.repeat = repeat_rule::idempotent;
    EXPECT_EQ(decide_after_failure(attempt), failure_action::abort_answer);
    attempt.repeat = repeat_rule::never;
    EXPECT_EQ(decide_after_failure(attempt), failure_action::abort_answer);
}

TEST(attempt_policy, a_stream_is_complete_only_after_a_complete_event) {
    using enum body_framing;
    for (const auto framing : {content_length, chunked, until_close}) {
        EXPECT_TRUE(is_stream_complete({.framing = framing, .has_new_event = true}));
        EXPECT_FALSE(is_stream_complete({.framing = framing, .is_inside_event = true}));
        EXPECT_FALSE(is_stream_complete(
            {.framing = framing, .has_new_event = true, .is_inside_event = true}));
        EXPECT_FALSE(is_stream_complete({.framing = framing, .is_event_missing = true}));
        EXPECT_TRUE(is_stream_complete(
            {.framing = framing, .has_new_event = true, .is_event_missing = true}));
    }
    EXPECT_TRUE(is_stream_complete({.framing = none}));
    EXPECT_TRUE(is_stream_complete({.framing = chunked}));
    EXPECT_FALSE(is_stream_complete({.framing = until_close}));
}

TEST(attempt_policy, a_backend_server_that_fails_probes_is_lost_sooner) {
    using std::chrono::milliseconds;
    const auto lost_after = [](liveness_evidence evidence, milliseconds silence) {
        return is_backend_lost({.silence = silence,
                                .limit = milliseconds{900},
                                .predicted_first_event = duration{0},
                                .evidence = evidence});
    };
    EXPECT_FALSE(lost_after(liveness_evidence::silent, milliseconds{400}));
    EXPECT_TRUE(lost_after(liveness_evidence::silent, milliseconds{450}));
    EXPECT_FALSE(lost_after(liveness_evidence::none, milliseconds{899}));
    EXPECT_TRUE(lost_after(liveness_evidence::none, milliseconds{900}));
    EXPECT_TRUE(lost_after(liveness_evidence::answers_others, milliseconds{900}));
    EXPECT_FALSE(lost_after(liveness_evidence::answers_probes, milliseconds{5000}));
    EXPECT_TRUE(lost_after(liveness_evidence::replaced, milliseconds{1}));
}

TEST(attempt_policy, a_late_predicted_first_event_extends_the_silence_limit) {
    EXPECT_FALSE(is_backend_lost({.silence = std::chrono::seconds{2},
                                  .limit = std::chrono::milliseconds{900},
                                  .predicted_first_event = std::chrono::seconds{1},
                                  .evidence = liveness_evidence::none}));
}

TEST(attempt_policy, streams_fail_over_well_before_callers_give_up) {
    route_info route;
    route.is_stream = true;
    route.target_latency = std::chrono::milliseconds{300};
    route.target_pause = std::chrono::milliseconds{250};
    EXPECT_LT(silence_limit(route), std::chrono::milliseconds{1000});
    route.target_latency = std::chrono::milliseconds{2500};
    EXPECT_GT(silence_limit(route), std::chrono::seconds{4});
    EXPECT_LT(silence_limit(route), std::chrono::seconds{5});
}

} // namespace
} // namespace magnolia
