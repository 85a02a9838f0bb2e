#include "duration_estimator.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

TEST(duration_estimator, knows_nothing_without_samples) {
    EXPECT_EQ(duration_estimator{}.upper_estimate(), std::nullopt);
}

TEST(duration_estimator, approaches_the_samples) {
    duration_estimator estimator;
    for (int sample = 0; sample < 60; ++sample) {
        estimator.record(2s);
    }
    EXPECT_NEAR(std::chrono::duration<double>{*estimator.upper_estimate()}.count(), 2, 0.01);
    for (int sample = 0; sample < 100; ++sample) {
        estimator.record(500ms);
    }
    EXPECT_LT(*estimator.upper_estimate(), 600ms);
}

TEST(duration_estimator, most_samples_are_below_the_estimate) {
    duration_estimator estimator;
    int below = 0;
    for (int sample = 0; sample < 400; ++sample) {
        const auto span = 1s + 10ms * (sample * 37 % 100);
        below += estimator.upper_estimate() && span <= *estimator.upper_estimate() ? 1 : 0;
        estimator.record(span);
    }
    EXPECT_GE(below, 360);
}

} // namespace
} // namespace magnolia
