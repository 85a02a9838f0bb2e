/// Benchmark of ordering a timeline, by number of events and number of processes.
#include "timeline.h"

#include <benchmark/benchmark.h>

#include <random>

namespace {

using namespace magnolia;

/// Makes a timeline of processes that send each other random messages; half of the events have a
/// cause.
timeline make_timeline(std::size_t events, std::size_t processes) {
    std::mt19937 random{1};
    std::uniform_int_distribution<std::size_t> pick{0, processes - 1};
    std::vector<std::uint64_t> last(processes, 0);
    timeline merged{events};
    std::int64_t now = 0;
    while (merged.size() < events) {
        const auto from = pick(random);
        const auto to = pick(random);
        timeline_event cause;
        cause.host = "p" + std::to_string(from);
        cause.sequence = ++last[from];
        cause.wall_us = now += 100;
        timeline_event effect;
        effect.host = "p" + std::to_string(to);
        effect.sequence = ++last[to];
        effect.wall_us = now += 100;
        effect.cause_host = cause.host;
        effect.cause_sequence = cause.sequence;
        merged.add(std::move(cause));
        merged.add(std::move(effect));
    }
    return merged;
}

void order(benchmark::State& state) {
    const auto merged = make_timeline(static_cast<std::size_t>(state.range(0)),
                                      static_cast<std::size_t>(state.range(1)));
    for (auto step : state) {
        static_cast<void>(step);
        benchmark::DoNotOptimize(merged.ordered({.limit = 1000}));
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}

BENCHMARK(order)
    ->Args({1000, 10})
    ->Args({10000, 10})
    ->Args({100000, 10})
    ->Args({100000, 380})
    ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
