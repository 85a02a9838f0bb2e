#include "answer_memory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <random>

namespace magnolia {
namespace {

constexpr std::size_t kb = 1024;
constexpr std::size_t mb = 1024 * kb;

TEST(answer_memory, the_limit_is_a_part_of_the_memory_of_a_host) {
    EXPECT_EQ(answer_memory_limit(160 * mb), 20 * mb);
    EXPECT_EQ(answer_memory_limit(0), 8 * mb);
    EXPECT_EQ(answer_memory_limit(std::uint64_t{64} * 1024 * mb), 32 * mb);
}

TEST(answer_memory, nothing_is_given_up_within_the_limit) {
    const std::vector<kept_answer> answers{{answer_wait::no_use, 64 * kb},
                                           {answer_wait::event_end, 256 * kb}};
    const auto relief = choose_relief(answers, 680 * kb, 1000 * kb);
    EXPECT_TRUE(relief.answers.empty());
    EXPECT_EQ(relief.unread_bytes, 0U);
}

TEST(answer_memory, what_has_no_use_is_given_up_first_and_the_largest_of_it) {
    const std::vector<kept_answer> answers{
        {answer_wait::body_end, 60 * kb},   {answer_wait::event_end, 200 * kb},
        {answer_wait::no_use, 10 * kb},     {answer_wait::no_use, 50 * kb},
        {answer_wait::event_end, 250 * kb}, {answer_wait::no_use, 0}};
    const auto order = [&](std::size_t limit) { return choose_relief(answers, 0, limit).answers; };
    EXPECT_EQ(order(569 * kb), (std::vector<std::size_t>{3}));
    EXPECT_EQ(order(515 * kb), (std::vector<std::size_t>{3, 2}));
    EXPECT_EQ(order(500 * kb), (std::vector<std::size_t>{3, 2, 4}));
    EXPECT_EQ(order(0), (std::vector<std::size_t>{3, 2, 4, 1, 0}));
}

// Callers that do not read are no reason to end the streams of others.
TEST(answer_memory, of_unread_output_and_incomplete_answers_what_takes_more_is_freed_first) {
    const std::vector<kept_answer> answers{{answer_wait::body_end, 100},
                                           {answer_wait::event_end, 200}};
    const auto by_output = choose_relief(answers, 1000, 900);
    EXPECT_TRUE(by_output.answers.empty());
    EXPECT_EQ(by_output.unread_bytes, 400U);
    const auto by_answers = choose_relief(answers, 50, 200);
    EXPECT_EQ(by_answers.answers, (std::vector<std::size_t>{1}));
    EXPECT_EQ(by_answers.unread_bytes, 0U);
    const auto all = choose_relief(answers, 50, 0);
    EXPECT_EQ(all.answers, (std::vector<std::size_t>{1, 0}));
    EXPECT_EQ(all.unread_bytes, 50U);
}

// Many calls of all kinds: the rest is within the limit, and nothing is given up without need.
TEST(answer_memory, many_calls_are_brought_within_the_limit_and_no_further) {
    constexpr std::size_t call_count = 2000;
    std::mt19937_64 random{29};
    for (int round = 0; round < 50; ++round) {
        std::vector<kept_answer> answers(call_count);
        for (auto& answer : answers) {
            answer = {static_cast<answer_wait>(random() % 3), random() % (256 * kb)};
        }
        const auto unread = random() % (8 * mb);
        const auto limit = random() % (64 * mb);
        const auto relief = choose_relief(answers, unread, limit);
        auto rest = answers;
        std::size_t last = 0;
        for (const auto index : relief.answers) {
            last = std::exchange(rest[index].bytes, 0);
        }
        const auto sum =
            std::accumulate(rest.begin(), rest.end(), unread,
                            [](std::size_t bytes, const auto& item) { return bytes + item.bytes; });
        EXPECT_LE(sum - relief.unread_bytes, limit);
        EXPECT_TRUE(relief.answers.empty() || sum - relief.unread_bytes + last > limit);
        const auto is_useless = [](const auto& item) {
            return item.wait == answer_wait::no_use && item.bytes > 0;
        };
        const bool gave_up_useful = std::ranges::any_of(relief.answers, [&](std::size_t index) {
            return answers[index].wait != answer_wait::no_use;
        });
        EXPECT_FALSE(gave_up_useful && std::ranges::any_of(rest, is_useless));
    }
}

TEST(answer_memory, a_caller_gets_less_once_memory_is_short) {
    EXPECT_EQ(unread_allowance(4 * mb, 8 * mb), 256 * kb);
    EXPECT_EQ(unread_allowance(5 * mb, 8 * mb), 16 * kb);
}

} // namespace
} // namespace magnolia
