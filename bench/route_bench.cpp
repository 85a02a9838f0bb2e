/// Measures the latency of one routing decision, mean and 99th percentile, and of the updates for
/// one attempt, for several numbers of engines.
#include "router.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <vector>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t zones = 8;
constexpr std::size_t workspaces = 36'000;
/// Prefix hashes per workspace.
constexpr std::size_t prefix_depth = 12;
/// Attempts that fill the router's statistics before the measurement.
constexpr std::size_t warm_up_attempts = 4'000;

/// Router with warm statistics, load reports of all engines and the prefix hashes of all
/// workspaces.
struct fixture {
    explicit fixture(std::size_t count) {
        for (std::size_t index = 0; index < count; ++index) {
            engines.push_back(router_under_test.put_engine({"engine" + std::to_string(index),
                                                            "zone" + std::to_string(index % zones),
                                                            {"m"},
                                                            {},
                                                            450'000,
                                                            {}},
                                                           now));
        }
        now += 60s;
        for (std::size_t index = 0; index < workspaces * prefix_depth; ++index) {
            hashes.push_back(random());
        }
        for (std::size_t index = 0; index < warm_up_attempts; ++index) {
            const auto query = next_query(index);
            const auto decision = router_under_test.decide(query, now);
            if (const auto* const single = std::get_if<single_route>(&decision)) {
                router_under_test.on_started({query.request, 1}, single->engine, query, now);
                router_under_test.on_first_token({query.request, 1}, now);
                router_under_test.on_ended({query.request, 1}, true, 100, now);
            }
        }
        for (const auto engine : engines) {
            const auto pending = static_cast<std::uint32_t>(random() % 20'000);
            router_under_test.on_load(engine,
                                      {.running_requests = 8,
                                       .pending_prefill_tokens = pending,
                                       .free_memory_tokens = 300'000,
                                       .age = 300ms},
                                      now);
        }
    }

    /// Returns the query of a random workspace; every fiftieth prompt has 200,000 tokens.
    route_query next_query(std::uint64_t sequence) {
        const auto workspace = random() % workspaces;
        route_query query;
        query.request = {1, sequence};
        query.model = "m";
        query.prompt_tokens = sequence % 50 == 0 ? 200'000 : 1'000 + random() % 16'000;
        query.max_generated_tokens = 300;
        query.prefix_hashes = std::span{hashes}.subspan(workspace * prefix_depth, prefix_depth);
        query.first_token_budget = 600s;
        query.finish_budget = 900s;
        return query;
    }

    router router_under_test{"zone0", route_policy::length_aware, 1};
    time_point now{1h};
    std::mt19937_64 random{1};
    std::vector<engine_handle> engines;
    std::vector<std::uint64_t> hashes;
};

/// Measures router::decide().
void decide(benchmark::State& state) {
    fixture setup{static_cast<std::size_t>(state.range(0))};
    std::vector<double> latencies_us;
    std::uint64_t sequence = warm_up_attempts;
    for (auto unused : state) {
        static_cast<void>(unused);
        const auto query = setup.next_query(++sequence);
        const auto begin = std::chrono::steady_clock::now();
        benchmark::DoNotOptimize(setup.router_under_test.decide(query, setup.now));
        latencies_us.push_back(
            std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin)
                .count());
    }
    const auto position =
        latencies_us.begin() + static_cast<std::ptrdiff_t>(latencies_us.size() * 99 / 100);
    std::ranges::nth_element(latencies_us, position);
    state.counters["p99_us"] = *position;
}

/// Measures the calls that report one attempt from its start to its end.
void start_and_end(benchmark::State& state) {
    fixture setup{static_cast<std::size_t>(state.range(0))};
    std::uint64_t sequence = warm_up_attempts;
    for (auto unused : state) {
        static_cast<void>(unused);
        const auto query = setup.next_query(++sequence);
        const attempt_id id{query.request, 1};
        setup.router_under_test.on_started(id, setup.engines[sequence % setup.engines.size()],
                                           query, setup.now);
        setup.router_under_test.on_accepted(id, query.prompt_tokens, 0, setup.now);
        setup.router_under_test.on_first_token(id, setup.now);
        setup.router_under_test.on_ended(id, true, 100, setup.now);
    }
}

BENCHMARK(decide)->Arg(16)->Arg(100)->Arg(670)->Iterations(200'000);
BENCHMARK(start_and_end)->Arg(16)->Arg(100)->Arg(670);

} // namespace
} // namespace magnolia

BENCHMARK_MAIN();
