#include "claims.h"
#include "claims_p.h"
#include "platform_model.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t start_wall_ms = 1'800'000'000'000;
constexpr auto claim_timeout = milliseconds{2000};
constexpr auto call_timeout = milliseconds{500};

claim_options test_options() {
    claim_options options;
    options.shards = 1;
    return options;
}

claim_key key_of(int number) {
    return {"w", "k" + std::to_string(number), start_wall_ms};
}

/// Several claim managers over one simulated store. Faults of the store are drawn at random, and a
/// write without a reply may take effect late.
class claim_world {
public:
    explicit claim_world(std::uint64_t seed, claim_options options = test_options())
        : model{seed}, random{seed}, options_{options} {
        model.faults().writes_per_second = 1e6;
        model.faults().reads_per_second = 1e6;
    }

    /// An entry process. While paused it makes no progress, as a suspended process.
    struct process {
        std::unique_ptr<claim_manager> manager;
        std::uint64_t origin = 0;
        std::uint64_t next_sequence = 1;
        bool is_paused = false;
        std::vector<std::pair<claim_call, time_point>> unanswered;
    };

    /// Starts or restarts a process, with a new origin and without state.
    void start(std::size_t index) {
        auto& started = processes[index];
        started = {};
        started.origin = next_origin++;
        started.manager = std::make_unique<claim_manager>(started.origin, options_);
    }

    request_id request(std::size_t index, const claim_key& key, std::uint64_t fingerprint = 7) {
        auto& requesting = processes[index];
        const request_id id{requesting.origin, requesting.next_sequence++};
        requesting.manager->request(key, id, fingerprint, claim_timeout, now, wall_ms());
        requested[id] = {key, now + claim_timeout, 0};
        collect_events(requesting);
        return id;
    }

    void finish_call(const request_id& id, outcome result) {
        for (auto& [index, process] : processes) {
            if (process.manager && process.origin == id.origin) {
                process.manager->record_outcome(requested.at(id).key, id, result, 200, "answer",
                                                now);
            }
        }
        running.erase(id);
        if (result == outcome::not_run) {
            grants.erase(requested.at(id).key);
        } else {
            recorded[requested.at(id).key] = result;
        }
    }

    /// Advances the time, and lets every process and call make progress.
    void step(milliseconds time = milliseconds{10}) {
        now += time;
        apply_late_writes();
        for (auto& [index, process] : processes) {
            if (process.manager && !process.is_paused) {
                poll_process(process);
            }
        }
    }

    void run(milliseconds time) {
        for (auto passed = milliseconds{0}; passed < time; passed += milliseconds{10}) {
            step();
        }
    }

    [[nodiscard]] std::int64_t wall_ms() const {
        return start_wall_ms + wall_shift_ms +
               std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    }

    /// The event of a request if it has the given type.
    template <class Event>
    [[nodiscard]] std::optional<Event> event(const request_id& id) const {
        const auto found = events.find(id);
        if (found == events.end() || !std::holds_alternative<Event>(found->second)) {
            return std::nullopt;
        }
        return std::get<Event>(found->second);
    }

    struct requested_claim {
        claim_key key;
        time_point deadline;
        int events = 0;
    };

    platform_model model;
    std::mt19937_64 random;
    time_point now{};
    /// Offset of the wall clock, ms.
    std::int64_t wall_shift_ms = 0;
    /// Probability that a write gets no reply and takes effect up to 3 s later.
    double late_writes = 0;
    std::map<std::size_t, process> processes;
    std::map<request_id, requested_claim> requested;
    std::map<request_id, claim_event> events;
    /// Number of grants of each key, without those whose outcome was not_run.
    std::map<claim_key, int> grants;
    /// Granted requests without an outcome.
    std::set<request_id> running;
    /// Last outcome of each key other than not_run.
    std::map<claim_key, outcome> recorded;
    std::uint64_t next_origin = 1;

private:
    void poll_process(process& process) {
        std::vector<std::pair<claim_call, time_point>> earlier;
        std::swap(earlier, process.unanswered);
        for (auto& [call, due] : earlier) {
            if (due > now) {
                process.unanswered.emplace_back(call, due);
            } else {
                process.manager->on_reply(call.number, fail(error_code::platform_down), now,
                                          wall_ms());
            }
        }
        for (int round = 0; round < 8; ++round) {
            for (auto& call : process.manager->poll(now, wall_ms())) {
                execute(process, call);
            }
        }
        collect_events(process);
    }

    void execute(process& process, const claim_call& call) {
        std::uniform_real_distribution<double> draw{0, 1};
        if (is_put(call) && draw(random) < late_writes) {
            late_writes_in_flight_.emplace_back(
                call.call, now + milliseconds{std::uniform_int_distribution<int>{0, 3000}(random)});
            process.unanswered.emplace_back(call, now + call_timeout);
            return;
        }
        auto answer = model.execute(call.call, now);
        if (answer.delivery == simulated_reply::mode::reply) {
            process.manager->on_reply(call.number, answer.reply, now, wall_ms());
        } else {
            process.unanswered.emplace_back(call, now + call_timeout);
        }
    }

    static bool is_put(const claim_call& call) {
        return std::holds_alternative<object_put>(call.call);
    }

    /// Executes the delayed writes that are due; a conflict is ignored, since no one waits for the
    /// reply.
    void apply_late_writes() {
        std::erase_if(late_writes_in_flight_, [this](const auto& item) {
            if (item.second > now) {
                return false;
            }
            (void)model.store().put(std::get<object_put>(item.first));
            return true;
        });
    }

    void collect_events(process& process) {
        for (const auto& event : process.manager->take_events()) {
            const auto id = std::visit([](const auto& value) { return value.request; }, event);
            events.insert_or_assign(id, event);
            ++requested.at(id).events;
            if (std::holds_alternative<claim_granted>(event)) {
                ++grants[requested.at(id).key];
                running.insert(id);
            }
        }
    }

    claim_options options_;
    std::vector<std::pair<platform_call, time_point>> late_writes_in_flight_;
};

TEST(claims, a_key_is_granted_once_and_later_requests_receive_its_outcome) {
    claim_world world{1};
    world.start(0);
    world.start(1);
    const auto first = world.request(0, key_of(1));
    const auto second = world.request(1, key_of(1));
    world.run(milliseconds{200});
    ASSERT_TRUE(world.event<claim_granted>(first));
    const auto exists = world.event<claim_exists>(second);
    ASSERT_TRUE(exists);
    EXPECT_EQ(exists->record.owner, first);
    EXPECT_FALSE(exists->record.result);
    world.finish_call(first, outcome::done);
    world.run(milliseconds{1500});
    const auto third = world.request(1, key_of(1));
    world.run(milliseconds{200});
    ASSERT_TRUE(world.event<claim_exists>(third));
    EXPECT_EQ(world.event<claim_exists>(third)->record.result, outcome::done);
    EXPECT_EQ(world.event<claim_exists>(third)->record.answer, "answer");
}

TEST(claims, not_run_frees_the_key_and_a_different_call_with_the_same_key_is_refused) {
    claim_world world{1};
    world.start(0);
    const auto first = world.request(0, key_of(1));
    world.run(milliseconds{100});
    const auto other = world.request(0, key_of(1), 8);
    world.run(milliseconds{100});
    EXPECT_EQ(world.event<claim_failed>(other)->failure.code, error_code::key_reused);
    world.finish_call(first, outcome::not_run);
    world.run(milliseconds{100});
    const auto again = world.request(0, key_of(1), 8);
    world.run(milliseconds{100});
    EXPECT_TRUE(world.event<claim_granted>(again));
}

/// The write of a claim took effect but its reply was lost: the request must be granted, not
/// failed.
TEST(claims, a_lost_reply_is_resolved_by_reading_the_object) {
    claim_world world{1};
    world.start(0);
    world.model.faults().lost_answers = 1;
    const auto id = world.request(0, key_of(1));
    world.step();
    world.model.faults().lost_answers = 0;
    world.run(milliseconds{1500});
    EXPECT_TRUE(world.event<claim_granted>(id));
}

/// A request that failed during an outage must not leave its claim in the store when the write
/// takes effect afterwards: the key would be blocked for good.
TEST(claims, a_request_times_out_in_an_outage_and_its_late_write_is_removed) {
    claim_world world{1};
    world.start(0);
    world.late_writes = 1;
    const auto id = world.request(0, key_of(1));
    world.step();
    world.model.faults().outage = outage_mode::hang;
    world.run(claim_timeout + milliseconds{100});
    ASSERT_TRUE(world.event<claim_failed>(id));
    EXPECT_EQ(world.event<claim_failed>(id)->failure.code, error_code::platform_down);
    world.run(milliseconds{3000});
    world.late_writes = 0;
    world.model.faults().outage = outage_mode::none;
    world.run(milliseconds{5000});
    const auto retry = world.request(0, key_of(1));
    world.run(milliseconds{500});
    EXPECT_TRUE(world.event<claim_granted>(retry));
}

TEST(claims, concurrent_claims_share_one_write) {
    claim_world world{1};
    world.start(0);
    for (int number = 0; number < 100; ++number) {
        world.request(0, key_of(number));
    }
    world.run(milliseconds{100});
    EXPECT_EQ(world.running.size(), 100U);
    EXPECT_EQ(world.model.counts().writes, 1U);
}

TEST(claims, expired_and_future_keys_are_refused) {
    claim_world world{1};
    world.start(0);
    auto old = key_of(1);
    old.created_ms -= claim_options{}.retention.count() + 1;
    auto future = key_of(2);
    future.created_ms += claim_options{}.max_clock_error.count() + 1;
    for (const auto& key : {old, future}) {
        const auto id = world.request(0, key);
        EXPECT_EQ(world.event<claim_failed>(id)->failure.code, error_code::key_expired);
    }
}

/// The object of an expired key may have been deleted with an earlier claim, so that a late write
/// succeeds although the call has run.
TEST(claims, a_key_that_expires_while_its_write_is_in_flight_is_not_granted) {
    claim_world world{1};
    world.start(0);
    world.wall_shift_ms = claim_options{}.retention.count();
    world.model.faults().outage = outage_mode::hang;
    const auto id = world.request(0, key_of(1));
    world.step();
    world.wall_shift_ms += 1000;
    world.model.faults().outage = outage_mode::none;
    world.run(milliseconds{1500});
    ASSERT_TRUE(world.event<claim_failed>(id));
    EXPECT_EQ(world.event<claim_failed>(id)->failure.code, error_code::key_expired);
}

TEST(claims, a_lookup_returns_the_recorded_claim) {
    claim_world world{1};
    world.start(0);
    world.requested[{9, 1}] = {key_of(1), {}, 0};
    world.requested[{9, 2}] = {key_of(1), {}, 0};
    world.processes[0].manager->look_up(key_of(1), {9, 1}, claim_timeout, world.now);
    world.run(milliseconds{50});
    EXPECT_FALSE(world.event<claim_found>({9, 1})->record);
    world.request(0, key_of(1));
    world.run(milliseconds{50});
    world.processes[0].manager->look_up(key_of(1), {9, 2}, claim_timeout, world.now);
    world.run(milliseconds{50});
    EXPECT_TRUE(world.event<claim_found>({9, 2})->record);
}

TEST(claims, tables_round_trip_within_the_estimated_size) {
    rc::check([] {
        claim_table table;
        const auto count = *rc::gen::inRange(0, 20);
        for (int number = 0; number < count; ++number) {
            const auto text = *rc::gen::string<std::string>();
            const claim_key key{"w", "k" + std::to_string(number), number};
            claim_record record{{1, 2}, 3, outcome::failed, 500, {}, 4};
            record.answer = text;
            table.put(key, record);
        }
        const auto text = encode_claims(table);
        RC_ASSERT(text.size() <= table.bytes + 64);
        const auto again = decode_claims({{"claims", "x"}, 5, text, false});
        RC_ASSERT(again.has_value());
        RC_ASSERT(again->records.size() == table.records.size());
    });
}

/// Overwriting an object of an unknown layout would delete the claims of a newer release.
TEST(claims, an_unreadable_object_is_never_overwritten) {
    claim_world world{1};
    world.start(0);
    const auto id = claim_object_id(key_of(1), test_options());
    ASSERT_TRUE(world.model.store().put({id, 0, "{\"layout\":99}"}));
    const auto request = world.request(0, key_of(1));
    world.run(claim_timeout + milliseconds{50});
    EXPECT_TRUE(world.event<claim_failed>(request));
    EXPECT_EQ(world.model.store().get(id).version, 1U);
}

/// Applies random requests, outcomes, faults, restarts and pauses; checks that no key is granted
/// twice and that every request gets one event within its timeout.
void run_random_faults(std::uint64_t seed, int steps) {
    constexpr std::size_t process_count = 3;
    constexpr int keys = 6;
    claim_world world{seed};
    const auto draw = [&](int below) {
        return std::uniform_int_distribution<int>{0, below - 1}(world.random);
    };
    for (std::size_t index = 0; index < process_count; ++index) {
        world.start(index);
    }
    for (int step = 0; step < steps; ++step) {
        const auto index = static_cast<std::size_t>(draw(process_count));
        auto& chosen = world.processes[index];
        switch (draw(12)) {
        case 0:
        case 1:
        case 2:
            if (!chosen.is_paused) {
                world.request(index, key_of(draw(keys)));
            }
            break;
        case 3:
            if (!world.running.empty()) {
                const auto id =
                    *std::next(world.running.begin(), draw(static_cast<int>(world.running.size())));
                world.finish_call(id, static_cast<outcome>(draw(4)));
            }
            break;
        case 4:
            world.model.faults().lost_answers = draw(3) == 0 ? 0.5 : 0;
            break;
        case 5:
            world.late_writes = draw(3) == 0 ? 0.5 : 0;
            break;
        case 6:
            world.model.faults().outage = static_cast<outage_mode>(draw(10) < 8 ? 0 : 1 + draw(2));
            break;
        case 7:
            chosen.is_paused = draw(3) == 0;
            break;
        case 8:
            if (draw(8) == 0) {
                std::erase_if(world.running,
                              [&](const auto& id) { return id.origin == chosen.origin; });
                world.start(index);
            }
            break;
        default:
            break;
        }
        world.step(milliseconds{draw(100)});
        for (const auto& [key, count] : world.grants) {
            RC_ASSERT(count <= 1);
        }
        for (const auto& [id, claim] : world.requested) {
            RC_ASSERT(claim.events <= 1);
            const auto owner = std::ranges::find_if(
                world.processes, [&](const auto& item) { return item.second.origin == id.origin; });
            const bool is_running = owner != world.processes.end() && !owner->second.is_paused;
            RC_ASSERT(!is_running || world.now < claim.deadline || claim.events == 1);
        }
    }
    // After the faults, an outcome that the store returns is the one that was recorded. A key may
    // also be free, or claimed without an outcome, for example by a process that was restarted.
    world.model.faults().lost_answers = 0;
    world.model.faults().outage = outage_mode::none;
    world.late_writes = 0;
    for (auto& [index, process] : world.processes) {
        process.is_paused = false;
    }
    world.run(milliseconds{8000});
    for (const auto& [key, result] : world.recorded) {
        const auto id = world.request(0, key);
        world.run(milliseconds{100});
        const auto exists = world.event<claim_exists>(id);
        if (exists && exists->record.result) {
            RC_ASSERT(*exists->record.result == result);
        }
    }
}

RC_GTEST_PROP(claims_property, a_key_runs_at_most_once, ()) {
    run_random_faults(*rc::gen::arbitrary<std::uint64_t>(), 300);
}

} // namespace
} // namespace magnolia
