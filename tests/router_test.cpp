#include "router.h"

#include <gtest/gtest.h>

#include <set>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t engine_memory_tokens = 450'000;

/// Length-aware router of an entry in the zone salt-lake.
struct router_fixture : testing::Test {
    router routes{"salt-lake", route_policy::length_aware, 7};
    time_point now{1h};
    std::uint64_t sequence = 0;

    void add(unsigned count, const std::string& zone = "salt-lake") {
        for (unsigned index = 0; index < count; ++index) {
            routes.put_engine(
                {zone + std::to_string(index), zone, {"m"}, {}, engine_memory_tokens, {}}, now);
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

    /// Routes the request to one engine and accounts for its attempt.
    engine_handle start(const route_query& value) {
        const auto decision = routes.decide(value, now);
        const auto engine = std::get<single_route>(decision).engine;
        routes.on_started({value.request, 1}, engine, value, now);
        return engine;
    }

    error refusal(const route_query& value) {
        return std::get<route_refused>(routes.decide(value, now)).failure;
    }
};

TEST_F(router_fixture, an_unknown_model_is_refused) {
    EXPECT_EQ(refusal(query(1000)).code, error_code::model_unknown);
}

// A decision considers only a sample of a large fleet; a refusal must follow from all engines.
TEST_F(router_fixture, the_one_idle_engine_of_a_large_fleet_is_found_before_a_refusal) {
    add(20);
    add(600, "howrah");
    const auto idle = routes.find("howrah377");
    for (unsigned index = 0; index < 620; ++index) {
        if (engine_handle{index} != idle) {
            const engine_load busy{64, 50, 5'000'000, engine_memory_tokens, {}, host_state::live};
            routes.on_load(engine_handle{index}, busy, now);
        }
    }
    for (int turn = 0; turn < 20; ++turn) {
        const auto decision = routes.decide(query(1000, 2s), now);
        ASSERT_TRUE(std::holds_alternative<single_route>(decision));
        EXPECT_EQ(std::get<single_route>(decision).engine, idle);
    }
}

// The initial cost model refuses the long prompt. Its speed estimate is corrected by short prompts,
// because no long prompt would ever be admitted otherwise.
TEST_F(router_fixture, engine_speed_learnt_from_short_prompts_applies_to_long_ones) {
    add(4);
    const auto long_prompt = query(300'000, 20s);
    EXPECT_EQ(refusal(long_prompt).code, error_code::deadline_unreachable);
    for (int turn = 0; turn < 20; ++turn) {
        const auto value = query(4000);
        const auto engine = start(value);
        routes.on_accepted({value.request, 1}, 4000, 0, now);
        now += 100ms;
        routes.on_first_token({value.request, 1}, now);
        routes.on_ended({value.request, 1}, true, 100, now + 2s);
        routes.on_load(engine, {.free_memory_tokens = engine_memory_tokens}, now + 2s);
        now += 5s;
    }
    const auto decision = routes.decide(long_prompt, now);
    ASSERT_TRUE(std::holds_alternative<group_route>(decision)) << to_string(refusal(long_prompt));
}

TEST_F(router_fixture, a_cold_start_refuses_only_unreachable_deadlines) {
    add(4);
    EXPECT_TRUE(std::holds_alternative<single_route>(routes.decide(query(4000, 2s), now)));
    const auto failure = refusal(query(400'000, 2s));
    EXPECT_EQ(failure.code, error_code::deadline_unreachable);
    EXPECT_GT(failure.retry_after, 0ms);
}

TEST_F(router_fixture, own_attempts_count_before_a_load_report_includes_them) {
    add(3);
    std::set<engine_handle> used;
    for (int index = 0; index < 3; ++index) {
        used.insert(start(query(4000)));
    }
    EXPECT_EQ(used.size(), 3U);
}

// The report describes a time before the attempt started and cannot include it.
TEST_F(router_fixture, a_report_older_than_the_start_does_not_erase_own_attempts) {
    add(2);
    const auto first = start(query(60'000));
    routes.on_load(first, {.free_memory_tokens = engine_memory_tokens, .age = 400ms}, now);
    EXPECT_NE(start(query(60'000)), first);
}

TEST_F(router_fixture, work_of_other_entries_is_learnt_from_reports) {
    add(2);
    const auto busy = routes.find("salt-lake0");
    routes.on_load(
        busy, {.pending_prefill_tokens = 50'000, .free_memory_tokens = engine_memory_tokens}, now);
    EXPECT_NE(start(query(4000)), busy);
}

TEST_F(router_fixture, long_prompts_avoid_engines_reserved_for_short_ones) {
    add(8);
    std::set<engine_handle> engines_with_long_prompts;
    for (int index = 0; index < 12; ++index) {
        engines_with_long_prompts.insert(start(query(90'000, 600s)));
    }
    EXPECT_LT(engines_with_long_prompts.size(), 8U);
    EXPECT_FALSE(engines_with_long_prompts.contains(start(query(1000))));
}

TEST_F(router_fixture, a_long_prompt_spills_to_reserved_engines_before_it_misses_its_deadline) {
    add(4);
    std::set<engine_handle> used;
    for (int index = 0; index < 4; ++index) {
        used.insert(start(query(90'000, 20s)));
    }
    EXPECT_EQ(used.size(), 4U);
}

TEST_F(router_fixture, a_prompt_larger_than_one_engine_gets_a_group_in_one_zone) {
    add(4);
    add(4, "howrah");
    const auto decision = routes.decide(query(1'000'000, 1200s), now);
    const auto& group = std::get<group_route>(decision);
    ASSERT_EQ(group.members.size(), 3U);
    std::uint32_t next = 0;
    for (const auto& member : group.members) {
        EXPECT_EQ(member.first_token, next);
        EXPECT_EQ(routes.info(member.engine).zone, routes.info(group.members[0].engine).zone);
        next += member.token_count;
    }
    EXPECT_EQ(next, 1'000'000U);
}

TEST_F(router_fixture, a_failing_engine_is_skipped_and_probed_later) {
    add(1);
    for (int index = 0; index < 3; ++index) {
        const auto value = query(1000);
        start(value);
        routes.on_ended({value.request, 1}, false, 0, now);
    }
    EXPECT_EQ(refusal(query(1000)).code, error_code::no_capacity);
    now += 2s;
    const auto probe = query(1000);
    start(probe);
    EXPECT_EQ(refusal(query(1000)).code, error_code::no_capacity);
    routes.on_first_token({probe.request, 1}, now);
    EXPECT_TRUE(std::holds_alternative<single_route>(routes.decide(query(1000), now)));
}

TEST_F(router_fixture, a_prefix_returns_to_its_engine_until_that_engine_is_busy) {
    add(6);
    const std::string text(80'000, 'x');
    const auto hashes = prefix_hashes(text);
    auto value = query(20'000);
    value.prefix_hashes = hashes;
    const auto first = start(value);
    routes.on_first_token({value.request, 1}, now += 2s);
    value = query(20'000);
    value.prefix_hashes = hashes;
    EXPECT_EQ(start(value), first);
    routes.on_load(first,
                   {.pending_prefill_tokens = 300'000, .free_memory_tokens = engine_memory_tokens},
                   now);
    value = query(20'000);
    value.prefix_hashes = hashes;
    EXPECT_NE(start(value), first);
}

// The engine answers without errors, so the circuit breaker alone would never exclude it.
TEST_F(router_fixture, a_slow_engine_that_answers_is_ejected) {
    add(6);
    const auto slow = routes.find("salt-lake0");
    int late = 0;
    for (int index = 0; index < 120; ++index) {
        const auto value = query(1000);
        const auto engine = start(value);
        late += engine == slow && index >= 60 ? 1 : 0;
        routes.on_first_token({value.request, 1}, now += engine == slow ? 3s : 100ms);
        routes.on_ended({value.request, 1}, true, 10, now += 100ms);
    }
    EXPECT_LE(late, 3);
}

TEST_F(router_fixture, leaving_and_excluded_engines_get_no_requests) {
    add(2);
    const auto a = routes.find("salt-lake0");
    const auto b = routes.find("salt-lake1");
    routes.set_state(a, host_state::leaving, now);
    EXPECT_EQ(start(query(1000)), b);
    const std::array excluded{b};
    auto value = query(1000);
    value.excluded = excluded;
    EXPECT_EQ(refusal(value).code, error_code::no_capacity);
}

} // namespace
} // namespace magnolia
