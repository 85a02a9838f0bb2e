#include "placement.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds{100}};

engine_profile sample_profile() {
    engine_profile profile;
    profile.memory_tokens = 232'000;
    profile.steps_per_pass = 43;
    profile.step_ms = 1.02;
    profile.prefill_tokens_per_ms = 206;
    profile.prefill_ms_per_million_pairs = 0.138;
    return profile;
}

/// Engine forecasts with pause_aware_placement.
class engine_fleet {
public:
    explicit engine_fleet(std::size_t count) : engines_(count, engine_forecast{sample_profile()}) {}

    engine_forecast& operator[](std::size_t index) { return engines_[index]; }

    result<placement_choice> choose(const placement_query& query, std::size_t reserved = 0) {
        std::vector<placement_candidate> candidates;
        for (std::uint32_t index = 0; index < engines_.size(); ++index) {
            candidates.push_back({.index = index,
                                  .slots = 16,
                                  .is_reserved_for_long = index < reserved,
                                  .forecast = &engines_[index]});
        }
        return pause_aware_placement{}.choose(query, candidates, start, random_);
    }

private:
    std::vector<engine_forecast> engines_;
    std::mt19937_64 random_{1};
};

placement_query make_query(std::uint32_t prompt, milliseconds latency, milliseconds pause) {
    placement_query query;
    query.demand.prompt_tokens = prompt;
    query.demand.answer_tokens = 1000;
    query.demand.target_latency = latency;
    query.demand.target_pause = pause;
    query.demand.value = 1 + prompt / 10'000.0;
    query.time_left = milliseconds{10'000};
    return query;
}

placement_query short_query() {
    return make_query(5000, milliseconds{300}, milliseconds{250});
}

placement_query long_query(std::uint32_t prompt = 133'000) {
    return make_query(prompt, milliseconds{2500}, milliseconds{1000});
}

engine_job make_stream(std::uint64_t number) {
    engine_job job;
    job.id = {2, number};
    job.prefill = prefill_share::of(1000, 1);
    job.memory_tokens = 2000;
    job.answer_tokens = 1300;
    job.target_latency = milliseconds{300};
    job.target_pause = milliseconds{250};
    return job;
}

TEST(placement, a_short_prompt_avoids_an_engine_with_a_long_prefill) {
    engine_fleet fleet{2};
    auto long_job = make_stream(1);
    long_job.prefill = prefill_share::of(133'000, 1);
    fleet[0].add(long_job, start);
    const auto choice = fleet.choose(short_query());
    ASSERT_TRUE(choice);
    ASSERT_EQ(choice->members.size(), 1U);
    EXPECT_EQ(choice->members.front().index, 1U);
    EXPECT_GT(choice->net_value, 0);
}

TEST(placement, a_long_prompt_avoids_engines_with_streams) {
    engine_fleet fleet{4};
    for (std::uint64_t number = 0; number < 4; ++number) {
        fleet[0].add(make_stream(10 + number), start - milliseconds{200});
        fleet[1].add(make_stream(20 + number), start - milliseconds{200});
    }
    const auto choice = fleet.choose(long_query());
    ASSERT_TRUE(choice);
    for (const auto& member : choice->members) {
        EXPECT_GE(member.index, 2U);
    }
}

TEST(placement, reserved_engines_are_used_for_long_prompts) {
    engine_fleet fleet{4};
    EXPECT_GE(fleet.choose(short_query(), 2)->members.front().index, 2U);
    EXPECT_LT(fleet.choose(long_query(), 2)->members.front().index, 2U);
}

TEST(placement, a_prompt_larger_than_one_memory_is_split_with_reservations) {
    engine_fleet fleet{6};
    const auto choice = fleet.choose(long_query(400'000));
    ASSERT_TRUE(choice);
    std::uint64_t reserved = 0;
    for (const auto& member : choice->members) {
        reserved += member.reserved_tokens;
        EXPECT_LE(member.reserved_tokens, 232'000U);
    }
    EXPECT_EQ(reserved, 401'000U);
    EXPECT_GT(choice->members.front().reserved_tokens, 0U);
    EXPECT_FALSE(engine_fleet{1}.choose(long_query(400'000)));
}

TEST(placement, an_engine_without_free_memory_is_not_chosen) {
    engine_fleet fleet{1};
    auto job = make_stream(1);
    job.memory_tokens = 230'000;
    fleet[0].add(job, start);
    const auto choice = fleet.choose(short_query());
    ASSERT_FALSE(choice);
    EXPECT_EQ(choice.error().code, error_code::no_capacity);
    EXPECT_GT(choice.error().retry_after.count(), 0);
}

TEST(placement, net_value_is_negative_if_others_lose_more_than_is_gained) {
    engine_fleet fleet{1};
    for (std::uint64_t number = 0; number < 14; ++number) {
        auto job = make_stream(number);
        job.value = 2;
        fleet[0].add(job, start - milliseconds{300});
    }
    EXPECT_LT(fleet.choose(long_query(60'000))->net_value, 0);
}

TEST(placement, round_robin_and_least_outstanding) {
    std::vector<placement_candidate> candidates{
        {.index = 0, .is_own_zone = false, .slots = 6},
        {.index = 1, .is_own_zone = true, .open_calls = 1, .slots = 6},
        {.index = 2, .is_own_zone = true, .open_calls = 5, .slots = 6}};
    std::mt19937_64 random{1};
    least_outstanding_placement least;
    EXPECT_EQ(least.choose({}, candidates, start, random)->members.front().index, 1U);
    candidates[1].failure_rate = 0.9;
    EXPECT_EQ(least.choose({}, candidates, start, random)->members.front().index, 0U);
    round_robin_placement round_robin;
    for (const std::uint32_t expected : {0U, 1U, 2U, 0U}) {
        EXPECT_EQ(round_robin.choose({}, candidates, start, random)->members.front().index,
                  expected);
    }
    EXPECT_FALSE(round_robin.choose({}, {}, start, random));
    EXPECT_FALSE(least.choose({}, {}, start, random));
}

// Guards against late requests that occupy the last slots and make later requests late as well.
TEST(placement, the_last_slots_cost_more_than_a_late_request_gains) {
    engine_fleet fleet{2};
    for (std::uint64_t number = 0; number < 14; ++number) {
        fleet[0].add(make_stream(10 + number), start);
        fleet[1].add(make_stream(30 + number), start);
    }
    auto query = short_query();
    const auto on_time = fleet.choose(query);
    ASSERT_TRUE(on_time);
    EXPECT_GT(on_time->net_value, 0);
    fleet[0].add(make_stream(50), start);
    fleet[0].add(make_stream(51), start);
    fleet[1].add(make_stream(52), start);
    query.demand.is_late = true;
    query.demand.target_latency = milliseconds{-100};
    const auto late = fleet.choose(query);
    ASSERT_TRUE(late);
    EXPECT_LT(late->net_value, 0);
}

// Guards against choosing engines by free memory alone, which would delay the streams there.
TEST(placement, a_split_with_reservations_avoids_engines_with_streams) {
    engine_fleet fleet{8};
    for (std::size_t engine = 0; engine < 4; ++engine) {
        for (std::uint64_t number = 0; number < 6; ++number) {
            fleet[engine].add(make_stream(100 * engine + number), start - milliseconds{200});
        }
    }
    for (std::size_t engine = 4; engine < 8; ++engine) {
        auto older = make_stream(1000 + engine);
        older.memory_tokens = 60'000; // The engines with streams have more free memory.
        fleet[engine].add(older, start - milliseconds{200});
    }
    const auto choice =
        fleet.choose(make_query(300'000, milliseconds{9000}, milliseconds{1000}), 4);
    ASSERT_TRUE(choice);
    std::uint64_t reserved = 0;
    for (const auto& member : choice->members) {
        EXPECT_GE(member.index, 4U);
        reserved += member.reserved_tokens;
    }
    EXPECT_EQ(reserved, 301'000U);
}

TEST(placement, a_prompt_that_fits_no_free_memory_is_split_with_reservations) {
    engine_fleet fleet{6};
    for (std::size_t engine = 0; engine < 6; ++engine) {
        auto older = make_stream(engine + 1);
        older.memory_tokens = 60'000;
        fleet[engine].add(older, start - milliseconds{200});
    }
    const auto choice = fleet.choose(long_query(200'000));
    ASSERT_TRUE(choice);
    std::uint64_t reserved = 0;
    for (const auto& member : choice->members) {
        reserved += member.reserved_tokens;
    }
    EXPECT_EQ(reserved, 201'000U);
}

} // namespace
} // namespace magnolia
