#include "lag_detector.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds{100}};

TEST(lag_detector, a_lag_must_persist) {
    lag_detector detector;
    EXPECT_FALSE(detector.on_digest(true, false, start));
    EXPECT_FALSE(detector.on_digest(false, false, start + milliseconds{200}));
    EXPECT_FALSE(detector.on_digest(true, false, start + milliseconds{400}));
    EXPECT_TRUE(detector.on_digest(true, false, start + milliseconds{650}));
}

TEST(lag_detector, resyncs_are_a_second_apart) {
    lag_detector detector;
    int resyncs = 0;
    for (int ms = 0; ms <= 5000; ms += 50) {
        resyncs += detector.on_digest(true, false, start + milliseconds{ms}) ? 1 : 0;
    }
    EXPECT_GE(resyncs, 4);
    EXPECT_LE(resyncs, 5);
}

TEST(lag_detector, a_disconnected_host_does_not_resync) {
    lag_detector detector;
    for (int ms = 0; ms <= 5000; ms += 50) {
        EXPECT_FALSE(detector.on_digest(true, true, start + milliseconds{ms}));
    }
}

} // namespace
} // namespace magnolia
