#include "lag_detector.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds{100}};

TEST(lag_detector, a_difference_has_to_last) {
    lag_detector detector;
    EXPECT_FALSE(detector.on_digest(true, false, start));
    EXPECT_FALSE(detector.on_digest(false, false, start + milliseconds{200}));
    EXPECT_FALSE(detector.on_digest(true, false, start + milliseconds{400}));
    EXPECT_TRUE(detector.on_digest(true, false, start + milliseconds{650}));
}

TEST(lag_detector, readings_are_a_second_apart) {
    lag_detector detector;
    int readings = 0;
    for (int ms = 0; ms <= 5000; ms += 50) {
        readings += detector.on_digest(true, false, start + milliseconds{ms}) ? 1 : 0;
    }
    EXPECT_GE(readings, 4);
    EXPECT_LE(readings, 5);
}

TEST(lag_detector, a_host_that_the_store_turns_away_is_left_to_its_own_tries) {
    lag_detector detector;
    for (int ms = 0; ms <= 5000; ms += 50) {
        EXPECT_FALSE(detector.on_digest(true, true, start + milliseconds{ms}));
    }
}

} // namespace
} // namespace magnolia
