#include "attempt_policy.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

failed_attempt sample(repeat_rule repeat, run_evidence evidence) {
    return {.repeat = repeat,
            .evidence = evidence,
            .sends = 1,
            .max_sends = 2,
            .time_left = std::chrono::seconds{1}};
}

TEST(attempt_policy, what_may_have_run_is_never_repeated) {
    EXPECT_EQ(decide_after_failure(sample(repeat_rule::never, run_evidence::in_doubt)),
              next_step::tell_failed);
    EXPECT_EQ(decide_after_failure(sample(repeat_rule::never, run_evidence::refused)),
              next_step::send_again);
    EXPECT_EQ(decide_after_failure(sample(repeat_rule::anytime, run_evidence::in_doubt)),
              next_step::send_again);
    EXPECT_EQ(decide_after_failure(sample(repeat_rule::continued, run_evidence::in_doubt)),
              next_step::send_again);
}

TEST(attempt_policy, not_run_is_told_only_if_every_attempt_proved_it) {
    auto attempt = sample(repeat_rule::anytime, run_evidence::refused);
    attempt.sends = 2;
    EXPECT_EQ(decide_after_failure(attempt), next_step::tell_not_run);
    attempt.is_earlier_in_doubt = true;
    EXPECT_EQ(decide_after_failure(attempt), next_step::tell_failed);
}

TEST(attempt_policy, the_route_bounds_the_sends_and_the_clock_the_attempts) {
    auto attempt = sample(repeat_rule::anytime, run_evidence::in_doubt);
    attempt.sends = 2;
    EXPECT_EQ(decide_after_failure(attempt), next_step::tell_failed);
    attempt.sends = 1;
    attempt.time_left = std::chrono::milliseconds{1};
    EXPECT_EQ(decide_after_failure(attempt), next_step::tell_failed);
    attempt.time_left = std::chrono::seconds{1};
    attempt.unsent = 4;
    attempt.evidence = run_evidence::not_sent;
    EXPECT_EQ(decide_after_failure(attempt), next_step::tell_not_run);
}

TEST(attempt_policy, an_answer_that_has_begun_is_continued_or_broken_off) {
    auto attempt = sample(repeat_rule::continued, run_evidence::in_doubt);
    attempt.has_begun_answer = true;
    EXPECT_EQ(decide_after_failure(attempt), next_step::send_again);
    attempt.repeat = repeat_rule::anytime;
    EXPECT_EQ(decide_after_failure(attempt), next_step::break_off);
    attempt.repeat = repeat_rule::never;
    EXPECT_EQ(decide_after_failure(attempt), next_step::break_off);
}

} // namespace
} // namespace magnolia
