#include "dispatch_policy.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds{100}};

queued_request make_request(std::optional<double> net_value) {
    return {.net_value = net_value,
            .has_forecast = true,
            .now = start,
            .wait_until = start + milliseconds{1000}};
}

TEST(dispatch_policy, a_request_with_positive_net_value_is_sent) {
    EXPECT_EQ(decide_dispatch(make_request(0.1)), dispatch_decision::send);
    auto late = make_request(0.1);
    late.is_late = true;
    EXPECT_EQ(decide_dispatch(late), dispatch_decision::send);
}

// A late request must not delay those that can still meet their target; its caller retries later.
TEST(dispatch_policy, a_late_request_is_refused_at_once) {
    auto late = make_request(-0.1);
    EXPECT_EQ(decide_dispatch(late), dispatch_decision::wait);
    late.is_late = true;
    EXPECT_EQ(decide_dispatch(late), dispatch_decision::refuse);
    late.net_value.reset();
    EXPECT_EQ(decide_dispatch(late), dispatch_decision::refuse);
}

TEST(dispatch_policy, a_late_retry_waits) {
    auto late = make_request(-0.1);
    late.is_late = true;
    late.is_retry = true;
    EXPECT_EQ(decide_dispatch(late), dispatch_decision::wait);
    late.now = late.wait_until;
    EXPECT_EQ(decide_dispatch(late), dispatch_decision::refuse);
}

// Refusing it would waste the work that a backend server may have done.
TEST(dispatch_policy, a_request_that_was_sent_does_not_yield) {
    auto sent = make_request(-0.1);
    sent.is_late = true;
    sent.was_sent = true;
    EXPECT_EQ(decide_dispatch(sent), dispatch_decision::send);
    sent.net_value.reset();
    EXPECT_EQ(decide_dispatch(sent), dispatch_decision::wait);
}

TEST(dispatch_policy, a_late_request_without_forecast_waits) {
    auto without_forecast = make_request(std::nullopt);
    without_forecast.is_late = true;
    without_forecast.has_forecast = false;
    EXPECT_EQ(decide_dispatch(without_forecast), dispatch_decision::wait);
}

TEST(dispatch_policy, retry_delays_stay_within_a_third_of_the_remaining_time) {
    constexpr double max_jitter_factor = 1.6;
    const auto delay = retry_delay(std::chrono::seconds{9}) * max_jitter_factor;
    EXPECT_LT(delay, std::chrono::seconds{3});
    EXPECT_GT(delay, std::chrono::seconds{2});
}

constexpr std::chrono::seconds usual_limit{10};

TEST(retry_detector, a_shorter_limit_marks_a_retry) {
    retry_detector detector;
    // Works immediately after a restart, with the assumed time limit.
    EXPECT_EQ(detector.time_since_first_try(std::chrono::seconds{7}, usual_limit),
              std::chrono::seconds{3});
    for (int request = 0; request < 10; ++request) {
        EXPECT_EQ(detector.time_since_first_try(usual_limit, usual_limit), duration{0});
    }
    EXPECT_EQ(detector.time_since_first_try(std::chrono::seconds{7}, usual_limit),
              std::chrono::seconds{3});
    EXPECT_EQ(detector.time_since_first_try(milliseconds{9950}, usual_limit), duration{0});
}

TEST(retry_detector, callers_that_never_state_the_assumed_limit_are_new) {
    retry_detector detector;
    static_cast<void>(detector.time_since_first_try(std::chrono::seconds{4}, usual_limit));
    for (int request = 0; request < 30; ++request) {
        EXPECT_EQ(detector.time_since_first_try(std::chrono::seconds{4}, usual_limit), duration{0});
    }
    EXPECT_EQ(detector.time_since_first_try(std::chrono::seconds{3}, usual_limit),
              std::chrono::seconds{1});
}

TEST(retry_detector, callers_with_varying_limits_are_new) {
    retry_detector detector;
    int returned = 0;
    for (int request = 0; request < 300; ++request) {
        const auto time_limit = milliseconds{1000 + 37 * (request % 100)};
        returned += detector.time_since_first_try(time_limit, usual_limit) > duration{0} ? 1 : 0;
    }
    EXPECT_LE(returned, 3);
}

} // namespace
} // namespace magnolia
