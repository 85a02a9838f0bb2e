#include "log.h"

#include <magnolia/config.h>

#include <gtest/gtest.h>

namespace magnolia {
namespace {

TEST(log, messages_are_bounded_and_stay_on_one_line) {
    EXPECT_EQ(sanitize_message("first\nsecond\x1b[0m"), "first second [0m");
    EXPECT_LE(sanitize_message(std::string(5000, 'a')).size(), config::max_log_message_bytes + 3);
}

TEST(log, the_rate_limiter_counts_the_lines_it_drops) {
    log_rate_limiter limiter{3};
    const time_point start{std::chrono::seconds{100}};
    EXPECT_TRUE(limiter.try_acquire(start));
    EXPECT_TRUE(limiter.try_acquire(start));
    EXPECT_TRUE(limiter.try_acquire(start));
    EXPECT_FALSE(limiter.try_acquire(start));
    EXPECT_FALSE(limiter.try_acquire(start + std::chrono::milliseconds{999}));
    EXPECT_TRUE(limiter.try_acquire(start + std::chrono::milliseconds{1000}));
    EXPECT_EQ(limiter.take_dropped(), 2U);
    EXPECT_EQ(limiter.take_dropped(), 0U);
}

} // namespace
} // namespace magnolia
