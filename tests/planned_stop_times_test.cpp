#include "planned_stop.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

constexpr time_point begin{std::chrono::hours{1}};

class stop_of_any_length : public testing::TestWithParam<int> {
protected:
    [[nodiscard]] milliseconds timeout() const { return std::chrono::seconds{GetParam()}; }
    [[nodiscard]] stop_times plan() const { return plan_stop(begin, timeout()); }
};

TEST_P(stop_of_any_length, its_times_pass_in_order_and_leave_time_for_the_last_answers) {
    const auto stop = plan();
    EXPECT_LT(begin, stop.cautious_from);
    EXPECT_LT(stop.cautious_from, stop.accepts_until);
    EXPECT_LT(stop.accepts_until, stop.aborts_at);
    EXPECT_LE(stop.aborts_at + milliseconds{300}, begin + timeout());
}

// Issue 18, LOST: a request sent later than 3 s after the signal was taken, and cut at the end.
TEST_P(stop_of_any_length, what_comes_3_s_after_the_signal_is_certain_to_end) {
    EXPECT_LE(plan().cautious_from, begin + std::chrono::seconds{3});
}

TEST_P(stop_of_any_length, a_request_is_cut_if_its_answer_ends_after_the_abort) {
    const auto stop = plan();
    const auto left = stop.aborts_at - begin;
    EXPECT_FALSE(stop.would_cut(left, begin));
    EXPECT_TRUE(stop.would_cut(left + milliseconds{1}, begin));
    EXPECT_TRUE(stop.would_cut(milliseconds{1}, stop.aborts_at));
}

INSTANTIATE_TEST_SUITE_P(seconds, stop_of_any_length, testing::Values(2, 8, 30));

} // namespace
} // namespace magnolia
