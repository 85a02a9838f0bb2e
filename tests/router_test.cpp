#include "router.h"

#include <gtest/gtest.h>

#include <set>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t memory = 450'000;

struct router_fixture : testing::Test {
    router made{"salt-lake", route_policy::length_aware, 7};
    time_point now{1h};
    std::uint64_t sequence = 0;

    void add(unsigned count, const std::string& zone = "salt-lake") {
        for (unsigned index = 0; index < count; ++index) {
            made.put_engine({zone + std::to_string(index), zone, {"m"}, {}, memory, {}}, now);
        }
        now += 1min;
    }

    route_query query(std::uint32_t tokens, duration first_token = 30s) {
        route_query value;
        value.request = {1, ++sequence};
        value.model = "m";
        value.prompt_tokens = tokens;
        value.max_generated_tokens = 100;
        value.first_token_budget = first_token;
        value.finish_budget = first_token + 60s;
        return value;
    }

    engine_handle start(const route_query& value) {
        const auto decision = made.decide(value, now);
        const auto engine = std::get<single_route>(decision).engine;
        made.on_started({value.request, 1}, engine, value, now);
        return engine;
    }

    error refusal(const route_query& value) {
        return std::get<route_refused>(made.decide(value, now)).failure;
    }
};

TEST_F(router_fixture, an_unknown_model_is_refused) {
    EXPECT_EQ(refusal(query(1000)).code, error_code::model_unknown);
}

TEST_F(router_fixture, the_one_idle_engine_of_a_large_fleet_is_found_before_a_refusal) {
    add(20);
    add(600, "howrah");
    const auto idle = made.find("howrah377");
    for (unsigned index = 0; index < 620; ++index) {
        if (engine_handle{index} != idle) {
            const engine_load busy{64, 50, 5'000'000, memory, {}, host_state::live};
            made.on_load(engine_handle{index}, busy, now);
        }
    }
    for (int turn = 0; turn < 20; ++turn) {
        const auto decision = made.decide(query(1000, 2s), now);
        ASSERT_TRUE(std::holds_alternative<single_route>(decision));
        EXPECT_EQ(std::get<single_route>(decision).engine, idle);
    }
}

TEST_F(router_fixture, fast_engines_are_known_to_be_fast_at_long_prompts_after_short_ones) {
    add(4);
    const auto long_prompt = query(300'000, 20s);
    EXPECT_EQ(refusal(long_prompt).code, error_code::deadline_unreachable);
    for (int turn = 0; turn < 20; ++turn) {
        const auto value = query(4000);
        const auto engine = start(value);
        made.on_accepted({value.request, 1}, 4000, 0, now);
        now += 100ms;
        made.on_first_token({value.request, 1}, now);
        made.on_ended({value.request, 1}, true, 100, now + 2s);
        made.on_load(engine, {.free_memory_tokens = memory}, now + 2s);
        now += 5s;
    }
    const auto decision = made.decide(long_prompt, now);
    ASSERT_TRUE(std::holds_alternative<group_route>(decision)) << to_string(refusal(long_prompt));
}

TEST_F(router_fixture, a_cold_start_admits_the_feasible_and_refuses_the_impossible) {
    add(4);
    EXPECT_TRUE(std::holds_alternative<single_route>(made.decide(query(4000, 2s), now)));
    const auto failure = refusal(query(400'000, 2s));
    EXPECT_EQ(failure.code, error_code::deadline_unreachable);
    EXPECT_GT(failure.retry_after, 0ms);
}

TEST_F(router_fixture, own_work_in_flight_counts_before_any_report_shows_it) {
    add(3);
    std::set<engine_handle> used;
    for (int index = 0; index < 3; ++index) {
        used.insert(start(query(4000)));
    }
    EXPECT_EQ(used.size(), 3U);
}

TEST_F(router_fixture, a_report_older_than_the_start_does_not_erase_own_work) {
    add(2);
    const auto first = start(query(60'000));
    made.on_load(first, {.free_memory_tokens = memory, .age = 400ms}, now);
    EXPECT_NE(start(query(60'000)), first);
}

TEST_F(router_fixture, work_of_other_entries_is_learnt_from_reports) {
    add(2);
    const auto busy = made.find("salt-lake0");
    made.on_load(busy, {.pending_prefill_tokens = 50'000, .free_memory_tokens = memory}, now);
    EXPECT_NE(start(query(4000)), busy);
}

TEST_F(router_fixture, long_prompts_leave_the_kept_engines_to_short_ones) {
    add(8);
    std::set<engine_handle> of_long;
    for (int index = 0; index < 12; ++index) {
        of_long.insert(start(query(90'000, 600s)));
    }
    EXPECT_LT(of_long.size(), 8U);
    EXPECT_FALSE(of_long.contains(start(query(1000))));
}

TEST_F(router_fixture, a_long_prompt_spills_to_kept_engines_before_it_misses_its_deadline) {
    add(4);
    std::set<engine_handle> used;
    for (int index = 0; index < 4; ++index) {
        used.insert(start(query(90'000, 20s)));
    }
    EXPECT_EQ(used.size(), 4U);
}

TEST_F(router_fixture, a_prompt_beyond_one_engine_gets_a_group_in_one_zone) {
    add(4);
    add(4, "howrah");
    const auto decision = made.decide(query(1'000'000, 1200s), now);
    const auto& group = std::get<group_route>(decision);
    ASSERT_EQ(group.members.size(), 3U);
    std::uint32_t next = 0;
    for (const auto& member : group.members) {
        EXPECT_EQ(member.first_token, next);
        EXPECT_EQ(made.info(member.engine).zone, made.info(group.members[0].engine).zone);
        next += member.token_count;
    }
    EXPECT_EQ(next, 1'000'000U);
}

TEST_F(router_fixture, a_failing_engine_is_left_alone_and_probed_later) {
    add(1);
    for (int index = 0; index < 3; ++index) {
        const auto value = query(1000);
        start(value);
        made.on_ended({value.request, 1}, false, 0, now);
    }
    EXPECT_EQ(refusal(query(1000)).code, error_code::no_capacity);
    now += 2s;
    const auto probe = query(1000);
    start(probe);
    EXPECT_EQ(refusal(query(1000)).code, error_code::no_capacity);
    made.on_first_token({probe.request, 1}, now);
    EXPECT_TRUE(std::holds_alternative<single_route>(made.decide(query(1000), now)));
}

TEST_F(router_fixture, a_prefix_goes_back_to_its_engine_until_that_is_busy) {
    add(6);
    const std::string text(80'000, 'x');
    const auto hashes = prefix_hashes(text);
    auto value = query(20'000);
    value.prefix_hashes = hashes;
    const auto first = start(value);
    made.on_first_token({value.request, 1}, now += 2s);
    value = query(20'000);
    value.prefix_hashes = hashes;
    EXPECT_EQ(start(value), first);
    made.on_load(first, {.pending_prefill_tokens = 300'000, .free_memory_tokens = memory}, now);
    value = query(20'000);
    value.prefix_hashes = hashes;
    EXPECT_NE(start(value), first);
}

TEST_F(router_fixture, a_slow_engine_that_answers_is_ejected) {
    add(6);
    const auto slow = made.find("salt-lake0");
    int late = 0;
    for (int index = 0; index < 120; ++index) {
        const auto value = query(1000);
        const auto engine = start(value);
        late += engine == slow && index >= 60 ? 1 : 0;
        made.on_first_token({value.request, 1}, now += engine == slow ? 3s : 100ms);
        made.on_ended({value.request, 1}, true, 10, now += 100ms);
    }
    EXPECT_LE(late, 3);
}

TEST_F(router_fixture, leaving_and_excluded_engines_get_nothing) {
    add(2);
    const auto a = made.find("salt-lake0");
    const auto b = made.find("salt-lake1");
    made.set_state(a, host_state::leaving, now);
    EXPECT_EQ(start(query(1000)), b);
    const std::array excluded{b};
    auto value = query(1000);
    value.excluded = excluded;
    EXPECT_EQ(refusal(value).code, error_code::no_capacity);
}

} // namespace
} // namespace magnolia
