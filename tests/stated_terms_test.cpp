#include "stated_terms.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};

class stated_terms_test : public testing::Test {
protected:
    stated_terms terms_;
    std::mt19937_64 random_{1};
};

TEST_F(stated_terms_test, a_backend_server_that_states_nothing_takes_requests) {
    EXPECT_TRUE(terms_.admits(1000, start));
    EXPECT_EQ(terms_.limit(), std::nullopt);
}

// Incident BUDGET: a server that had asked for rest was sent requests.
TEST_F(stated_terms_test, takes_no_requests_until_its_rest_ends) {
    terms_.ask_for_rest(4s, start, random_);
    EXPECT_FALSE(terms_.admits(0, start));
    EXPECT_FALSE(terms_.admits(0, start + 4s - 1ms));
    EXPECT_TRUE(terms_.admits(0, start + 4s + 500ms));
}

TEST_F(stated_terms_test, the_rest_that_ends_last_counts) {
    terms_.ask_for_rest(10s, start, random_);
    terms_.ask_for_rest(1s, start + 1s, random_);
    EXPECT_FALSE(terms_.admits(0, start + 9s));
    terms_.ask_for_rest(10s, start + 5s, random_);
    EXPECT_FALSE(terms_.admits(0, start + 14s));
}

TEST_F(stated_terms_test, a_fraction_of_a_second_is_kept) {
    terms_.ask_for_rest(250ms, start, random_);
    EXPECT_FALSE(terms_.admits(0, start + 249ms));
    EXPECT_TRUE(terms_.admits(0, start + 275ms));
}

TEST_F(stated_terms_test, a_rest_has_bounds) {
    terms_.ask_for_rest(duration::max() / 4, start, random_);
    EXPECT_FALSE(terms_.admits(0, start + 1h));
    EXPECT_TRUE(terms_.admits(0, start + 1h + 500ms));
    stated_terms none;
    none.ask_for_rest(-5s, start, random_);
    EXPECT_TRUE(none.admits(0, start));
}

// Gateways whose rests end together would bring back all load at that moment.
TEST_F(stated_terms_test, load_comes_back_in_steps_after_a_rest) {
    terms_.ask_for_rest(1s, start, random_);
    const auto after = start + 2s;
    EXPECT_TRUE(terms_.admits(0, after));
    EXPECT_FALSE(terms_.admits(1, after));
    terms_.on_answered();
    EXPECT_TRUE(terms_.admits(1, after));
    EXPECT_FALSE(terms_.admits(2, after));
    for (int answer = 0; answer < 5; ++answer) {
        terms_.on_answered();
    }
    EXPECT_TRUE(terms_.admits(1000, after));
}

TEST_F(stated_terms_test, requests_follow_the_share_of_a_limit) {
    EXPECT_TRUE(terms_.set_limit(1, start, start));
    EXPECT_FALSE(terms_.is_open(start));
    terms_.set_share(1, start);
    EXPECT_FALSE(terms_.admits(0, start));
    EXPECT_TRUE(terms_.admits(0, start + 1s));
    terms_.on_sent(start + 1s);
    EXPECT_FALSE(terms_.admits(0, start + 1500ms));
    EXPECT_TRUE(terms_.set_limit(std::nullopt, start + 2s, start + 2s));
    EXPECT_TRUE(terms_.admits(0, start + 2s));
}

TEST_F(stated_terms_test, an_older_statement_changes_nothing) {
    EXPECT_TRUE(terms_.set_limit(1, start, start));
    EXPECT_TRUE(terms_.set_limit(std::nullopt, start + 2s, start + 2s));
    EXPECT_FALSE(terms_.set_limit(1, start + 1s, start + 3s));
    EXPECT_EQ(terms_.limit(), std::nullopt);
}

// A gateway that was cut off when the limit ended would keep it for ever, as it sends nothing.
TEST_F(stated_terms_test, a_limit_that_nobody_states_any_more_is_forgotten) {
    EXPECT_TRUE(terms_.set_limit(1, start, start));
    terms_.expire_limit(start + 29s);
    EXPECT_EQ(terms_.limit(), 1);
    terms_.expire_limit(start + 31s);
    EXPECT_EQ(terms_.limit(), std::nullopt);
}

TEST_F(stated_terms_test, rests_of_the_same_time_end_apart) {
    stated_terms other;
    terms_.ask_for_rest(4s, start, random_);
    other.ask_for_rest(4s, start, random_);
    EXPECT_NE(terms_.rests_until(), other.rests_until());
}

} // namespace
} // namespace magnolia
