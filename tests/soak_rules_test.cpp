#include "soak_rules.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

constexpr time_point sent{std::chrono::seconds{100}};
constexpr server_record not_reached{};
constexpr server_record at_work{.arrivals = 1};
constexpr server_record finished{.arrivals = 1, .is_finished = true};

soak_call call_of(milliseconds length, std::optional<http_response> answer = {}) {
    return {.id = "a1",
            .target = "/unsafe/",
            .expected_body = "whole",
            .written_at = sent,
            .ended_at = sent + length,
            .answer = std::move(answer)};
}

call_verdict judge_calm(const soak_call& call, const server_record& server) {
    return judge(call, server, {}, {});
}

TEST(soak_rules, an_answer_has_to_be_true_and_complete) {
    constexpr milliseconds length{100};
    EXPECT_EQ(judge_calm(call_of(length, http_response{200, {}, "whole"}), finished),
              call_verdict::served);
    EXPECT_EQ(judge_calm(call_of(length, http_response{200, {}, "who"}), finished),
              call_verdict::mixed);
    EXPECT_EQ(judge_calm(call_of(length, http_response{200, {}, "whole"}), not_reached),
              call_verdict::mixed);
    EXPECT_EQ(judge_calm(call_of(length, http_response{503, {}, {}}), not_reached),
              call_verdict::refused);
    EXPECT_EQ(judge_calm(call_of(length, http_response{503, {}, {}}), at_work),
              call_verdict::refused_though_run);
    EXPECT_EQ(judge_calm(call_of(length, http_response{502, {}, {}}), at_work),
              call_verdict::refused);
    EXPECT_EQ(judge_calm(call_of(length, http_response{404, {}, {}}), not_reached),
              call_verdict::denied);
}

TEST(soak_rules, a_request_that_must_not_be_repeated_runs_once) {
    auto call = call_of(milliseconds{100}, http_response{200, {}, "whole"});
    constexpr server_record twice{.arrivals = 2, .is_finished = true};
    EXPECT_EQ(judge_calm(call, twice), call_verdict::run_twice);
    call.is_repeatable = true;
    EXPECT_EQ(judge_calm(call, twice), call_verdict::served);
}

TEST(soak_rules, a_close_is_excused_within_the_slack_of_a_request_that_is_not_passed_on) {
    EXPECT_EQ(judge_calm(call_of(milliseconds{200}), not_reached), call_verdict::crossed);
    EXPECT_EQ(judge_calm(call_of(milliseconds{201}), not_reached), call_verdict::lost);
    EXPECT_EQ(judge_calm(call_of(milliseconds{1}), at_work), call_verdict::lost);
}

TEST(soak_rules, a_freeze_excuses_until_the_contact_time_after_it) {
    constexpr milliseconds length{300};
    const auto judge_after = [&](milliseconds pause) {
        return judge(call_of(length), at_work, {.disturbances = {{sent - pause, sent - pause}}},
                     {});
    };
    EXPECT_EQ(judge_after(milliseconds{3000}), call_verdict::disturbed);
    EXPECT_EQ(judge_after(milliseconds{3001}), call_verdict::lost);
    EXPECT_EQ(judge_after(milliseconds{-301}), call_verdict::lost);
}

TEST(soak_rules, a_stop_excuses_only_in_its_last_part_and_while_the_server_is_at_work) {
    const host_history host{.stops = {{sent, milliseconds{3000}, milliseconds{3000}}}};
    EXPECT_EQ(judge(call_of(milliseconds{2500}), at_work, host, {}), call_verdict::outlasted);
    EXPECT_EQ(judge(call_of(milliseconds{2499}), at_work, host, {}), call_verdict::lost);
    EXPECT_EQ(judge(call_of(milliseconds{2500}), finished, host, {}), call_verdict::lost);
}

TEST(soak_rules, a_freeze_extends_a_stop) {
    const asked_stop stop{sent, milliseconds{3000}, milliseconds{3000}};
    EXPECT_EQ(end_of_stop(stop, {}), sent + milliseconds{3000});
    const auto thawed = sent + milliseconds{2900};
    const auto frozen = sent + milliseconds{1};
    EXPECT_EQ(end_of_stop(stop, {.disturbances = {{frozen, thawed}}}), thawed + milliseconds{1000});
    EXPECT_EQ(end_of_stop(stop, {.disturbances = {{sent, thawed}}}), thawed + milliseconds{3000});
}

} // namespace
} // namespace magnolia
