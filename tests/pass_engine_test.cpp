#include "engine_forecast.h"
#include "pass_engine.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

constexpr time_point start{std::chrono::seconds{100}};

double ms_since_start(time_point when) {
    return std::chrono::duration<double, std::milli>{when - start}.count();
}

engine_work make_work(std::uint64_t id, std::uint32_t prompt, std::size_t shares = 1) {
    const auto share = prefill_share::of(prompt, shares);
    return {.id = id,
            .prefill_tokens = static_cast<double>(share.tokens),
            .first_attention_span = share.first_attention_span,
            .attention_span_increment = share.attention_span_increment,
            .is_helper = shares > 1,
            .memory_tokens = shares > 1 ? 0 : prompt,
            .context_tokens = static_cast<double>(prompt),
            .answer_tokens = 1000};
}

/// Runs passes until the first event of the work, or the end of its prefill; returns ms since
/// start, or -1 if the engine becomes idle before.
double first_event(pass_engine& engine, std::uint64_t id) {
    while (engine.pass_end()) {
        const auto end = *engine.pass_end();
        for (const auto& event : engine.end_pass()) {
            if (event.id == id) {
                return ms_since_start(end);
            }
        }
    }
    return -1;
}

TEST(pass_engine, idle_prefill_times_match_measurements) {
    // Prompt tokens, number of engines, measured time to the first event minus 3 ms of network time
    // (docs/measurements).
    struct measured {
        std::uint32_t tokens;
        std::size_t shares;
        double ms;
    };
    for (const auto& [tokens, shares, ms] :
         {measured{2355, 1, 12}, measured{28656, 1, 209}, measured{40361, 1, 328},
          measured{33809, 2, 130}, measured{105627, 4, 333}, measured{158177, 6, 428}}) {
        pass_engine engine{production_engine_profile()};
        engine.add(make_work(1, tokens, shares), start);
        EXPECT_NEAR(first_event(engine, 1), ms, 0.03 * ms + 3) << tokens;
    }
}

TEST(pass_engine, shares_of_split_prompts_run_first_newest_first) {
    pass_engine engine{production_engine_profile()};
    engine.add(make_work(1, 20'000), start);
    engine.add(make_work(2, 200'000, 2), start);
    engine.add(make_work(3, 100'000, 2), start);
    std::vector<std::uint64_t> order;
    while (order.size() < 3) {
        for (const auto& event : engine.end_pass()) {
            if (order.empty() || event.id != order.back()) {
                order.push_back(event.id);
            }
        }
    }
    EXPECT_EQ(order, (std::vector<std::uint64_t>{3, 2, 1}));
}

TEST(pass_engine, prompts_wait_for_slots_and_memory_in_order_of_arrival) {
    auto profile = production_engine_profile();
    profile.slots = 2;
    pass_engine engine{profile};
    engine.add(make_work(1, 150'000), start);
    engine.add(make_work(2, 100'000), start); // Does not fit in memory with the first one.
    engine.add(make_work(3, 1000), start);    // Waits behind the second one.
    const auto first = first_event(engine, 1);
    engine.remove(1, start);
    EXPECT_GT(first_event(engine, 2), first);
    EXPECT_GE(first_event(engine, 3), first);
}

} // namespace
} // namespace magnolia
