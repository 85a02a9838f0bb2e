/// Benchmarks of the limiter: CPU cost of an admission with many known workspaces, and how much of
/// a limit reaches an entry that has all the demand.
#include "limiter.h"
#include "memory_net.h"

#include <benchmark/benchmark.h>

#include <cstdio>
#include <random>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t known_workspaces = 36000;
constexpr std::size_t active_workspaces = 300;
constexpr time_point start{1h};

contract numbered_contract(std::size_t number) {
    contract value;
    value.workspace = "workspace-" + std::to_string(number);
    value.requests_per_second = 100000;
    value.request_burst = 1000000;
    value.prompt_tokens_per_second = 1e9;
    value.prompt_token_burst = 1e10;
    value.generated_tokens_per_second = 1e8;
    value.generated_token_burst = 1e9;
    value.concurrency = 100000;
    return value;
}

/// Admission and settlement at an entry that is the allocator of all workspaces. poll() is called
/// every 10 ms.
void admit_and_settle(benchmark::State& state) {
    limiter limits{"a", "z", 1};
    std::vector<std::string> names;
    for (std::size_t index = 0; index < known_workspaces; ++index) {
        const auto value = numbered_contract(index);
        limits.put_contract(value, 1, start);
        names.push_back(value.workspace);
    }
    limits.set_members({{"a", "z", host_state::live}}, false, start);
    auto now = start;
    auto last_poll_at = start;
    std::size_t index = 0;
    for (auto _ : state) {
        now += 500us;
        const auto& name = names[index++ % active_workspaces];
        if (auto ticket = limits.admit(name, 1000, 100, now)) {
            limits.settle(*ticket, 1000, 50, now);
        } else {
            state.SkipWithError("refused");
            break;
        }
        if (now - last_poll_at >= 10ms) {
            last_poll_at = now;
            benchmark::DoNotOptimize(limits.poll(now));
        }
    }
    state.counters["active"] = static_cast<double>(limits.active_count());
}
BENCHMARK(admit_and_settle)->Iterations(200000)->Unit(benchmark::kMicrosecond);

/// All demand for a workspace arrives at one entry, at twice the limit. Reports the utilisation of
/// the limit in the last 10 s, and the bytes per second of the entry with the most traffic.
void quota_redistribution(benchmark::State& state) {
    constexpr double rate = 100;
    const auto zones = static_cast<std::size_t>(state.range(0));
    const auto entries_per_zone = static_cast<std::size_t>(state.range(1));
    for (auto _ : state) {
        std::vector<limit_member> members;
        std::vector<std::unique_ptr<limiter>> entries;
        for (std::size_t index = 0; index < zones * entries_per_zone; ++index) {
            members.push_back({"e" + std::to_string(index), "z" + std::to_string(index % zones),
                               host_state::live});
        }
        auto value = numbered_contract(0);
        value.requests_per_second = rate;
        value.request_burst = rate;
        for (const auto& member : members) {
            entries.push_back(std::make_unique<limiter>(member.name, member.zone, 1));
            entries.back()->put_contract(value, 1, start);
            entries.back()->set_members(members, false, start);
        }
        memory_net net{{0, 0, 500us, 5ms, true}, 1};
        std::mt19937_64 random{1};
        std::size_t admitted = 0;
        std::size_t bytes = 0;
        for (auto now = start; now < start + 30s; now += 5ms) {
            for (auto& delivery : net.take_due(now)) {
                entries[std::stoul(delivery.to.substr(1))]->on_message(delivery.from,
                                                                       delivery.message, now);
            }
            const bool has_demand = now >= start + 10s;
            if (has_demand && random() % 2000 < 2 * rate * 10) {
                if (auto ticket = entries[0]->admit(value.workspace, 100, 10, now)) {
                    entries[0]->settle(*ticket, 100, 10, now);
                    admitted += now >= start + 20s ? 1 : 0;
                }
            }
            for (std::size_t index = 0; index < entries.size(); ++index) {
                for (auto& message : entries[index]->poll(now)) {
                    net.send(members[index].name, std::move(message), now);
                }
            }
        }
        for (const auto& [name, traffic] : net.traffic()) {
            bytes = std::max<std::size_t>(bytes, traffic.bytes_out + traffic.bytes_in);
        }
        state.counters["utilisation"] = static_cast<double>(admitted) / (10 * rate);
        state.counters["bytes/s_most"] = static_cast<double>(bytes) / 30;
    }
}
BENCHMARK(quota_redistribution)
    ->Args({1, 4})
    ->Args({3, 2})
    ->Args({8, 4})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace magnolia

BENCHMARK_MAIN();
