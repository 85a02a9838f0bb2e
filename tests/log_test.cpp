#include "log.h"

#include <magnolia/config.h>

#include <gtest/gtest.h>

namespace magnolia {
namespace {

TEST(log, a_sentence_stays_one_bounded_line) {
    EXPECT_EQ(sanitize_message("first\nsecond\x1b[0m"), "first second [0m");
    EXPECT_LE(sanitize_message(std::string(5000, 'a')).size(), config::max_log_bytes + 3);
}

TEST(log, a_budget_counts_the_lines_it_refuses) {
    log_rate_limiter budget{3};
    const time_point start{std::chrono::seconds{100}};
    EXPECT_TRUE(budget.take(start));
    EXPECT_TRUE(budget.take(start));
    EXPECT_TRUE(budget.take(start));
    EXPECT_FALSE(budget.take(start));
    EXPECT_FALSE(budget.take(start + std::chrono::milliseconds{999}));
    EXPECT_TRUE(budget.take(start + std::chrono::milliseconds{1000}));
    EXPECT_EQ(budget.take_dropped(), 2U);
    EXPECT_EQ(budget.take_dropped(), 0U);
}

} // namespace
} // namespace magnolia
