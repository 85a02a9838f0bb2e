#include "engine_forecast.h"
#include "engine_partition.h"
#include "pass_engine.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

/// Time in ms since the start of the test.
time_point at(double ms) {
    return time_point{
        std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{ms})};
}

double ms_of(time_point when) {
    return std::chrono::duration<double, std::milli>{when.time_since_epoch()}.count();
}

engine_job make_job(std::uint64_t number, std::uint32_t prompt, std::size_t engine_count = 1) {
    engine_job job;
    job.id = {1, number};
    job.prefill = prefill_share::of(prompt, engine_count);
    job.is_helper = engine_count > 1;
    job.memory_tokens = prompt;
    job.context_tokens = prompt;
    job.answer_tokens = 1300;
    job.target_latency = milliseconds{300};
    job.target_pause = milliseconds{250};
    return job;
}

/// Adds a stream whose first event is observed at `ms`.
void add_stream(engine_forecast& engine, std::uint64_t number, double ms) {
    engine.add(make_job(number, 1000), at(ms - 50));
    engine.on_event({1, number}, at(ms));
}

TEST(engine_forecast, idle_prefill_times_match_measurements) {
    // Prompt tokens, number of engines, measured time to the first event minus 3 ms of network
    // time.
    struct measured {
        std::uint32_t tokens;
        std::size_t engine_count;
        double ms;
    };
    for (const auto& [tokens, engine_count, ms] :
         {measured{2355, 1, 12}, measured{28656, 1, 209}, measured{40361, 1, 328},
          measured{33809, 2, 130}, measured{105627, 4, 333}, measured{158177, 6, 428}}) {
        EXPECT_NEAR(engine_forecast::prefill_ms(production_engine_profile(),
                                                prefill_share::of(tokens, engine_count)),
                    ms, 0.03 * ms + 3)
            << tokens;
    }
}

TEST(engine_forecast, the_newest_share_is_prefilled_first) {
    engine_forecast engine{production_engine_profile()};
    engine.add(make_job(1, 436'000, 6), at(0));
    const auto small_split = engine.simulate_job(make_job(2, 28'000, 2), at(100));
    EXPECT_LT(ms_of(small_split.prefill_end), 300);
    engine.add(make_job(2, 28'000, 2), at(100));
    engine.add(make_job(3, 28'000), at(100));
    const auto unsplit = engine.simulate_job(make_job(4, 1000), at(200));
    EXPECT_GT(ms_of(unsplit.prefill_end), 2000); // Unsplit prompts wait for all shares.
}

TEST(engine_forecast, a_long_prefill_delays_other_streams) {
    engine_forecast engine{production_engine_profile()};
    add_stream(engine, 1, 0);
    add_stream(engine, 2, 0);
    EXPECT_NEAR(engine.simulate_job(make_job(9, 5000), at(10)).imposed_loss, 0, 0.01);
    EXPECT_GT(engine.simulate_job(make_job(9, 133'000), at(10)).imposed_loss, 1.0);
    engine.mark_late({1, 1});
    engine.mark_late({1, 2});
    EXPECT_NEAR(engine.simulate_job(make_job(9, 133'000), at(10)).imposed_loss, 0, 0.01);
}

TEST(engine_forecast, the_predicted_pause_counts_the_shares_that_are_still_to_be_prefilled) {
    engine_forecast engine{production_engine_profile()};
    add_stream(engine, 1, 0);
    const auto alone = engine.predict_pause({1, 1}, at(0), at(10));
    EXPECT_GT(alone, milliseconds{40});
    EXPECT_LT(alone, milliseconds{50});
    engine.add(make_job(2, 436'000, 6), at(20)); // Takes 2.5 s on this engine.
    EXPECT_GT(engine.predict_pause({1, 1}, at(0), at(30)), milliseconds{1000});
    EXPECT_EQ(engine.predict_pause({1, 99}, at(0), at(30)), duration{0});
}

TEST(engine_forecast, a_split_prompt_about_to_decode_is_harmed_by_further_shares) {
    engine_forecast engine{production_engine_profile()};
    auto split = make_job(1, 28'000, 2);
    split.is_helper = false;
    split.has_helpers = true;
    split.target_latency = milliseconds{4000};
    engine.add(split, at(0)); // Its own share takes about 110 ms; the other one is not over.
    EXPECT_GT(engine.simulate_job(make_job(2, 436'000, 6), at(300)).imposed_loss, 0.5);
}

TEST(engine_forecast, an_event_during_a_pass_does_not_complete_its_prefill) {
    engine_forecast engine{production_engine_profile()};
    add_stream(engine, 1, 0);
    engine.add(make_job(2, 436'000, 6), at(20)); // Takes 2.5 s on this engine.
    engine.on_event({1, 1}, at(200));
    EXPECT_GT(ms_of(engine.simulate_job(make_job(3, 1000), at(210)).prefill_end), 1500);
}

TEST(engine_forecast, a_request_beyond_the_slots_waits_for_a_completion) {
    engine_forecast engine{production_engine_profile()};
    for (std::uint64_t number = 1; number <= 16; ++number) {
        add_stream(engine, number, 0);
    }
    EXPECT_GT(engine.slot_free_at(at(10)), at(10));
    const auto effect = engine.simulate_job(make_job(99, 1000), at(10));
    EXPECT_GT(ms_of(effect.prefill_end), 1000);
    EXPECT_LT(ms_of(effect.prefill_end), 4000); // 31 passes of about 60 ms.
    engine.remove({1, 1}, at(20));
    EXPECT_EQ(engine.slot_free_at(at(20)), at(20));
}

TEST(engine_forecast, jobs_of_a_departed_gateway_are_removed) {
    engine_forecast engine{production_engine_profile()};
    engine.add(make_job(1, 100'000), at(0));
    EXPECT_EQ(engine.free_memory(), 132'000);
    engine.remove_origin(1);
    EXPECT_EQ(engine.free_memory(), 232'000);
    EXPECT_EQ(engine.request_count(), 0U);
}

TEST(engine_partition, reserved_engines_follow_the_recent_load) {
    const auto profile = production_engine_profile();
    engine_partition partition;
    EXPECT_EQ(partition.reserved_engines(16, at(0)), 0U);
    for (int index = 0; index < 50; ++index) {
        partition.record_job(profile, make_job(1, 5000), at(index * 20));
    }
    EXPECT_EQ(partition.reserved_engines(16, at(1000)), 0U);
    for (int index = 0; index < 8; ++index) {
        partition.record_job(profile, make_job(1, 133'000), at(1000 + index * 100));
    }
    const auto reserved = partition.reserved_engines(16, at(2000));
    EXPECT_GE(reserved, 6U);
    EXPECT_LT(reserved, 16U);
    for (int index = 0; index < 200; ++index) {
        partition.record_job(profile, make_job(1, 5000), at(2000 + index * 40));
    }
    EXPECT_LE(partition.reserved_engines(16, at(10000)), 1U);
}

// Guards against one giant prompt that reserves nearly all engines and crowds short ones.
TEST(engine_partition, one_giant_prompt_does_not_displace_short_ones) {
    const auto profile = production_engine_profile();
    engine_partition partition;
    for (int index = 0; index < 100; ++index) {
        partition.record_job(profile, make_job(1, 5000), at(index * 10));
    }
    for (std::uint64_t share = 0; share < 16; ++share) {
        partition.record_job(profile, make_job(share, 600'000, 16), at(1000));
    }
    EXPECT_LE(partition.reserved_engines(16, at(1000)), 6U);
}

TEST(engine_partition, a_prefill_is_long_if_it_delays_short_streams) {
    EXPECT_FALSE(
        engine_partition::is_long(production_engine_profile(), prefill_share::of(23'800, 1)));
    EXPECT_TRUE(
        engine_partition::is_long(production_engine_profile(), prefill_share::of(45'000, 1)));
}

TEST(engine_forecast, a_prompt_of_unknown_length_is_prefilled_in_one_pass) {
    engine_forecast forecast{engine_profile{}};
    engine_job job;
    job.prefill = prefill_share::of(0, 1);
    EXPECT_LT(forecast.simulate_job(job, time_point{}).prefill_end - time_point{},
              milliseconds{10});
}

TEST(engine_forecast, delay_within_the_target_has_a_cost) {
    // Otherwise each later share would delay the earlier one a little until it is late.
    engine_forecast forecast{engine_profile{}};
    engine_job earlier;
    earlier.id = {1, 1};
    earlier.prefill = prefill_share::of(100'000, 2);
    earlier.is_helper = true;
    earlier.target_latency = milliseconds{60'000};
    earlier.value = 10;
    forecast.add(earlier, time_point{});
    auto later = earlier;
    later.id = {1, 2};
    EXPECT_GT(forecast.simulate_job(later, time_point{}).imposed_loss, 0.01);
    forecast.mark_late(earlier.id);
    EXPECT_EQ(forecast.simulate_job(later, time_point{}).imposed_loss, 0);
}

} // namespace
} // namespace magnolia
