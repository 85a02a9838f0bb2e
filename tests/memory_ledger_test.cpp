#include "engine_model.h"
#include "memory_ledger.h"
#include "orphan_sweep.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace magnolia {
namespace {

using std::chrono::seconds;

constexpr engine_handle engine{0};

template <class Command>
const Command& only(const std::vector<engine_command>& commands) {
    EXPECT_EQ(commands.size(), 1U);
    return std::get<Command>(commands.front());
}

struct memory_ledger_test : testing::Test {
    memory_ledger ledger{{}};
    time_point now{};
    attempt_id id{{7, 1}, 1};

    std::string held() {
        auto name = ledger.reserve(id, engine, 1000, now);
        static_cast<void>(ledger.poll(now));
        ledger.on_event(engine_reserved{id, engine, name}, now);
        return name;
    }

    engine_failed broken(const std::string& name, run_certainty certainty) const {
        return {id, engine, name, {error_code::backend_lost, {}, {}}, certainty, false};
    }
};

TEST_F(memory_ledger_test, renews_before_the_expiry) {
    const auto name = held();
    EXPECT_TRUE(ledger.poll(now + seconds{7}).empty());
    EXPECT_EQ(only<engine_reserve>(ledger.poll(now + seconds{8})).reservation, name);
    ledger.on_event(engine_reserved{id, engine, name}, now + seconds{9});
    EXPECT_TRUE(ledger.is_held(engine, name, now + seconds{37}));
    EXPECT_FALSE(ledger.is_held(engine, name, now + seconds{38}));
}

TEST_F(memory_ledger_test, retries_a_release_until_it_is_confirmed) {
    const auto name = held();
    ledger.release(engine, name, now);
    static_cast<void>(only<engine_release>(ledger.poll(now)));
    ledger.on_event(broken(name, run_certainty::unknown), now);
    EXPECT_TRUE(ledger.poll(now).empty());
    now = ledger.next_due();
    static_cast<void>(only<engine_release>(ledger.poll(now)));
    ledger.on_event(engine_released{id, engine, name}, now);
    EXPECT_EQ(ledger.size(), 0U);
}

TEST_F(memory_ledger_test, a_grant_after_the_release_is_released_again) {
    const auto name = held();
    ledger.release(engine, name, now);
    static_cast<void>(ledger.poll(now));
    ledger.on_event(engine_released{id, engine, name}, now);
    ledger.on_event(engine_reserved{id, engine, name}, now);
    EXPECT_EQ(only<engine_release>(ledger.poll(now)).reservation, name);
}

TEST_F(memory_ledger_test, a_reserve_in_doubt_is_released_until_it_can_no_longer_arrive) {
    const auto name = ledger.reserve(id, engine, 1000, now);
    static_cast<void>(ledger.poll(now));
    ledger.on_event(broken(name, run_certainty::unknown), now);
    for (int second = 0; second < 20; ++second) {
        static_cast<void>(only<engine_release>(ledger.poll(now + seconds{second})));
        ledger.on_event(engine_released{id, engine, name}, now + seconds{second});
        EXPECT_EQ(ledger.size(), 1U);
    }
    static_cast<void>(only<engine_release>(ledger.poll(now + seconds{20})));
    ledger.on_event(engine_released{id, engine, name}, now + seconds{20});
    EXPECT_EQ(ledger.size(), 0U);
}

TEST_F(memory_ledger_test, a_refused_reserve_leaves_nothing) {
    const auto name = ledger.reserve(id, engine, 1000, now);
    static_cast<void>(ledger.poll(now));
    ledger.on_event(broken(name, run_certainty::not_run), now);
    EXPECT_EQ(ledger.size(), 0U);
}

TEST_F(memory_ledger_test, a_paused_owner_does_not_renew_what_has_lapsed) {
    const auto name = held();
    now += seconds{31};
    static_cast<void>(only<engine_release>(ledger.poll(now)));
    ASSERT_EQ(ledger.take_lost().size(), 1U);
    EXPECT_FALSE(ledger.is_held(engine, name, now));
}

TEST_F(memory_ledger_test, a_restarted_engine_has_lost_everything) {
    held();
    ledger.on_engine_restarted(engine, now);
    EXPECT_EQ(ledger.take_lost().size(), 1U);
}

struct orphan_sweep_test : testing::Test {
    orphan_sweep sweep{{}};
    time_point now{};
    std::vector<memory_owner> live{{"entry-1", 2}};

    std::size_t freed(const held_memory& memory, std::uint64_t boot = 1) {
        sweep.set_owners(live, now);
        const auto orphans = sweep.on_listing(engine, boot, std::span{&memory, 1}, now);
        now += seconds{5};
        return orphans.size();
    }
};

TEST_F(orphan_sweep_test, frees_after_two_sightings_past_the_expiry) {
    const held_memory dead{"r", {"entry-1", 1}, 10, -seconds{1}};
    EXPECT_EQ(freed(dead), 0U);
    EXPECT_EQ(freed(dead), 1U);
}

TEST_F(orphan_sweep_test, never_frees_of_a_live_owner_or_before_the_expiry) {
    for (int turn = 0; turn < 5; ++turn) {
        EXPECT_EQ(freed({"r", {"entry-1", 2}, 10, -seconds{100}}), 0U);
        EXPECT_EQ(freed({"s", {"entry-1", 1}, 10, seconds{1}}), 0U);
    }
}

TEST_F(orphan_sweep_test, a_renewal_or_a_restart_between_the_sightings_starts_over) {
    const held_memory dead{"r", {"entry-1", 1}, 10, -seconds{1}};
    EXPECT_EQ(freed(dead), 0U);
    EXPECT_EQ(freed({"r", {"entry-1", 1}, 10, seconds{1}}), 0U);
    EXPECT_EQ(freed(dead), 0U);
    EXPECT_EQ(freed(dead, 2), 0U);
    EXPECT_EQ(freed(dead, 2), 1U);
}

TEST_F(orphan_sweep_test, an_old_list_of_owners_frees_nothing) {
    const held_memory dead{"r", {"entry-1", 1}, 10, -seconds{1}};
    EXPECT_EQ(freed(dead), 0U);
    now += seconds{60};
    EXPECT_TRUE(sweep.on_listing(engine, 1, std::span{&dead, 1}, now).empty());
}

/// An owner, an engine, and a network between them that delays, loses and reorders.
class memory_world {
public:
    explicit memory_world(bool engine_expires) : engine_{settings(engine_expires), parts_} {}

    void step(std::uint32_t choice) {
        const auto kind = choice % 16;
        const auto which = choice / 16;
        if (kind < 3 && !is_dead_) {
            names_.push_back(ledger_.reserve({{epoch_, ++requests_}, 1}, engine, 1000, now_));
        } else if (kind < 5 && !names_.empty()) {
            const auto index = which % names_.size();
            ledger_.release(engine, names_[index], now_);
            names_.erase(names_.begin() + static_cast<std::ptrdiff_t>(index));
        } else if (kind < 8) {
            deliver(which, false);
        } else if (kind == 8) {
            deliver(which, true);
        } else if (kind == 9) {
            if (!in_flight_.empty()) {
                give_up(in_flight_[which % in_flight_.size()]);
            }
        } else if (kind == 10 && which % 4 == 0) {
            pause_ = seconds{which % 60};
        } else if (kind == 11 && which % 8 == 0) {
            restart_owner();
        } else {
            tick(std::chrono::milliseconds{which % 4000});
        }
    }

    void tick(duration time) {
        now_ += time;
        static_cast<void>(engine_.advance(now_));
        pause_ = pause_ > time ? pause_ - time : duration{0};
        lose_old();
        if (is_dead_ || pause_ > duration{0}) {
            return;
        }
        for (const auto& event : std::exchange(answers_, {})) {
            ledger_.on_event(event, now_);
        }
        for (auto& command : ledger_.poll(now_)) {
            in_flight_.push_back({std::move(command), epoch_, now_});
        }
        check();
    }

    /// What the ledger holds to be safe, the engine has.
    void check() const {
        const auto held = engine_.held(now_);
        for (const auto& name : names_) {
            if (ledger_.is_held(engine, name, now_)) {
                RC_ASSERT(std::ranges::find(held, name, &held_memory::reservation) != held.end());
            }
        }
    }

    /// Lets everything end, with a network that works, and a sweep.
    void settle(bool owner_dies) {
        is_dead_ = owner_dies;
        pause_ = duration{0};
        for (const auto& name : names_) {
            ledger_.release(engine, name, now_);
        }
        names_.clear();
        orphan_sweep sweep{{}};
        for (int second = 0; second < 120; ++second) {
            tick(seconds{1});
            while (!in_flight_.empty()) {
                deliver(0, false);
            }
            const std::vector<memory_owner> live =
                is_dead_ ? std::vector<memory_owner>{}
                         : std::vector<memory_owner>{{"entry", epoch_}};
            sweep.set_owners(live, now_);
            for (const auto& found : sweep.on_listing(engine, 1, engine_.held(now_), now_)) {
                RC_ASSERT(is_dead_ || found.memory.owner.epoch != epoch_);
                static_cast<void>(
                    engine_.submit(engine_release{{}, engine, found.memory.reservation}, {}, now_));
            }
        }
        RC_ASSERT(engine_.held(now_).empty());
        RC_ASSERT(is_dead_ || ledger_.size() == 0U);
    }

private:
    struct flight {
        engine_command command;
        std::uint64_t epoch = 0;
        time_point sent_at{};
        bool is_given_up = false;
    };

    /// Longest time that the network keeps a command.
    static constexpr seconds network_time{15};

    static fakes::engine_model_settings settings(bool engine_expires) {
        fakes::engine_model_settings value;
        value.self = engine;
        value.expires_reservations = engine_expires;
        return value;
    }

    void deliver(std::size_t which, bool loses_answer) {
        if (in_flight_.empty()) {
            return;
        }
        const auto place =
            in_flight_.begin() + static_cast<std::ptrdiff_t>(which % in_flight_.size());
        const auto item = std::move(*place);
        in_flight_.erase(place);
        const auto taken = engine_.submit(item.command, {"entry", item.epoch}, now_);
        const auto events = engine_.advance(now_);
        if (item.epoch != epoch_ || is_dead_ || item.is_given_up) {
            return;
        }
        if (loses_answer) {
            fail_command(item.command, run_certainty::unknown);
        } else if (!taken) {
            fail_command(item.command, run_certainty::not_run);
        }
        for (const auto& event : events) {
            if (!loses_answer) {
                tell(event);
            }
        }
    }

    /// A paused owner reads its answers when it returns.
    void tell(const engine_event& event) {
        if (pause_ > duration{0}) {
            answers_.push_back(event);
        } else {
            ledger_.on_event(event, now_);
        }
    }

    /// The answer is given up; the command itself may arrive later.
    void give_up(flight& item) {
        if (item.epoch == epoch_ && !is_dead_ && !item.is_given_up) {
            fail_command(item.command, run_certainty::unknown);
        }
        item.is_given_up = true;
    }

    void lose_old() {
        const auto is_old = [this](const flight& item) {
            return now_ - item.sent_at > network_time;
        };
        std::ranges::for_each(in_flight_, [&](flight& item) {
            if (is_old(item)) {
                give_up(item);
            }
        });
        std::erase_if(in_flight_, is_old);
    }

    void fail_command(const engine_command& command, run_certainty certainty) {
        std::visit(
            [&](const auto& value) {
                if constexpr (requires { value.reservation; }) {
                    tell(engine_failed{value.id, engine, value.reservation,
                                       error{error_code::backend_lost, {}, {}}, certainty, false});
                }
            },
            command);
    }

    void restart_owner() {
        ledger_ = memory_ledger{{}};
        answers_.clear();
        names_.clear();
        ++epoch_;
    }

    fakes::part_directory parts_;
    fakes::engine_model engine_;
    memory_ledger ledger_{{}};
    time_point now_{};
    std::vector<std::string> names_;
    std::vector<flight> in_flight_;
    std::vector<engine_event> answers_;
    std::uint64_t epoch_ = 1;
    std::uint64_t requests_ = 0;
    duration pause_{0};
    bool is_dead_ = false;
};

RC_GTEST_PROP(memory_ledger_property, no_engine_loses_memory_for_good,
              (bool owner_dies, bool engine_expires)) {
    const auto choices =
        *rc::gen::container<std::vector<std::uint32_t>>(600, rc::gen::inRange(0U, 1U << 20U));
    memory_world world{engine_expires};
    for (const auto choice : choices) {
        world.step(choice);
    }
    world.settle(owner_dies);
}

} // namespace
} // namespace magnolia
