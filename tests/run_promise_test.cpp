#include "run_promise.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ranges>

namespace magnolia {
namespace {

TEST(run_promise, four_statuses_promise_that_a_request_was_not_run) {
    std::vector<unsigned> promising;
    std::ranges::copy_if(std::views::iota(100U, 600U), std::back_inserter(promising),
                         promises_not_run);
    EXPECT_EQ(promising, (std::vector<unsigned>{408, 421, 429, 503}));
}

// Review case 7, REFUSED.
TEST(run_promise, a_failure_without_a_statement_promises_nothing_of_a_request_that_must_run_once) {
    for (const auto status : std::views::iota(200U, 600U)) {
        EXPECT_FALSE(promises_not_run(status_to_forward(status, repeat_rule::never))) << status;
        if (!promises_not_run(status)) {
            EXPECT_EQ(status_to_forward(status, repeat_rule::never), status);
        }
        EXPECT_EQ(status_to_forward(status, repeat_rule::idempotent), status);
        EXPECT_EQ(status_to_forward(status, repeat_rule::resumable), status);
    }
}

TEST(run_promise, no_own_error_promises_more_than_is_known) {
    constexpr auto count = static_cast<unsigned>(error_code::prompt_quarantined) + 1;
    for (const auto index : std::views::iota(0U, count)) {
        const error failure{static_cast<error_code>(index), "subject", std::chrono::seconds{1}};
        EXPECT_EQ(truthful_failure(failure, run_knowledge::not_run), failure);
        const auto reported = truthful_failure(failure, run_knowledge::may_have_run);
        EXPECT_FALSE(promises_not_run(http_status(reported.code))) << to_string(failure);
        const error lost{error_code::backend_lost, to_string(failure)};
        EXPECT_TRUE(reported == failure || reported == lost) << to_string(reported);
    }
}

} // namespace
} // namespace magnolia
