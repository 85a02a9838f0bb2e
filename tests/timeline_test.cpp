#include "timeline.h"
#include "timeline_view.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

namespace magnolia {
namespace {

timeline_event make_event(const std::string& host, std::uint64_t sequence, std::int64_t wall_us,
                          const std::string& cause_host = {}, std::uint64_t cause_sequence = 0) {
    timeline_event event;
    event.host = host;
    event.sequence = sequence;
    event.boot = 1;
    event.wall_us = wall_us;
    event.kind = "request_received";
    event.cause_host = cause_host;
    event.cause_sequence = cause_sequence;
    return event;
}

std::vector<std::string> event_labels(const std::vector<ordered_event>& events) {
    std::vector<std::string> list;
    std::ranges::transform(events, std::back_inserter(list), [](const ordered_event& item) {
        return item.event.host + std::to_string(item.event.sequence);
    });
    return list;
}

TEST(timeline, a_cause_precedes_its_effect_even_if_its_clock_is_ahead) {
    timeline merged{100};
    merged.add(make_event("b", 1, 1'000, "a", 1));
    merged.add(make_event("a", 1, 9'000'000));
    EXPECT_EQ(event_labels(merged.ordered()), (std::vector<std::string>{"a1", "b1"}));
}

TEST(timeline, links_in_both_directions_give_the_clock_offset) {
    // The events happened at 0, 100, 200 and 300 us; the clock of b is 5 s ahead.
    timeline merged{100};
    merged.add(make_event("a", 1, 0));
    merged.add(make_event("b", 1, 5'000'100, "a", 1));
    merged.add(make_event("b", 2, 5'000'200));
    merged.add(make_event("a", 2, 300, "b", 2));
    const auto offsets = merged.offsets();
    EXPECT_EQ(offsets.at({"a", 1}), 0);
    EXPECT_EQ(offsets.at({"b", 1}), -5'000'000);
}

TEST(timeline, unrelated_events_are_ordered_by_the_common_clock) {
    timeline merged{100};
    merged.add(make_event("a", 1, 0));
    merged.add(make_event("b", 1, 5'000'100, "a", 1));
    merged.add(make_event("a", 2, 200, "b", 1));
    merged.add(make_event("b", 2, 5'000'150));
    merged.add(make_event("a", 3, 160'000));
    merged.add(make_event("b", 3, 5'100'000));
    EXPECT_EQ(event_labels(merged.ordered()),
              (std::vector<std::string>{"a1", "b1", "b2", "a2", "b3", "a3"}));
}

TEST(timeline, sequence_order_is_kept_when_the_wall_clock_is_set_back) {
    timeline merged{100};
    merged.add(make_event("a", 2, 10));
    merged.add(make_event("a", 1, 5'000));
    const auto events = merged.ordered();
    EXPECT_EQ(event_labels(events), (std::vector<std::string>{"a1", "a2"}));
    EXPECT_GE(events[1].time_us, events[0].time_us);
}

TEST(timeline, cyclic_causes_do_not_lose_events) {
    timeline merged{100};
    merged.add(make_event("a", 1, 0, "b", 2));
    merged.add(make_event("a", 2, 10));
    merged.add(make_event("b", 1, 5, "a", 2));
    merged.add(make_event("b", 2, 20));
    EXPECT_EQ(merged.ordered().size(), 4U);
}

TEST(timeline, old_events_are_evicted_and_sequence_gaps_are_counted) {
    timeline merged{10};
    for (std::uint64_t sequence = 1; sequence <= 100; ++sequence) {
        merged.add(make_event("a", sequence * 2, static_cast<std::int64_t>(sequence)));
    }
    EXPECT_EQ(merged.size(), 10U);
    EXPECT_EQ(merged.missing(), 9U);
    EXPECT_FALSE(merged.add(make_event("a", 200, 1)));
}

TEST(timeline, filtered_events_keep_the_order_of_the_full_timeline) {
    timeline merged{100};
    auto first = make_event("a", 1, 900);
    first.request = "r";
    auto last = make_event("c", 1, 10, "b", 1);
    last.request = "r";
    merged.add(last);
    merged.add(make_event("b", 1, 500, "a", 1));
    merged.add(first);
    EXPECT_EQ(event_labels(merged.ordered({.request = "r"})),
              (std::vector<std::string>{"a1", "c1"}));
}

TEST(timeline, svg_output_is_escaped) {
    timeline merged{10};
    merged.add(make_event("<a&b>", 1, 0));
    const auto svg = timeline_svg(merged.ordered());
    EXPECT_EQ(svg.find("<a&b>"), std::string::npos);
    EXPECT_NE(svg.find("&lt;a&amp;b&gt;"), std::string::npos);
}

/// Events of a simulated run of several processes, each with a skewed clock, that send each other
/// messages; a received message is an event caused by the sending event.
struct simulated_run {
    std::vector<timeline_event> events;
    std::vector<std::int64_t> true_times;
};

simulated_run simulate(std::uint32_t seed) {
    constexpr int processes = 5;
    constexpr int steps = 200;
    std::mt19937 random{seed};
    std::uniform_int_distribution<std::int64_t> skew{-60'000'000, 60'000'000};
    std::uniform_int_distribution<std::int64_t> delay{1'000, 5'000};
    std::uniform_int_distribution<int> pick{0, processes - 1};
    std::vector<std::int64_t> clock_error(processes);
    std::ranges::generate(clock_error, [&] { return skew(random); });
    std::vector<std::uint64_t> last(processes, 0);
    simulated_run simulated;
    std::int64_t now = 1'000'000'000;
    for (int step = 0; step < steps; ++step) {
        now += delay(random);
        const auto from = pick(random);
        const auto to = pick(random);
        const auto name = [](int number) { return "p" + std::to_string(number); };
        simulated.events.push_back(make_event(name(from), ++last[from], now + clock_error[from]));
        simulated.true_times.push_back(now);
        const auto cause = last[from];
        now += delay(random);
        simulated.events.push_back(
            make_event(name(to), ++last[to], now + clock_error[to], name(from), cause));
        simulated.true_times.push_back(now);
    }
    return simulated;
}

RC_GTEST_PROP(timeline, order_respects_sequences_and_causes_for_any_clock_skew,
              (std::uint32_t seed)) {
    auto simulated = simulate(seed);
    std::ranges::shuffle(simulated.events, std::mt19937{seed});
    timeline merged{10'000};
    for (auto& event : simulated.events) {
        merged.add(std::move(event));
    }
    const auto events = merged.ordered();
    RC_ASSERT(events.size() == simulated.true_times.size());
    std::map<std::string, std::uint64_t> last;
    for (std::size_t index = 0; index < events.size(); ++index) {
        const auto& item = events[index];
        RC_ASSERT(item.event.sequence == ++last[item.event.host]);
        RC_ASSERT(item.event.cause_host.empty() || item.cause < index);
        RC_ASSERT(index == 0 || item.time_us >= events[index - 1].time_us);
    }
}

RC_GTEST_PROP(timeline, offset_error_is_bounded_by_message_delays, (std::uint32_t seed)) {
    constexpr std::int64_t longest_delay = 5'000;
    constexpr std::size_t longest_path = 4;
    auto simulated = simulate(seed);
    std::map<std::string, std::int64_t> truth;
    for (std::size_t index = 0; index < simulated.events.size(); ++index) {
        truth[simulated.events[index].host] =
            simulated.true_times[index] - simulated.events[index].wall_us;
    }
    timeline merged{10'000};
    for (auto& event : simulated.events) {
        merged.add(std::move(event));
    }
    const auto offsets = merged.offsets();
    const auto base = truth.at(offsets.begin()->first.host);
    for (const auto& [run, offset] : offsets) {
        const auto error = std::abs(offset - (truth.at(run.host) - base));
        RC_ASSERT(error <= longest_delay * static_cast<std::int64_t>(longest_path));
    }
}

} // namespace
} // namespace magnolia
