#include "dispatch_policy.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds{100}};

queued_request request_with(std::optional<double> net_value) {
    return {.net_value = net_value,
            .has_forecast = true,
            .now = start,
            .wait_until = start + milliseconds{1000}};
}

TEST(dispatch_policy, what_gains_more_than_others_lose_is_sent) {
    EXPECT_EQ(decide_dispatch(request_with(0.1)), dispatch_decision::send);
    auto late = request_with(0.1);
    late.is_late = true;
    EXPECT_EQ(decide_dispatch(late), dispatch_decision::send);
}

TEST(dispatch_policy, a_late_request_gives_way_at_once_and_comes_back) {
    auto late = request_with(-0.1);
    EXPECT_EQ(decide_dispatch(late), dispatch_decision::wait);
    late.is_late = true;
    EXPECT_EQ(decide_dispatch(late), dispatch_decision::refuse);
    late.net_value.reset();
    EXPECT_EQ(decide_dispatch(late), dispatch_decision::refuse);
}

TEST(dispatch_policy, one_that_has_come_back_waits_for_what_is_left_over) {
    auto late = request_with(-0.1);
    late.is_late = true;
    late.is_retry = true;
    EXPECT_EQ(decide_dispatch(late), dispatch_decision::wait);
    late.now = late.wait_until;
    EXPECT_EQ(decide_dispatch(late), dispatch_decision::refuse);
}

TEST(dispatch_policy, what_may_have_run_is_not_given_up_for_others) {
    auto begun = request_with(-0.1);
    begun.is_late = true;
    begun.was_sent = true;
    EXPECT_EQ(decide_dispatch(begun), dispatch_decision::send);
    begun.net_value.reset();
    EXPECT_EQ(decide_dispatch(begun), dispatch_decision::wait);
}

TEST(dispatch_policy, a_plain_request_waits_for_a_backend_server_though_late) {
    auto plain = request_with(std::nullopt);
    plain.is_late = true;
    plain.has_forecast = false;
    EXPECT_EQ(decide_dispatch(plain), dispatch_decision::wait);
}

TEST(dispatch_policy, returns_stay_within_the_third_that_callers_wait) {
    constexpr double most_spread = 1.6;
    const auto back = retry_delay(std::chrono::seconds{9}) * most_spread;
    EXPECT_LT(back, std::chrono::seconds{3});
    EXPECT_GT(back, std::chrono::seconds{2});
}

constexpr std::chrono::seconds usual{10};

TEST(retry_detector, a_shorter_limit_is_what_is_left_after_an_earlier_try) {
    retry_detector detector;
    // Also at once after a restart.
    EXPECT_EQ(detector.time_since_first_try(std::chrono::seconds{7}, usual),
              std::chrono::seconds{3});
    for (int request = 0; request < 10; ++request) {
        EXPECT_EQ(detector.time_since_first_try(usual, usual), duration{0});
    }
    EXPECT_EQ(detector.time_since_first_try(std::chrono::seconds{7}, usual),
              std::chrono::seconds{3});
    EXPECT_EQ(detector.time_since_first_try(milliseconds{9950}, usual), duration{0});
}

TEST(retry_detector, callers_that_never_state_the_assumed_limit_are_taken_as_new) {
    retry_detector detector;
    static_cast<void>(detector.time_since_first_try(std::chrono::seconds{4}, usual));
    for (int request = 0; request < 30; ++request) {
        EXPECT_EQ(detector.time_since_first_try(std::chrono::seconds{4}, usual), duration{0});
    }
    EXPECT_EQ(detector.time_since_first_try(std::chrono::seconds{3}, usual),
              std::chrono::seconds{1});
}

TEST(retry_detector, callers_with_many_different_limits_are_all_taken_as_new) {
    retry_detector detector;
    int returned = 0;
    for (int request = 0; request < 300; ++request) {
        const auto limit = milliseconds{1000 + 37 * (request % 100)};
        returned += detector.time_since_first_try(limit, usual) > duration{0} ? 1 : 0;
    }
    EXPECT_LE(returned, 3);
}

} // namespace
} // namespace magnolia
