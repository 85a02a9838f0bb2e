#include "load_plan.h"

#include <magnolia/config.h>

#include <gtest/gtest.h>

#include <algorithm>

namespace magnolia {
namespace {

experiment_settings make_settings() {
    experiment_settings settings;
    settings.entries.resize(3);
    settings.full_rate = 100;
    settings.pause = std::chrono::milliseconds{0};
    settings.classes = {{.name = "1k", .prompt_tokens = 1000, .shared_tokens = 400, .share = 9},
                        {.name = "64k", .prompt_tokens = 64000, .share = 1}};
    settings.workspaces = {{.name = "counter", .key = "k"}};
    settings.phases = {{.name = "alone",
                        .load = 0.5,
                        .length = std::chrono::milliseconds{60'000},
                        .only = {"1k"},
                        .alone = ""},
                       {.name = "50",
                        .load = 0.5,
                        .length = std::chrono::milliseconds{60'000},
                        .only = {},
                        .alone = "alone"}};
    return settings;
}

std::ptrdiff_t count(const std::vector<planned_call>& plan, std::size_t phase,
                     std::size_t length_class) {
    return std::ranges::count_if(plan, [&](const planned_call& call) {
        return call.phase == phase && call.length_class == length_class;
    });
}

TEST(load_plan, the_same_seed_gives_the_same_arrivals_at_the_configured_rate) {
    const auto settings = make_settings();
    const auto plan = plan_load(settings);
    const auto again = plan_load(settings);
    ASSERT_TRUE(plan && again);
    EXPECT_TRUE(
        std::ranges::equal(*plan, *again, {}, &planned_call::arrival, &planned_call::arrival));
    EXPECT_TRUE(std::ranges::is_sorted(*plan, {}, &planned_call::arrival));
    // 50 calls/s over 60 s give 3000 calls with a standard deviation of 55; the tolerance is 4 of
    // these.
    EXPECT_NEAR(static_cast<double>(count(*plan, 1, 0) + count(*plan, 1, 1)), 3000, 220);
}

TEST(load_plan, a_phase_restricted_to_some_classes_keeps_their_rate) {
    const auto plan = plan_load(make_settings());
    ASSERT_TRUE(plan);
    EXPECT_EQ(count(*plan, 0, 1), 0);
    EXPECT_NEAR(static_cast<double>(count(*plan, 0, 0)), 2700, 220);
}

TEST(load_plan, the_plan_is_limited_to_max_calls) {
    auto settings = make_settings();
    settings.max_calls = 10;
    EXPECT_EQ(plan_load(settings)->size(), 10U);
}

TEST(load_plan, prompts_of_a_group_share_only_their_prefix) {
    const auto settings = make_settings();
    const auto first = prompt_text(settings, {.group = 1, .number = 1});
    const auto second = prompt_text(settings, {.group = 1, .number = 2});
    constexpr auto shared = 400 * config::estimated_bytes_per_token;
    EXPECT_EQ(first.size(), 1000 * config::estimated_bytes_per_token);
    EXPECT_EQ(first.substr(0, shared), second.substr(0, shared));
    EXPECT_NE(first.substr(shared, 100), second.substr(shared, 100));
    EXPECT_EQ(first, prompt_text(settings, {.group = 1, .number = 1}));
}

TEST(load_plan, unknown_class_and_phase_names_are_refused) {
    auto settings = make_settings();
    settings.phases[1].alone = "nowhere";
    EXPECT_EQ(plan_load(settings).error().code, error_code::bad_settings);
    settings = make_settings();
    settings.phases[0].only = {"2k"};
    EXPECT_EQ(plan_load(settings).error().code, error_code::bad_settings);
}

} // namespace
} // namespace magnolia
