#include "engine_client.h"
#include "engine_server.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

using std::chrono::seconds;

constexpr double time_scale = 200;
/// Time limit after which a test that hangs fails.
constexpr seconds test_timeout{30};

fakes::engine_server_settings two_engines() {
    fakes::engine_server_settings settings;
    settings.time_scale = time_scale;
    settings.engines.resize(2);
    return settings;
}

engine_client_settings client_settings() {
    engine_client_settings settings;
    settings.owner = "entry-1";
    settings.load_interval = std::chrono::milliseconds{20};
    settings.inactivity_timeout = std::chrono::milliseconds{1500};
    return settings;
}

/// Client with two simulated engines over loopback, 200 times faster than real time.
struct engine_client_test : testing::Test {
    boost::asio::io_context context;
    fakes::engine_server server{context, two_engines()};
    engine_client client{context, client_settings()};
    std::vector<engine_event> events;
    std::vector<engine_load_report> reports;
    bool sink_accepts = true;

    engine_client_test() {
        EXPECT_TRUE(server.listen());
        for (std::uint32_t index = 0; index < 2; ++index) {
            client.put_engine(engine_handle{index}, http_engine{{"127.0.0.1", server.port(index)}});
        }
        client.set_event_sink([this](engine_event& event) {
            if (sink_accepts) {
                events.push_back(std::move(event));
            }
            return sink_accepts;
        });
        client.set_report_sink(
            [this](const engine_load_report& report) { reports.push_back(report); });
    }

    /// Runs the client and the simulated engines until the condition holds. Returns false on a
    /// timeout.
    bool run_until(const std::function<bool()>& holds) {
        const auto end = std::chrono::steady_clock::now() + test_timeout;
        while (!holds() && std::chrono::steady_clock::now() < end) {
            context.run_one_for(std::chrono::milliseconds{100});
        }
        return holds();
    }

    template <class Event>
    [[nodiscard]] const Event* find() const {
        for (const auto& event : events) {
            if (const auto* found = std::get_if<Event>(&event)) {
                return found;
            }
        }
        return nullptr;
    }

    template <class Event>
    bool run_until_event() {
        return run_until([this] { return find<Event>() != nullptr; });
    }

    [[nodiscard]] std::string text() const {
        std::string all;
        for (const auto& event : events) {
            if (const auto* tokens = std::get_if<engine_tokens>(&event)) {
                all += tokens->text;
            }
        }
        return all;
    }

    static engine_start start(std::size_t prompt_bytes = 4000, std::uint32_t answer = 100) {
        engine_start command;
        command.id = {{7, 1}, 1};
        command.engine = engine_handle{0};
        command.model = "model";
        command.prompt = std::make_shared<std::string>(prompt_bytes, 'p');
        command.max_generated_tokens = answer;
        command.time_left = seconds{20};
        return command;
    }
};

TEST_F(engine_client_test, streams_the_complete_answer) {
    const auto command = start();
    client.submit(command);
    ASSERT_TRUE(run_until_event<engine_finished>());
    EXPECT_EQ(text(), fakes::answer_text(*command.prompt, 0, 100));
    EXPECT_EQ(find<engine_accepted>()->prompt_tokens, 1000U);
    EXPECT_EQ(find<engine_finished>()->generated_tokens, 100U);
}

TEST_F(engine_client_test, resumes_after_a_prefix_of_the_answer) {
    auto command = start();
    command.resume_offset = 30;
    command.prefix_answer = fakes::answer_text(*command.prompt, 0, 30);
    client.submit(command);
    ASSERT_TRUE(run_until_event<engine_finished>());
    EXPECT_EQ(text(), fakes::answer_text(*command.prompt, 30, 70));
}

TEST_F(engine_client_test, a_prompt_larger_than_memory_is_reported_as_not_run) {
    client.submit(start(4000000));
    ASSERT_TRUE(run_until_event<engine_failed>());
    EXPECT_EQ(find<engine_failed>()->failure.code, error_code::too_large);
    EXPECT_EQ(find<engine_failed>()->certainty, run_certainty::not_run);
    EXPECT_TRUE(server.model(0).counts().executions.empty());
}

TEST_F(engine_client_test, an_unreachable_engine_is_reported_as_not_run) {
    ASSERT_TRUE(server.apply_fault(0, "crash", 1));
    client.submit(start());
    ASSERT_TRUE(run_until_event<engine_failed>());
    EXPECT_EQ(find<engine_failed>()->certainty, run_certainty::not_run);
}

TEST_F(engine_client_test, an_unknown_engine_is_reported_as_not_run) {
    auto command = start();
    command.engine = engine_handle{9};
    client.submit(command);
    EXPECT_TRUE(events.empty());
    ASSERT_TRUE(run_until_event<engine_failed>());
    EXPECT_EQ(find<engine_failed>()->certainty, run_certainty::not_run);
}

TEST_F(engine_client_test, a_draining_engine_is_reported_as_leaving) {
    ASSERT_TRUE(server.apply_fault(0, "drain", 1));
    client.submit(start());
    ASSERT_TRUE(run_until_event<engine_failed>());
    EXPECT_TRUE(find<engine_failed>()->is_leaving);
    EXPECT_EQ(find<engine_failed>()->certainty, run_certainty::not_run);
}

TEST_F(engine_client_test, a_refusal_without_proof_is_reported_as_unknown) {
    ASSERT_TRUE(server.apply_fault(0, "vague_refusals", 1));
    client.submit(start());
    ASSERT_TRUE(run_until_event<engine_failed>());
    EXPECT_EQ(find<engine_failed>()->certainty, run_certainty::unknown);
}

// The engine received the attempt, but its answer never arrived: it may still hold memory, so the
// client has to cancel it.
TEST_F(engine_client_test, a_lost_answer_is_reported_as_unknown_and_its_memory_freed) {
    ASSERT_TRUE(server.apply_fault(0, "lost_answers", 1));
    client.submit(start());
    ASSERT_TRUE(run_until_event<engine_failed>());
    EXPECT_EQ(find<engine_failed>()->certainty, run_certainty::unknown);
    EXPECT_TRUE(
        run_until([this] { return server.model(0).current_load().free_memory_tokens == 450000U; }));
}

TEST_F(engine_client_test, a_stream_broken_after_tokens_is_reported_as_ran) {
    ASSERT_TRUE(server.apply_fault(0, "broken_streams", 1));
    client.submit(start());
    ASSERT_TRUE(run_until_event<engine_failed>());
    EXPECT_EQ(find<engine_failed>()->certainty, run_certainty::ran);
    EXPECT_FALSE(text().empty());
}

// Text of another request must never reach this caller.
TEST_F(engine_client_test, a_line_of_another_attempt_ends_the_attempt) {
    ASSERT_TRUE(server.apply_fault(0, "crossed_lines", 1));
    client.submit(start());
    ASSERT_TRUE(run_until_event<engine_failed>());
    EXPECT_EQ(find<engine_failed>()->failure.code, error_code::frame_invalid);
    EXPECT_EQ(client.active_streams(), 0U);
}

// Tokens after a lost line must not be joined to the text before it.
TEST_F(engine_client_test, an_offset_gap_ends_the_attempt_after_a_correct_prefix) {
    ASSERT_TRUE(server.apply_fault(0, "missing_lines", 1));
    client.submit(start());
    ASSERT_TRUE(run_until_event<engine_failed>());
    EXPECT_EQ(find<engine_failed>()->certainty, run_certainty::ran);
    EXPECT_EQ(text(), fakes::answer_text(std::string(4000, 'p'), 0,
                                         static_cast<std::uint32_t>(text().size() / 4)));
}

TEST_F(engine_client_test, repeated_lines_are_dropped) {
    ASSERT_TRUE(server.apply_fault(0, "repeated_lines", 50));
    client.submit(start());
    ASSERT_TRUE(run_until_event<engine_finished>());
    EXPECT_EQ(text(), fakes::answer_text(std::string(4000, 'p'), 0, 100));
}

TEST_F(engine_client_test, a_cancelled_attempt_gets_no_event_and_frees_its_memory) {
    const auto command = start(400000, 100000);
    client.submit(command);
    ASSERT_TRUE(run_until([this] { return server.model(0).current_load().running_requests == 1; }));
    client.submit(engine_cancel{command.id, command.engine});
    const auto event_count = events.size();
    EXPECT_TRUE(run_until([this] {
        return client.active_streams() == 0 &&
               server.model(0).current_load().free_memory_tokens == 450000U;
    }));
    EXPECT_EQ(events.size(), event_count);
}

TEST_F(engine_client_test, an_attempt_on_a_paused_engine_times_out) {
    ASSERT_TRUE(server.apply_fault(0, "pause", 1));
    client.submit(start());
    ASSERT_TRUE(run_until_event<engine_failed>());
    EXPECT_EQ(find<engine_failed>()->certainty, run_certainty::unknown);
}

// The paused engine misses the first cancel; the retried one has to free the memory.
TEST_F(engine_client_test, a_resumed_engine_keeps_no_memory_of_a_timed_out_attempt) {
    ASSERT_TRUE(server.apply_fault(0, "pause", 1));
    client.submit(start());
    ASSERT_TRUE(run_until_event<engine_failed>());
    ASSERT_TRUE(server.apply_fault(0, "resume", 1));
    EXPECT_TRUE(
        run_until([this] { return server.model(0).current_load().free_memory_tokens == 450000U; }));
    EXPECT_TRUE(text().empty());
}

// While the decision thread is congested, events wait and streams are paused; nothing may be lost
// or reordered.
TEST_F(engine_client_test, a_full_sink_pauses_the_streams_without_loss) {
    sink_accepts = false;
    client.submit(start());
    ASSERT_TRUE(run_until([this] { return server.model(0).counts().tokens_delivered == 100; }));
    EXPECT_TRUE(events.empty());
    sink_accepts = true;
    ASSERT_TRUE(run_until_event<engine_finished>());
    EXPECT_EQ(text(), fakes::answer_text(std::string(4000, 'p'), 0, 100));
}

TEST_F(engine_client_test, a_group_reserves_prefills_generates_and_releases) {
    auto command = start(2400000, 10);
    client.submit(engine_reserve{command.id, engine_handle{0}, "a", 300000, seconds{30}});
    client.submit(engine_reserve{command.id, engine_handle{1}, "b", 310000, seconds{30}});
    ASSERT_TRUE(run_until([this] { return events.size() == 2; }));
    client.submit(engine_prefill_part{
        command.id, engine_handle{0}, "a", "model", command.prompt, 0, 300000, {}, seconds{30}});
    ASSERT_TRUE(run_until_event<engine_part_ready>());
    command.parts = {find<engine_part_ready>()->part};
    command.engine = engine_handle{1};
    command.reservation = "b";
    client.submit(command);
    ASSERT_TRUE(run_until_event<engine_finished>());
    EXPECT_EQ(text(), fakes::answer_text(*command.prompt, 0, 10));
    client.submit(engine_release{command.id, engine_handle{0}, "a"});
    client.submit(engine_release{command.id, engine_handle{1}, "b"});
    ASSERT_TRUE(run_until_event<engine_released>());
    EXPECT_TRUE(run_until([this] {
        return server.model(0).current_load().free_memory_tokens == 450000U &&
               server.model(1).current_load().free_memory_tokens == 450000U;
    }));
}

TEST_F(engine_client_test, loads_are_reported_and_a_dead_engine_yields_an_error) {
    ASSERT_TRUE(run_until([this] { return reports.size() >= 4; }));
    EXPECT_TRUE(reports.front().load);
    ASSERT_TRUE(server.apply_fault(1, "crash", 1));
    EXPECT_TRUE(run_until([this] {
        return std::ranges::any_of(reports, [](const auto& report) { return !report.load; });
    }));
}

TEST_F(engine_client_test, orders_status_and_reservations_round_trip) {
    std::optional<result<void>> ordered;
    std::optional<result<engine_status>> status;
    std::optional<result<std::vector<held_memory>>> held;
    client.order({engine_handle{0}, order_kind::set_role, {}, {}, engine_role::long_prompts, 4},
                 [&](result<void> answer) { ordered = answer; });
    client.submit(engine_reserve{{{7, 1}, 1}, engine_handle{0}, "a", 300, seconds{30}});
    ASSERT_TRUE(run_until([&] { return ordered && events.size() == 1; }));
    EXPECT_TRUE(*ordered);
    client.status(engine_handle{0}, [&](auto answer) { status = answer; });
    client.memory(engine_handle{0}, [&](auto answer) { held = answer; });
    ASSERT_TRUE(run_until([&] { return status && held; }));
    ASSERT_TRUE(*status && *held);
    EXPECT_EQ((*status)->role, engine_role::long_prompts);
    EXPECT_EQ((*status)->fencing, 4U);
    ASSERT_EQ((*held)->size(), 1U);
    EXPECT_EQ((*held)->front().owner, (memory_owner{"entry-1", 7}));
    client.order({engine_handle{0}, order_kind::drain, {}, {}, {}, 3},
                 [&](result<void> answer) { ordered = answer; });
    ASSERT_TRUE(run_until([&] { return !*ordered; }));
    EXPECT_EQ(ordered->error().code, error_code::fenced);
}

} // namespace
} // namespace magnolia
