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

/// Executes a call on the store.
result<platform_reply> execute(object_store& store, const platform_call& call) {
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

/// Two processes that compete for one lease.
struct lease_test : testing::Test {
    object_store store;
    lease first{settings_of("a")};
    lease second{settings_of("b")};
    time_point now{seconds{1}};

    /// Answers the due calls of a process from the store, without advancing the time.
    void run_calls(lease& process) {
        while (const auto call = process.poll(now)) {
            process.on_reply(execute(store, *call), now);
        }
    }

    /// Advances the time and runs the processes every 500 ms.
    void advance(duration time, std::initializer_list<lease*> processes) {
        for (const auto end = now + time; now < end; now += milliseconds{500}) {
            for (auto* process : processes) {
                run_calls(*process);
            }
        }
    }
};

TEST_F(lease_test, one_process_acquires_and_keeps_the_lease) {
    run_calls(first);
    run_calls(second);
    EXPECT_EQ(first.fencing_token(now), 1U);
    advance(seconds{60}, {&first, &second});
    EXPECT_TRUE(first.may_send_order(now));
    EXPECT_EQ(second.fencing_token(now), 0U);
}

TEST_F(lease_test, a_silent_holder_is_replaced_after_its_ttl) {
    run_calls(first);
    advance(seconds{9}, {&second});
    EXPECT_EQ(second.fencing_token(now), 0U);
    advance(seconds{6}, {&second});
    EXPECT_EQ(second.fencing_token(now), 2U);
    EXPECT_FALSE(first.may_send_order(now));
    run_calls(first);
    EXPECT_EQ(first.fencing_token(now), 0U);
}

TEST_F(lease_test, stop_releases_the_lease_at_once) {
    run_calls(first);
    first.stop();
    run_calls(first);
    EXPECT_TRUE(first.is_stopped());
    advance(seconds{3}, {&second});
    EXPECT_EQ(second.fencing_token(now), 2U);
}

/// The write takes effect but its reply is lost. Once it has been read back, the ttl counts from
/// the sending of the write, not from the read.
TEST_F(lease_test, a_write_without_a_reply_is_read_back) {
    auto call = first.poll(now);
    first.on_reply(execute(store, *call), now);
    call = first.poll(now);
    static_cast<void>(execute(store, *call));
    first.on_reply(fail(error_code::platform_down), now);
    EXPECT_EQ(first.fencing_token(now), 0U);
    now += seconds{2};
    run_calls(first);
    EXPECT_EQ(first.fencing_token(now), 1U);
    EXPECT_FALSE(first.may_send_order(now + seconds{4}));
}

/// An engine that does not check fencing tokens would execute a late order of the former holder, so
/// the new holder waits until none can be in progress.
TEST_F(lease_test, unfenced_engines_receive_no_order_for_order_time) {
    run_calls(first);
    EXPECT_TRUE(first.may_send_order(now));
    EXPECT_FALSE(first.may_send_unfenced_order(now + seconds{4}));
    advance(seconds{6}, {&first});
    EXPECT_TRUE(first.may_send_unfenced_order(now));
}

/// An order may be sent up to order_time after the lease permitted it, and takes effect within
/// another order_time. The new holder must not send an unfenced order before that.
TEST_F(lease_test, an_old_order_sent_late_ends_before_the_first_new_unfenced_one) {
    const lease_settings settings;
    run_calls(first);
    run_calls(second);
    time_point last_allowed = now;
    while (!second.may_send_unfenced_order(now)) {
        now += milliseconds{10};
        run_calls(second);
        // The first holder is cut off from the store but goes on checking whether it may send.
        static_cast<void>(first.poll(now));
        last_allowed = first.may_send_order(now) ? now : last_allowed;
        ASSERT_LT(now, time_point{seconds{60}});
    }
    EXPECT_LE(last_allowed + 2 * settings.order_time, now);
}

TEST(fenced_orders, loads_require_a_weight_grant_and_orders_are_serial) {
    const engine_handle engine{0};
    fenced_orders orders{{}};
    fakes::part_directory parts;
    fakes::engine_model model{{}, parts};
    time_point now{seconds{1}};
    desired_engine desired;
    desired.models = {{"new", "2", 1000}};
    desired.role = engine_role::long_prompts;
    orders.set_desired(engine, desired);
    const order_permit permit{3, true, true};
    EXPECT_TRUE(orders.poll(permit, now).empty());
    std::vector<std::string> steps;
    for (int round = 0; round < 20; ++round, now += seconds{1}) {
        static_cast<void>(model.advance(now));
        for (const auto stale : orders.engines_needing_status(now)) {
            orders.on_status(stale, model.status(), now);
        }
        for (const auto& step : orders.poll(permit, now)) {
            if (std::holds_alternative<weight_request>(step)) {
                steps.emplace_back("weight");
                orders.on_weight_grant(engine, milliseconds{1000}, now);
                continue;
            }
            const auto& order = std::get<engine_order>(step);
            EXPECT_EQ(order.fencing, 3U);
            steps.push_back(std::to_string(static_cast<int>(order.kind)));
            orders.on_order_answered(engine, model.apply_order(order, now), now);
        }
    }
    // set_role, unload_model, weight grant, load_model.
    EXPECT_EQ(steps, (std::vector<std::string>{"4", "1", "weight", "0"}));
    EXPECT_TRUE(orders.is_converged());
}

/// Two control processes that compete for a lease and order conflicting versions from one engine,
/// with pauses, restarts, cut-offs from the store, lost replies and delayed orders.
class control_simulation {
public:
    explicit control_simulation(bool checks_fencing) : engine_{settings(checks_fencing), parts_} {
        for (std::uint32_t index = 0; index < 2; ++index) {
            set_desired_version(processes_[index], index);
        }
    }

    /// Injects the fault or event that `choice` encodes, or advances the time, then runs both
    /// processes.
    void step(unsigned choice) {
        const auto index = choice % 2;
        auto& process = processes_[index];
        const auto kind = choice / 2 % 16;
        if (kind == 0 && choice % 3 == 0) {
            process.paused_until = now_ + seconds{choice / 32 % 40};
        } else if (kind == 1) {
            process.replies_to_lose = 1;
        } else if (kind == 2 && choice % 5 == 0) {
            restart(index);
        } else if (kind > 12) {
            set_desired_version(process, choice / 32 % 8);
        } else if (kind == 7 && choice % 3 == 0) {
            process.cut_off_until = now_ + seconds{choice / 32 % 30};
        } else if (kind == 3 || kind == 4) {
            deliver_in_flight_order(choice);
        } else {
            now_ += milliseconds{choice / 32 % 1000};
        }
        static_cast<void>(engine_.advance(now_));
        run_calls(processes_[0]);
        run_calls(processes_[1]);
    }

    /// Fails if the engine has accepted an order with a fencing token lower than an earlier one.
    void check_no_stale_orders() const { RC_ASSERT(engine_.counts().stale_orders_taken == 0U); }

private:
    struct process {
        lease zone_lease;
        fenced_orders orders{{}};
        time_point paused_until{};
        /// Until then no call reaches the store.
        time_point cut_off_until{};
        unsigned replies_to_lose = 0;
    };
    /// Order that was sent and has not reached the engine.
    struct in_flight_order {
        engine_order order;
        time_point permitted_at{};
    };

    static fakes::engine_model_settings settings(bool checks_fencing) {
        fakes::engine_model_settings value;
        value.checks_fencing = checks_fencing;
        value.self = engine_handle{0};
        return value;
    }

    void set_desired_version(process& value, unsigned version) const {
        desired_engine desired;
        desired.models = {{"model", std::to_string(version), 0}};
        desired.checks_fencing = engine_.settings().checks_fencing;
        value.orders.set_desired(engine_handle{0}, desired);
    }

    lease new_lease(unsigned index) {
        auto settings = settings_of(index == 0 ? "a" : "b");
        settings.boot = ++boots_;
        return lease{settings};
    }

    void restart(unsigned index) {
        processes_[index].zone_lease = new_lease(index);
        auto desired = *processes_[index].orders.desired(engine_handle{0});
        processes_[index].orders = fenced_orders{{}};
        processes_[index].orders.set_desired(engine_handle{0}, std::move(desired));
    }

    void run_calls(process& value) {
        if (value.paused_until > now_) {
            return;
        }
        while (const auto call = value.zone_lease.poll(now_)) {
            auto reply = value.cut_off_until > now_ ? fail(error_code::platform_down)
                                                    : execute(store_, *call);
            if (value.replies_to_lose > 0) {
                --value.replies_to_lose;
                reply = fail(error_code::platform_down);
            }
            value.zone_lease.on_reply(reply, now_);
        }
        for (const auto engine : value.orders.engines_needing_status(now_)) {
            value.orders.on_status(engine, engine_.status(), now_);
        }
        const order_permit permit{value.zone_lease.fencing_token(now_),
                                  value.zone_lease.may_send_order(now_),
                                  value.zone_lease.may_send_unfenced_order(now_)};
        for (const auto& step : value.orders.poll(permit, now_)) {
            if (const auto* order = std::get_if<engine_order>(&step)) {
                in_flight_orders_.push_back({*order, now_});
                value.orders.on_order_answered(engine_handle{0}, fail(error_code::backend_lost),
                                               now_);
            } else {
                value.orders.on_weight_grant(engine_handle{0}, milliseconds{0}, now_);
            }
        }
    }

    /// Delivers one of the orders in flight. An order may be sent up to order_time after the lease
    /// permitted it and takes effect within another order_time, so older ones are dropped.
    void deliver_in_flight_order(unsigned choice) {
        const auto max_delay = 2 * lease_settings{}.order_time;
        std::erase_if(in_flight_orders_, [&](const in_flight_order& item) {
            return now_ - item.permitted_at > max_delay;
        });
        if (!in_flight_orders_.empty()) {
            const auto position = in_flight_orders_.begin() +
                                  choice / 32 % static_cast<unsigned>(in_flight_orders_.size());
            const auto order = position->order;
            in_flight_orders_.erase(position);
            static_cast<void>(engine_.apply_order(order, now_));
        }
    }

    object_store store_;
    fakes::part_directory parts_;
    fakes::engine_model engine_;
    std::uint64_t boots_ = 0;
    std::array<process, 2> processes_{process{new_lease(0)}, process{new_lease(1)}};
    std::vector<in_flight_order> in_flight_orders_;
    time_point now_{seconds{1}};
};

/// No sequence of faults makes the engine accept an order of a former holder after one of a later
/// holder, whether or not it checks fencing tokens.
RC_GTEST_PROP(control_property, two_controllers_at_once_do_no_harm, (bool checks_fencing)) {
    control_simulation simulation{checks_fencing};
    for (int round = 0; round < 20; ++round) {
        const auto choices =
            *rc::gen::container<std::vector<unsigned>>(100, rc::gen::inRange(0U, 1U << 20U));
        for (const auto choice : choices) {
            simulation.step(choice);
        }
    }
    simulation.check_no_stale_orders();
}

} // namespace
} // namespace magnolia
