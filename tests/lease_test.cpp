#include "engine_model.h"
#include "fenced_orders.h"
#include "lease.h"
#include "object_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace magnolia {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

result<platform_reply> answer(object_store& store, const platform_call& call) {
    if (const auto* get = std::get_if<object_get>(&call)) {
        return store.get(get->id);
    }
    auto put = store.put(std::get<object_put>(call));
    if (!put) {
        return tl::unexpected{put.error()};
    }
    return *put;
}

lease_settings settings_of(const std::string& holder) {
    lease_settings settings;
    settings.name = "zone-1";
    settings.holder = holder;
    settings.boot = 1;
    return settings;
}

struct lease_test : testing::Test {
    object_store store;
    lease first{settings_of("a")};
    lease second{settings_of("b")};
    time_point now{seconds{1}};

    /// Runs one process's calls at a moment.
    void run(lease& process) {
        while (const auto call = process.poll(now)) {
            process.on_reply(answer(store, *call), now);
        }
    }

    void pass(duration time, std::initializer_list<lease*> processes) {
        for (const auto end = now + time; now < end; now += milliseconds{500}) {
            for (auto* process : processes) {
                run(*process);
            }
        }
    }
};

TEST_F(lease_test, one_takes_it_and_keeps_it) {
    run(first);
    run(second);
    EXPECT_EQ(first.fencing(now), 1U);
    pass(seconds{60}, {&first, &second});
    EXPECT_TRUE(first.may_act(now));
    EXPECT_EQ(second.fencing(now), 0U);
}

TEST_F(lease_test, a_silent_holder_is_replaced_after_its_time) {
    run(first);
    pass(seconds{9}, {&second});
    EXPECT_EQ(second.fencing(now), 0U);
    pass(seconds{6}, {&second});
    EXPECT_EQ(second.fencing(now), 2U);
    EXPECT_FALSE(first.may_act(now));
    run(first);
    EXPECT_EQ(first.fencing(now), 0U);
}

TEST_F(lease_test, a_stop_hands_over_at_once) {
    run(first);
    first.stop();
    run(first);
    EXPECT_TRUE(first.is_stopped());
    pass(seconds{3}, {&second});
    EXPECT_EQ(second.fencing(now), 2U);
}

TEST_F(lease_test, a_lost_answer_is_read_back) {
    auto call = first.poll(now);
    first.on_reply(answer(store, *call), now);
    call = first.poll(now);
    static_cast<void>(answer(store, *call));
    first.on_reply(fail(error_code::platform_down), now);
    EXPECT_EQ(first.fencing(now), 0U);
    now += seconds{2};
    run(first);
    EXPECT_EQ(first.fencing(now), 1U);
    EXPECT_FALSE(first.may_act(now + seconds{4}));
}

TEST_F(lease_test, engines_without_fencing_are_left_alone_for_an_order_time) {
    run(first);
    EXPECT_TRUE(first.may_act(now));
    EXPECT_FALSE(first.may_act_unfenced(now + seconds{4}));
    pass(seconds{6}, {&first});
    EXPECT_TRUE(first.may_act_unfenced(now));
}

TEST_F(lease_test, an_old_order_sent_late_ends_before_the_first_new_unfenced_one) {
    const lease_settings settings;
    run(first);
    run(second);
    time_point last_allowed = now;
    while (!second.may_act_unfenced(now)) {
        now += milliseconds{10};
        run(second);
        // The first holder is cut off from the store, and asks as often as it likes.
        static_cast<void>(first.poll(now));
        last_allowed = first.may_act(now) ? now : last_allowed;
        ASSERT_LT(now, time_point{seconds{60}});
    }
    EXPECT_LE(last_allowed + 2 * settings.order_time, now);
}

TEST(fenced_orders, loads_only_with_weights_granted_and_one_step_at_a_time) {
    const engine_handle engine{0};
    fenced_orders orders{{}};
    fakes::part_directory parts;
    fakes::engine_model model{{}, parts};
    time_point now{seconds{1}};
    wanted_engine wanted;
    wanted.models = {{"new", "2", 1000}};
    wanted.role = engine_role::long_prompts;
    orders.set_wanted(engine, wanted);
    const order_permit permit{3, true, true};
    EXPECT_TRUE(orders.poll(permit, now).empty());
    std::vector<std::string> done;
    for (int turn = 0; turn < 20; ++turn, now += seconds{1}) {
        static_cast<void>(model.advance(now));
        for (const auto waiting : orders.needs_status(now)) {
            orders.on_status(waiting, model.status(), now);
        }
        for (const auto& step : orders.poll(permit, now)) {
            if (std::holds_alternative<weight_request>(step)) {
                done.emplace_back("weight");
                orders.on_weight(engine, milliseconds{1000}, now);
                continue;
            }
            const auto& order = std::get<engine_order>(step);
            EXPECT_EQ(order.fencing, 3U);
            done.push_back(std::to_string(static_cast<int>(order.kind)));
            orders.on_order_answered(engine, model.order(order, now), now);
        }
    }
    EXPECT_EQ(done, (std::vector<std::string>{"4", "1", "weight", "0"}));
    EXPECT_TRUE(orders.is_settled());
}

/// Two control processes with clocks of their own, a store that loses answers, one engine.
class control_world {
public:
    explicit control_world(bool checks_fencing) : engine_{settings(checks_fencing), parts_} {
        for (std::uint32_t index = 0; index < 2; ++index) {
            want(processes_[index], index);
        }
    }

    void step(unsigned choice) {
        const auto which = choice % 2;
        auto& process = processes_[which];
        const auto kind = choice / 2 % 16;
        if (kind == 0 && choice % 3 == 0) {
            process.paused_until = now_ + seconds{choice / 32 % 40};
        } else if (kind == 1) {
            process.loses_answers = 1;
        } else if (kind == 2 && choice % 5 == 0) {
            restart(which);
        } else if (kind > 12) {
            want(process, choice / 32 % 8);
        } else if (kind == 7 && choice % 3 == 0) {
            process.cut_off_until = now_ + seconds{choice / 32 % 30};
        } else if (kind == 3 || kind == 4) {
            deliver_late(choice);
        } else {
            now_ += milliseconds{choice / 32 % 1000};
        }
        static_cast<void>(engine_.advance(now_));
        run(processes_[0]);
        run(processes_[1]);
    }

    void check() const { RC_ASSERT(engine_.counts().stale_orders_taken == 0U); }

private:
    struct process {
        lease hold;
        fenced_orders orders{{}};
        time_point paused_until{};
        /// No call reaches the store.
        time_point cut_off_until{};
        unsigned loses_answers = 0;
    };
    struct late_order {
        engine_order order;
        time_point asked_at{};
    };

    static fakes::engine_model_settings settings(bool checks_fencing) {
        fakes::engine_model_settings value;
        value.checks_fencing = checks_fencing;
        value.self = engine_handle{0};
        return value;
    }

    void want(process& value, unsigned version) const {
        wanted_engine wanted;
        wanted.models = {{"model", std::to_string(version), 0}};
        wanted.checks_fencing = engine_.settings().checks_fencing;
        value.orders.set_wanted(engine_handle{0}, wanted);
    }

    lease new_lease(unsigned which) {
        auto settings = settings_of(which == 0 ? "a" : "b");
        settings.boot = ++boots_;
        return lease{settings};
    }

    void restart(unsigned which) {
        processes_[which].hold = new_lease(which);
        auto wanted = *processes_[which].orders.wanted(engine_handle{0});
        processes_[which].orders = fenced_orders{{}};
        processes_[which].orders.set_wanted(engine_handle{0}, std::move(wanted));
    }

    void run(process& value) {
        if (value.paused_until > now_) {
            return;
        }
        while (const auto call = value.hold.poll(now_)) {
            auto reply = value.cut_off_until > now_ ? fail(error_code::platform_down)
                                                    : answer(store_, *call);
            if (value.loses_answers > 0) {
                --value.loses_answers;
                reply = fail(error_code::platform_down);
            }
            value.hold.on_reply(reply, now_);
        }
        for (const auto engine : value.orders.needs_status(now_)) {
            value.orders.on_status(engine, engine_.status(), now_);
        }
        const order_permit permit{value.hold.fencing(now_), value.hold.may_act(now_),
                                  value.hold.may_act_unfenced(now_)};
        for (const auto& step : value.orders.poll(permit, now_)) {
            if (const auto* order = std::get_if<engine_order>(&step)) {
                late_.push_back({*order, now_});
                value.orders.on_order_answered(engine_handle{0}, fail(error_code::backend_lost),
                                               now_);
            } else {
                value.orders.on_weight(engine_handle{0}, milliseconds{0}, now_);
            }
        }
    }

    /// An order is sent up to an order time after the lease was asked, and takes effect within
    /// another, or never.
    void deliver_late(unsigned choice) {
        const auto longest = 2 * lease_settings{}.order_time;
        std::erase_if(late_,
                      [&](const late_order& item) { return now_ - item.asked_at > longest; });
        if (!late_.empty()) {
            const auto place = late_.begin() + choice / 32 % static_cast<unsigned>(late_.size());
            const auto order = place->order;
            late_.erase(place);
            static_cast<void>(engine_.order(order, now_));
        }
    }

    object_store store_;
    fakes::part_directory parts_;
    fakes::engine_model engine_;
    std::uint64_t boots_ = 0;
    std::array<process, 2> processes_{process{new_lease(0)}, process{new_lease(1)}};
    std::vector<late_order> late_;
    time_point now_{seconds{1}};
};

RC_GTEST_PROP(control_property, two_controllers_at_once_do_no_harm, (bool checks_fencing)) {
    control_world world{checks_fencing};
    for (int part = 0; part < 20; ++part) {
        const auto choices =
            *rc::gen::container<std::vector<unsigned>>(100, rc::gen::inRange(0U, 1U << 20U));
        for (const auto choice : choices) {
            world.step(choice);
        }
    }
    world.check();
}

} // namespace
} // namespace magnolia
