#include "engine_group.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t engine_memory_tokens = 1000;

/// An engine: its reservations by name in tokens, and the attempts in progress.
struct test_engine {
    bool is_alive = true;
    std::map<std::string, std::uint32_t> held;
    std::map<attempt_id, engine_command> working;
};

/// Simulated engines with limited memory that can die, and messages that are delayed and reordered.
class world {
public:
    world(std::size_t engines, std::uint64_t seed) : engines_(engines), random_{seed} {}

    /// Starts a group with `share` tokens on each member.
    engine_group& add(std::uint32_t sequence, std::span<const std::uint32_t> members,
                      std::span<const std::uint32_t> spares, duration lifetime,
                      std::uint32_t share = 600) {
        group_plan plan;
        std::uint32_t first = 0;
        for (const auto index : members) {
            plan.members.push_back({engine_handle{index}, first, share});
            plan.names.push_back(name(index));
            first += share;
        }
        for (const auto index : spares) {
            plan.spares.push_back({engine_handle{index}, name(index)});
        }
        group_request request{.request = {1, sequence},
                              .model = "m",
                              .adapter = {},
                              .prompt = std::make_shared<std::string>("prompt"),
                              .max_generated_tokens = 10,
                              .received_at = now,
                              .deadline = now + lifetime};
        auto& group = groups.try_emplace(sequence, request, plan, sequence).first->second;
        send(group.begin(now));
        return group;
    }

    void send(const std::vector<engine_command>& commands) {
        for (const auto& command : commands) {
            schedule([this, command] { deliver(command); });
        }
    }

    void kill(std::uint32_t index) {
        auto& engine = engines_[index];
        engine.is_alive = false;
        engine.held.clear();
        for (const auto& [id, command] : std::exchange(engine.working, {})) {
            send_event(engine_failed{.id = id,
                                     .engine = engine_handle{index},
                                     .reservation = {},
                                     .failure = {error_code::backend_lost, {}, {}}});
        }
    }

    /// Runs all events due before `end`.
    void run_until(time_point end) {
        while (now < end) {
            auto due = queue_.empty() ? time_point::max() : queue_.top().due;
            for (const auto& [sequence, group] : groups) {
                due = std::min(due, group.next_due());
            }
            if (due >= end) {
                return;
            }
            now = std::max(now, due);
            while (!queue_.empty() && queue_.top().due <= now) {
                const auto next = queue_.top();
                queue_.pop();
                next.call();
            }
            for (auto& [sequence, group] : groups) {
                if (group.next_due() <= now) {
                    send(group.poll(now));
                }
            }
        }
    }

    [[nodiscard]] std::size_t held() const {
        std::size_t sum = 0;
        for (const auto& engine : engines_) {
            sum += engine.held.size();
        }
        return sum;
    }

    time_point now{1h};
    std::map<std::uint64_t, engine_group> groups;
    /// Called before a command is executed, with its sequence number and engine.
    std::function<void(std::size_t, std::uint32_t)> on_command = [](auto, auto) {};
    /// Requests in the order in which they finished.
    std::vector<std::uint64_t> finished;

private:
    struct scheduled_call {
        time_point due{};
        std::uint64_t order = 0;
        std::function<void()> call;
        bool operator<(const scheduled_call& other) const {
            return std::tie(due, order) > std::tie(other.due, other.order);
        }
    };

    static std::string name(std::uint32_t index) { return "engine" + std::to_string(index); }

    /// Schedules a call after `least` plus up to 20 ms.
    void schedule(std::function<void()> call, duration least = 1ms) {
        const duration delay = least + duration{static_cast<duration::rep>(random_() % 20'000)};
        queue_.push({now + delay, order_++, std::move(call)});
    }

    void send_event(const engine_event& event, duration least = 1ms) {
        const auto id = std::visit([](const auto& value) { return value.id; }, event);
        schedule(
            [this, event, id] {
                auto& group = groups.at(id.request.sequence);
                const auto before = group.phase();
                send(group.on_event(event, now));
                if (before != group.phase() && group.phase() == group_phase::finished) {
                    finished.push_back(id.request.sequence);
                }
            },
            least);
    }

    void deliver(const engine_command& command) {
        const auto index =
            std::visit([](const auto& value) { return value.engine.value; }, command);
        on_command(delivered_++, index);
        auto& engine = engines_[index];
        if (!engine.is_alive) {
            const auto id = std::visit([](const auto& value) { return value.id; }, command);
            send_event(engine_failed{.id = id,
                                     .engine = engine_handle{index},
                                     .reservation = {},
                                     .failure = {error_code::connection, {}, {}}});
            return;
        }
        std::visit([&](const auto& value) { execute(engine, value); }, command);
    }

    void send_refusal(const attempt_id& id, engine_handle engine, error_code code) {
        send_event(engine_failed{.id = id,
                                 .engine = engine,
                                 .reservation = {},
                                 .failure = {code, {}, {}},
                                 .certainty = run_certainty::not_run});
    }

    void execute(test_engine& engine, const engine_reserve& value) {
        std::uint32_t used = 0;
        for (const auto& [reservation, tokens] : engine.held) {
            used += tokens;
        }
        if (!engine.held.contains(value.reservation) &&
            used + value.tokens > engine_memory_tokens) {
            send_refusal(value.id, value.engine, error_code::no_capacity);
            return;
        }
        engine.held[value.reservation] = value.tokens;
        send_event(engine_reserved{value.id, value.engine, value.reservation});
    }

    void execute(test_engine& engine, const engine_release& value) {
        engine.held.erase(value.reservation);
        send_event(engine_released{value.id, value.engine, value.reservation});
    }

    void execute(test_engine& engine, const engine_prefill_part& value) {
        if (!engine.held.contains(value.reservation)) {
            send_refusal(value.id, value.engine, error_code::no_capacity);
            return;
        }
        const kv_part part{value.engine,
                           value.reservation + "/" + std::to_string(value.first_token),
                           value.first_token, value.token_count};
        work(engine, value.id, value, engine_part_ready{value.id, part});
    }

    void execute(test_engine& engine, const engine_start& value) {
        if (!engine.held.contains(value.reservation)) {
            send_refusal(value.id, value.engine, error_code::no_capacity);
            return;
        }
        send_event(engine_tokens{value.id, value.resume_offset, 1, "x"});
        work(engine, value.id, value, engine_finished{value.id, 0, value.max_generated_tokens});
    }

    void work(test_engine& engine, const attempt_id& id, const engine_command& command,
              const engine_event& result) {
        engine.working.emplace(id, command);
        schedule(
            [this, &engine, id, result] {
                if (engine.working.erase(id) > 0) {
                    send_event(result);
                }
            },
            2s);
    }

    void execute(test_engine& engine, const engine_cancel& value) {
        engine.working.erase(value.id);
    }

    std::vector<test_engine> engines_;
    std::mt19937_64 random_;
    std::priority_queue<scheduled_call> queue_;
    std::uint64_t order_ = 0;
    std::size_t delivered_ = 0;
};

constexpr std::array<std::uint32_t, 3> member_indices{2, 0, 1};
constexpr std::array<std::uint32_t, 2> spare_indices{3, 4};

TEST(engine_group, reserves_prefills_generates_and_releases) {
    world simulation{5, 1};
    auto& group = simulation.add(1, member_indices, {}, 100s);
    simulation.run_until(simulation.now + 50s);
    EXPECT_EQ(group.phase(), group_phase::finished);
    EXPECT_TRUE(group.is_settled());
    EXPECT_EQ(simulation.held(), 0U);
}

TEST(engine_group, reserves_one_engine_at_a_time_in_name_order) {
    world simulation{5, 1};
    std::vector<std::uint32_t> reserve_order;
    simulation.on_command = [&](std::size_t, std::uint32_t engine) {
        reserve_order.push_back(engine);
    };
    simulation.add(1, member_indices, {}, 100s);
    simulation.run_until(simulation.now + 1s);
    ASSERT_GE(reserve_order.size(), 3U);
    EXPECT_EQ(reserve_order[0], 0U);
    EXPECT_EQ(reserve_order[1], 1U);
    EXPECT_EQ(reserve_order[2], 2U);
}

TEST(engine_group, survives_the_death_of_any_member_at_any_step) {
    for (std::uint32_t victim = 0; victim < 4; ++victim) {
        for (std::size_t step = 0; step < 16; ++step) {
            world simulation{5, step + 1};
            simulation.on_command = [&](std::size_t number, std::uint32_t) {
                if (number == step) {
                    simulation.kill(victim);
                }
            };
            auto& group = simulation.add(1, member_indices, spare_indices, 300s);
            simulation.run_until(simulation.now + 400s);
            EXPECT_EQ(group.phase(), group_phase::finished) << victim << " at " << step;
            EXPECT_TRUE(group.is_settled()) << victim << " at " << step;
            EXPECT_EQ(simulation.held(), 0U) << victim << " at " << step;
        }
    }
}

TEST(engine_group, releases_everything_when_cancelled_at_any_step) {
    for (std::size_t step = 0; step < 12; ++step) {
        world simulation{5, step + 1};
        simulation.on_command = [&](std::size_t number, std::uint32_t) {
            if (number == step) {
                simulation.send(simulation.groups.at(1).cancel(simulation.now));
            }
        };
        auto& group = simulation.add(1, member_indices, {}, 100s);
        simulation.run_until(simulation.now + 200s);
        EXPECT_TRUE(group.is_settled()) << step;
        EXPECT_EQ(simulation.held(), 0U) << step;
    }
}

TEST(engine_group, fails_at_the_deadline_and_releases_everything_without_memory) {
    world simulation{3, 1};
    auto& group = simulation.add(1, member_indices, {}, 10s, engine_memory_tokens + 1);
    simulation.run_until(simulation.now + 11s);
    EXPECT_EQ(group.phase(), group_phase::failed);
    EXPECT_EQ(group.failure().code, error_code::deadline_passed);
    simulation.run_until(simulation.now + 60s);
    EXPECT_TRUE(group.is_settled());
}

// A reservation granted after the group was cancelled would hold memory until its expiry.
TEST(engine_group, a_reservation_that_arrives_after_the_release_is_released_again) {
    world simulation{3, 1};
    auto& group = simulation.add(1, member_indices, {}, 100s);
    static_cast<void>(group.cancel(simulation.now));
    const engine_reserved late{{{1, 1}, 99}, engine_handle{0}, "old"};
    const auto commands = group.on_event(late, simulation.now);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(std::get<engine_release>(commands[0]).reservation, "old");
}

// Groups that need the same engines acquire them in name order, so that they cannot wait for each
// other in a cycle.
RC_GTEST_PROP(engine_group_property, competing_groups_neither_deadlock_nor_leak, ()) {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto count = *rc::gen::inRange<std::uint32_t>(2, 6);
    const auto deaths = *rc::gen::inRange<std::uint32_t>(0, 3);
    world simulation{6, seed};
    std::mt19937_64 random{seed};
    std::vector<std::uint32_t> order{0, 1, 2, 3, 4, 5};
    simulation.on_command = [&](std::size_t number, std::uint32_t engine) {
        if (number % 37 == 20 && number / 37 < deaths) {
            simulation.kill(engine);
        }
    };
    for (std::uint32_t index = 1; index <= count; ++index) {
        std::ranges::shuffle(order, random);
        simulation.add(index, std::span{order}.first(3), std::span{order}.subspan(3, 2), 600s);
        simulation.run_until(simulation.now +
                             duration{static_cast<duration::rep>(random() % 100'000)});
    }
    simulation.run_until(simulation.now + 800s);
    for (const auto& [sequence, group] : simulation.groups) {
        RC_ASSERT(group.is_settled());
        RC_ASSERT(deaths > 0 || group.phase() == group_phase::finished);
    }
    RC_ASSERT(simulation.held() == 0U);
    if (deaths == 0) {
        const auto oldest = std::ranges::find(simulation.finished, std::uint64_t{1});
        RC_ASSERT(oldest != simulation.finished.end());
    }
}

} // namespace
} // namespace magnolia
