/// Tests of the simulated engine: answers, cost model, cache, memory, orders and faults.
#include "engine_model.h"

#include <gtest/gtest.h>

#include <numeric>

namespace magnolia::fakes {
namespace {

using std::chrono::seconds;

const memory_owner owner{"entry-1", 7};

attempt_id attempt(std::uint64_t request, std::uint32_t number = 1) {
    return {{7, request}, number};
}

engine_start start(std::uint64_t request, std::size_t prompt_tokens, std::uint32_t answer) {
    engine_start command;
    command.id = attempt(request);
    command.model = "model";
    command.prompt = std::make_shared<std::string>(prompt_tokens * 4, char('a' + request % 26));
    command.max_generated_tokens = answer;
    command.time_left = seconds{3600};
    return command;
}

/// One engine with default settings and a virtual clock.
struct engine_model_test : testing::Test {
    part_directory parts;
    engine_model engine{{}, parts};
    time_point now{};

    /// Advances the clock and returns the engine's events.
    std::vector<engine_event> run(duration time) {
        now += time;
        return engine.advance(now);
    }

    /// Returns the answer text of an attempt in the events.
    static std::string text_of(const std::vector<engine_event>& events, attempt_id id) {
        std::string text;
        for (const auto& event : events) {
            const auto* tokens = std::get_if<engine_tokens>(&event);
            if (tokens != nullptr && tokens->id == id) {
                text += tokens->text;
            }
        }
        return text;
    }
};

TEST_F(engine_model_test, the_answer_follows_from_the_prompt) {
    const auto command = start(1, 1000, 50);
    ASSERT_TRUE(engine.submit(command, owner, now));
    const auto events = run(seconds{10});
    EXPECT_EQ(text_of(events, command.id), answer_text(*command.prompt, 0, 50));
    ASSERT_TRUE(std::holds_alternative<engine_finished>(events.back()));
    EXPECT_EQ(engine.current_load().free_memory_tokens, 450000U);
}

TEST_F(engine_model_test, a_resumed_attempt_continues_the_answer) {
    auto command = start(1, 1000, 50);
    command.resume_offset = 20;
    command.prefix_answer = answer_text(*command.prompt, 0, 20);
    ASSERT_TRUE(engine.submit(command, owner, now));
    EXPECT_EQ(text_of(run(seconds{10}), command.id), answer_text(*command.prompt, 20, 30));
}

/// Guards the oracle: an attempt resumed with wrong text must not produce the expected answer.
TEST_F(engine_model_test, a_wrong_prefix_gives_another_answer) {
    auto command = start(1, 1000, 50);
    command.resume_offset = 20;
    command.prefix_answer = answer_text(*command.prompt, 1, 20);
    ASSERT_TRUE(engine.submit(command, owner, now));
    EXPECT_NE(text_of(run(seconds{10}), command.id), answer_text(*command.prompt, 20, 30));
}

/// With attention cost, a million tokens take three times the linear prefill time; checked by the
/// end of the prefill between 2.9 and 3.1 times.
TEST_F(engine_model_test, prefill_of_a_million_tokens_costs_three_times_linear) {
    engine_model_settings settings;
    settings.memory_tokens = 1100000;
    engine_model large{settings, parts};
    ASSERT_TRUE(large.submit(start(1, 1000000, 1), owner, now));
    const auto linear = 1000000 / settings.costs.prefill_tokens_per_s;
    const auto before = large.advance(now + duration{static_cast<std::int64_t>(linear * 2.9e6)});
    EXPECT_EQ(before.size(), 1U);
    const auto after = large.advance(now + duration{static_cast<std::int64_t>(linear * 3.1e6)});
    EXPECT_FALSE(after.empty());
}

TEST_F(engine_model_test, a_cached_prefix_is_not_computed_again) {
    ASSERT_TRUE(engine.submit(start(1, 10240, 1), owner, now));
    run(seconds{10});
    auto again = start(1, 10240, 1);
    again.id = attempt(2);
    ASSERT_TRUE(engine.submit(again, owner, now));
    const auto events = run(seconds{10});
    EXPECT_EQ(std::get<engine_accepted>(events.front()).cached_tokens, 10239U);
}

TEST_F(engine_model_test, urgent_work_goes_first) {
    auto slow = start(1, 100000, 1);
    slow.urgency = urgency_level::background;
    auto fast = start(2, 1000, 1);
    fast.urgency = urgency_level::interactive;
    ASSERT_TRUE(engine.submit(slow, owner, now));
    ASSERT_TRUE(engine.submit(fast, owner, now));
    EXPECT_FALSE(text_of(run(seconds{1}), fast.id).empty());
}

TEST_F(engine_model_test, cancel_frees_the_memory) {
    const auto command = start(1, 100000, 100);
    ASSERT_TRUE(engine.submit(command, owner, now));
    run(seconds{1});
    EXPECT_EQ(engine.current_load().free_memory_tokens, 450000U - 100100U);
    ASSERT_TRUE(engine.submit(engine_cancel{command.id, {}}, owner, now));
    EXPECT_EQ(engine.current_load().free_memory_tokens, 450000U);
    EXPECT_TRUE(run(seconds{100}).empty());
}

TEST_F(engine_model_test, more_than_the_memory_is_refused_before_it_runs) {
    const auto accepted = engine.submit(start(1, 450001, 1), owner, now);
    ASSERT_FALSE(accepted);
    EXPECT_EQ(accepted.error().code, error_code::too_large);
    EXPECT_TRUE(engine.counts().executions.empty());
}

TEST_F(engine_model_test, a_reservation_expires_with_its_parts) {
    ASSERT_TRUE(
        engine.submit(engine_reserve{attempt(1), {}, "r", 400000, seconds{30}}, owner, now));
    ASSERT_TRUE(engine.submit(engine_prefill_part{attempt(1, 2),
                                                  {},
                                                  "r",
                                                  "model",
                                                  std::make_shared<std::string>(),
                                                  0,
                                                  1000,
                                                  {},
                                                  seconds{60}},
                              owner, now));
    const auto events = run(seconds{5});
    ASSERT_TRUE(std::holds_alternative<engine_part_ready>(events.back()));
    EXPECT_EQ(parts.size(), 1U);
    run(seconds{30});
    EXPECT_TRUE(parts.empty());
    EXPECT_EQ(engine.current_load().free_memory_tokens, 450000U);
}

TEST_F(engine_model_test, a_long_prompt_runs_over_a_group) {
    engine_model_settings settings;
    settings.self = engine_handle{1};
    engine_model second{settings, parts};
    engine_model_settings other;
    other.self = engine_handle{0};
    engine_model first{other, parts};
    auto command = start(1, 800000, 10);
    ASSERT_TRUE(
        first.submit(engine_reserve{attempt(1), {}, "a", 400000, seconds{900}}, owner, now));
    ASSERT_TRUE(
        second.submit(engine_reserve{attempt(1), {}, "b", 400100, seconds{900}}, owner, now));
    ASSERT_TRUE(first.submit(
        engine_prefill_part{
            attempt(1), {}, "a", "model", command.prompt, 0, 400000, {}, seconds{900}},
        owner, now));
    const auto ready = first.advance(now + seconds{200});
    command.parts = {std::get<engine_part_ready>(ready.back()).part};
    command.reservation = "b";
    ASSERT_TRUE(second.submit(command, owner, now + seconds{200}));
    EXPECT_EQ(text_of(second.advance(now + seconds{800}), command.id),
              answer_text(*command.prompt, 0, 10));
}

TEST_F(engine_model_test, an_old_fencing_token_is_refused_only_by_engines_that_check_it) {
    engine_order order{{}, order_kind::load_model, "m2", "1", {}, 5};
    ASSERT_TRUE(engine.apply_order(order, now));
    order.fencing = 4;
    EXPECT_EQ(engine.apply_order(order, now).error().code, error_code::fenced);
    engine_model_settings settings;
    settings.checks_fencing = false;
    engine_model unchecked{settings, parts};
    order.fencing = 5;
    ASSERT_TRUE(unchecked.apply_order(order, now));
    order.fencing = 4;
    EXPECT_TRUE(unchecked.apply_order(order, now));
    EXPECT_EQ(unchecked.counts().stale_orders_taken, 1U);
}

TEST_F(engine_model_test, a_loaded_model_serves_after_its_load_time) {
    ASSERT_TRUE(engine.apply_order({{}, order_kind::load_model, "m2", "1", {}, 1}, now));
    auto command = start(1, 100, 1);
    command.model = "m2";
    EXPECT_EQ(engine.submit(command, owner, now).error().code, error_code::model_unknown);
    run(seconds{6});
    EXPECT_TRUE(engine.submit(command, owner, now));
}

TEST_F(engine_model_test, a_draining_engine_finishes_and_refuses) {
    const auto command = start(1, 1000, 5);
    ASSERT_TRUE(engine.submit(command, owner, now));
    engine.drain();
    EXPECT_EQ(engine.submit(start(2, 10, 1), owner, now).error().code, error_code::backend_refused);
    EXPECT_EQ(text_of(run(seconds{5}), command.id).size(), 20U);
}

TEST_F(engine_model_test, a_pause_stops_the_answer_and_a_crash_loses_all) {
    const auto command = start(1, 1000, 100);
    ASSERT_TRUE(engine.submit(command, owner, now));
    run(seconds{1});
    engine.pause(now);
    EXPECT_TRUE(run(seconds{60}).empty());
    engine.resume(now);
    EXPECT_FALSE(run(seconds{1}).empty());
    EXPECT_EQ(engine.crash(now).size(), 1U);
    EXPECT_EQ(engine.submit(command, owner, now).error().code, error_code::connection);
    engine.restart(now);
    EXPECT_EQ(engine.current_load().free_memory_tokens, 450000U);
}

TEST_F(engine_model_test, cache_events_arrive_late_and_with_gaps) {
    engine_model_settings settings;
    settings.cache_event_loss = 0.5;
    engine_model lossy{settings, parts};
    ASSERT_TRUE(lossy.submit(start(1, 25600, 1), owner, now));
    const auto events = lossy.advance(now + seconds{10});
    ASSERT_TRUE(std::holds_alternative<engine_finished>(events.back()));
    const auto visible = lossy.cache_events(0, now + seconds{10});
    EXPECT_LT(visible.size(), 100U);
    EXPECT_GT(visible.back().sequence, visible.size());
}

} // namespace
} // namespace magnolia::fakes
