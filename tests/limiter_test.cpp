#include "limiter.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{1h};

contract small_contract() {
    contract value;
    value.workspace = "howrah-repairs";
    value.requests_per_second = 10;
    value.request_burst = 5;
    value.prompt_tokens_per_second = 1000;
    value.prompt_token_burst = 4000;
    value.generated_tokens_per_second = 100;
    value.generated_token_burst = 1000;
    value.concurrency = 4;
    value.max_prompt_tokens = 5000;
    value.max_generated_tokens = 500;
    return value;
}

class single_entry_limiter : public testing::Test {
protected:
    single_entry_limiter() {
        limits_.put_contract(small_contract(), 2, start);
        limits_.set_members({{"a", "howrah", host_state::live}}, false, start);
    }

    error_code refusal(std::uint32_t prompt, std::uint32_t generated, time_point now) {
        const auto answer = limits_.admit("howrah-repairs", prompt, generated, now);
        return answer ? error_code::internal : answer.error().code;
    }

    limiter limits_{"a", "howrah", 1};
};

TEST_F(single_entry_limiter, each_exhausted_limit_has_its_error_and_retry_after) {
    EXPECT_TRUE(limits_.admit("howrah-repairs", 3900, 1, start).has_value());
    const auto prompt = limits_.admit("howrah-repairs", 200, 1, start);
    ASSERT_FALSE(prompt.has_value());
    EXPECT_EQ(prompt.error().code, error_code::limit_prompt_tokens);
    EXPECT_EQ(prompt.error().retry_after, 100ms);
    EXPECT_TRUE(limits_.admit("howrah-repairs", 0, 500, start).has_value());
    EXPECT_EQ(refusal(0, 500, start), error_code::limit_generated_tokens);
    EXPECT_TRUE(limits_.admit("howrah-repairs", 0, 0, start).has_value());
    EXPECT_TRUE(limits_.admit("howrah-repairs", 0, 0, start).has_value());
    EXPECT_EQ(refusal(0, 0, start), error_code::limit_concurrency);
}

TEST_F(single_entry_limiter, a_refused_request_uses_no_quota) {
    EXPECT_EQ(refusal(4500, 1, start), error_code::limit_prompt_tokens);
    EXPECT_TRUE(limits_.admit("howrah-repairs", 4000, 500, start).has_value());
}

TEST_F(single_entry_limiter, lengths_above_the_contract_are_too_large) {
    EXPECT_EQ(refusal(5001, 1, start), error_code::too_large);
    EXPECT_EQ(refusal(1, 501, start), error_code::too_large);
}

TEST_F(single_entry_limiter, settling_returns_unused_tokens) {
    const auto ticket = limits_.admit("howrah-repairs", 4000, 500, start);
    ASSERT_TRUE(ticket.has_value());
    limits_.settle(*ticket, 1000, 20, start);
    EXPECT_TRUE(limits_.admit("howrah-repairs", 3000, 480, start).has_value());
}

TEST_F(single_entry_limiter, an_older_contract_version_is_ignored) {
    auto retired = small_contract();
    retired.state = contract_state::retired;
    limits_.put_contract(retired, 3, start);
    limits_.put_contract(small_contract(), 2, start);
    EXPECT_EQ(refusal(1, 1, start), error_code::workspace_retired);
}

TEST_F(single_entry_limiter, an_unknown_workspace_is_refused) {
    const auto answer = limits_.admit("nobody", 1, 1, start);
    ASSERT_FALSE(answer.has_value());
    EXPECT_EQ(answer.error().code, error_code::workspace_unknown);
}

TEST_F(single_entry_limiter, a_cut_off_zone_refuses_if_the_contract_requires_it) {
    auto strict = small_contract();
    strict.cut_off = cut_off_rule::refuse;
    limits_.put_contract(strict, 3, start);
    limits_.set_members({{"a", "howrah", host_state::live}, {"b", "salt-lake", host_state::gone}},
                        true, start);
    EXPECT_EQ(refusal(1, 1, start), error_code::cut_off);
}

} // namespace
} // namespace magnolia
