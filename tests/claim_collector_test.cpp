#include "claim_collector.h"
#include "claims_p.h"
#include "object_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t day_ms = 86400000;

/// Executes a call on the store without faults.
result<platform_reply> execute(object_store& store, const platform_call& call) {
    if (const auto* get = std::get_if<object_get>(&call)) {
        return platform_reply{store.get(get->id)};
    }
    if (const auto* put = std::get_if<object_put>(&call)) {
        return store.put(*put).map([](auto value) { return platform_reply{value}; });
    }
    if (const auto* erase = std::get_if<object_delete>(&call)) {
        return store.erase(*erase).map([](auto value) { return platform_reply{value}; });
    }
    return platform_reply{store.list(std::get<object_list>(call))};
}

/// Runs one round of the collector.
void run(claim_collector& collector, object_store& store, time_point now, std::int64_t wall_ms) {
    while (const auto call = collector.poll(now, wall_ms)) {
        collector.on_reply(execute(store, *call), now, wall_ms);
    }
}

TEST(claim_collector, deletes_only_expired_objects) {
    object_store store;
    claim_options options;
    const std::int64_t wall_ms = 1000 * day_ms;
    const std::int64_t oldest_kept_ms =
        wall_ms - options.retention.count() - (2 * options.max_clock_error.count());
    for (int number = 0; number < 50; ++number) {
        const claim_key key{"w", std::to_string(number), oldest_kept_ms - (number * 1000000)};
        const auto id = claim_object_id(key, options);
        ASSERT_TRUE(store.put({id, store.get(id).version, "{}"}));
    }
    const claim_key fresh{"w", "fresh", wall_ms};
    ASSERT_TRUE(store.put({claim_object_id(fresh, options), 0, "{}"}));
    claim_collector collector{options, milliseconds{60000}, 1};
    run(collector, store, time_point{}, wall_ms);
    for (const auto& item : store.list({"claims", "", 0}).items) {
        EXPECT_GE(*latest_creation_ms(item.id, options), oldest_kept_ms);
    }
    EXPECT_GE(collector.deleted_objects(), 48U);
    EXPECT_GT(store.get(claim_object_id(fresh, options)).version, 0U);
}

/// A claim manager and a collector with different clock errors up to the maximum. The write of the
/// manager is delayed while the key ages and the collector deletes its object.
RC_GTEST_PROP(claim_collector_property, a_collected_key_is_never_granted_again, ()) {
    claim_options options;
    options.shards = 1;
    options.retention = milliseconds{day_ms};
    const auto margin = static_cast<int>(options.max_clock_error.count());
    const auto manager_error = *rc::gen::inRange(-margin, margin + 1);
    const auto collector_error = *rc::gen::inRange(-margin, margin + 1);
    const std::int64_t created = 1000 * day_ms;
    const claim_key key{"w", "k", created};
    object_store store;
    time_point now{};
    const auto claim = [&](claim_manager& manager, request_id id, std::int64_t requested_at,
                           std::int64_t collected_at, std::int64_t answered_at) {
        manager.request(key, id, 1, std::chrono::hours{100}, now, requested_at + manager_error);
        claim_collector collector{options, milliseconds{1}, 1};
        bool is_collected = false;
        for (int round = 0; round < 20; ++round) {
            for (const auto& call : manager.poll(now, requested_at + manager_error)) {
                if (std::holds_alternative<object_put>(call.call) && !is_collected) {
                    is_collected = true;
                    run(collector, store, now, collected_at + collector_error);
                }
                manager.on_reply(call.number, execute(store, call.call), now,
                                 (is_collected ? answered_at : requested_at) + manager_error);
            }
        }
        const auto events = manager.take_events();
        return std::ranges::any_of(
            events, [](const auto& event) { return std::holds_alternative<claim_granted>(event); });
    };
    claim_manager first{1, options};
    RC_ASSERT(claim(first, {1, 1}, created + margin, created + margin, created + margin));
    first.record_outcome(key, {1, 1}, outcome::done, 200, "", now);
    now += std::chrono::seconds{1};
    for (const auto& call : first.poll(now, created)) {
        first.on_reply(call.number, execute(store, call.call), now, created);
    }
    // The object may be collected before the second manager reads it, or between its read and its
    // write.
    const auto requested = created + *rc::gen::inRange<std::int64_t>(0, day_ms + (4 * margin));
    const auto before = created + *rc::gen::inRange<std::int64_t>(0, day_ms + (200 * margin));
    if (before <= requested) {
        claim_collector collector{options, milliseconds{1}, 1};
        run(collector, store, now, before + collector_error);
    }
    const auto collected = requested + *rc::gen::inRange<std::int64_t>(0, 200 * margin);
    const auto answered = collected + *rc::gen::inRange<std::int64_t>(0, 10);
    claim_manager second{2, options};
    RC_ASSERT(!claim(second, {2, 1}, requested, collected, answered));
}

/// Worst case: a manager with a slow clock reads that the object does not exist, because another
/// process has run the call and the object was deleted. Its write succeeds but must not be granted.
TEST(claim_collector, a_write_that_takes_effect_after_the_collection_is_not_granted) {
    claim_options options;
    options.shards = 1;
    const claim_key key{"w", "k", 1000 * day_ms};
    const auto last_valid_ms = key.created_ms + options.retention.count();
    object_store store;
    claim_manager late_manager{2, options};
    const time_point now{};
    late_manager.request(key, {2, 1}, 1, std::chrono::hours{1}, now, last_valid_ms);
    const auto read = late_manager.poll(now, last_valid_ms);
    ASSERT_EQ(read.size(), 1U);
    late_manager.on_reply(read.front().number, execute(store, read.front().call), now,
                          last_valid_ms);
    const auto write = late_manager.poll(now, last_valid_ms);
    ASSERT_EQ(write.size(), 1U);
    // The empty store represents one in which another claim was made, its call ran, and the object
    // was deleted. Now the write takes effect.
    late_manager.on_reply(write.front().number, execute(store, write.front().call), now,
                          last_valid_ms + 1);
    const auto events = late_manager.take_events();
    ASSERT_EQ(events.size(), 1U);
    ASSERT_TRUE(std::holds_alternative<claim_failed>(events.front()));
    EXPECT_EQ(std::get<claim_failed>(events.front()).failure.code, error_code::key_expired);
    // The record of the failed request is removed.
    for (int round = 0; round < 4; ++round) {
        for (const auto& call : late_manager.poll(now, last_valid_ms + 1)) {
            late_manager.on_reply(call.number, execute(store, call.call), now, last_valid_ms + 1);
        }
    }
    const auto remaining = decode_claims(store.get(claim_object_id(key, options)));
    EXPECT_TRUE(remaining->records.empty());
}

} // namespace
} // namespace magnolia
