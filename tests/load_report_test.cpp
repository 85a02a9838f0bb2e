#include "load_report.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <array>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

experiment_settings make_settings() {
    experiment_settings settings;
    settings.title = "Test";
    settings.classes = {{.name = "1k",
                         .prompt_tokens = 1000,
                         .share = 1,
                         .first_token = milliseconds{100},
                         .finish = milliseconds{1000}}};
    settings.phases = {
        {.name = "alone", .length = milliseconds{10'000}, .only = {}, .alone = ""},
        {.name = "80", .load = 0.8, .length = milliseconds{10'000}, .only = {}, .alone = "alone"}};
    return settings;
}

call_sample complete_call(std::size_t phase, int first_token_ms, int end_ms) {
    return {.phase = phase,
            .verdict = call_verdict::whole,
            .first_token = milliseconds{first_token_ms},
            .end = milliseconds{end_ms},
            .generated_tokens = 10};
}

TEST(load_report, quantiles_are_by_nearest_rank) {
    std::array<double, 5> values{5, 1, 4, 2, 3};
    EXPECT_EQ(quantile(values, 0.5), 3);
    EXPECT_EQ(quantile(values, 0.95), 5);
    EXPECT_EQ(quantile(values, 0), 1);
    EXPECT_EQ(quantile({}, 0.5), 0);
}

TEST(load_report, only_complete_answers_within_their_deadlines_are_goodput) {
    const std::vector<call_sample> samples{
        complete_call(1, 50, 900),
        complete_call(1, 150, 900),
        complete_call(1, 50, 1100),
        {.phase = 1, .verdict = call_verdict::wrong, .reason = "gap"},
        {.phase = 1, .verdict = call_verdict::refused, .reason = "limit_requests"},
        {.phase = 1}};
    const auto summary = summarize(make_settings(), samples);
    const auto& phase = summary.phases[1];
    EXPECT_EQ(phase.calls, 6U);
    EXPECT_EQ(phase.admitted, 4U);
    EXPECT_EQ(phase.in_time, 1U);
    EXPECT_DOUBLE_EQ(phase.goodput_per_s, 0.1);
    EXPECT_DOUBLE_EQ(phase.tokens_per_s, 1);
    EXPECT_EQ(phase.reasons.at("limit_requests"), 1U);
    EXPECT_EQ(phase.verdicts.at("not_sent"), 1U);
}

TEST(load_report, head_of_line_blocking_is_relative_to_the_baseline_phase) {
    const std::vector<call_sample> samples{complete_call(0, 50, 100), complete_call(1, 75, 100)};
    const auto summary = summarize(make_settings(), samples);
    EXPECT_FALSE(summary.phases[0].classes[0].head_of_line);
    EXPECT_DOUBLE_EQ(*summary.phases[1].classes[0].head_of_line, 1.5);
}

TEST(load_report, a_report_without_calls_can_be_rendered) {
    const auto summary = summarize(make_settings(), {});
    EXPECT_NE(report_html(summary).find("</svg>"), std::string::npos);
    EXPECT_EQ(report_json(summary).at("phases").size(), 2U);
}

} // namespace
} // namespace magnolia
