/// Distributed limits in a simulation of the complete decision code.
#include "key_hash.h"
#include "world.h"

#include <gtest/gtest.h>

namespace magnolia::testing {
namespace {

constexpr std::size_t entry_count = 6;
constexpr std::size_t engine_count = 20;
constexpr std::size_t workspace_count = 10;
constexpr int calls = 500;
/// Arrivals in calls per second.
constexpr double rate = 30;

contract generous_contract(const std::string& workspace) {
    contract value;
    value.workspace = workspace;
    value.models = {"model"};
    value.key_hashes = {key_hash(workspace + "-key")};
    value.requests_per_second = 1000;
    value.request_burst = 1000;
    value.prompt_tokens_per_second = 1e7;
    value.prompt_token_burst = 2e7;
    value.generated_tokens_per_second = 1e5;
    value.generated_token_burst = 1e6;
    value.concurrency = 1000;
    value.deadlines = {{4000, std::chrono::seconds{2}, std::chrono::seconds{20}}};
    return value;
}

/// Guards against latency added by the limiter: requests of workspaces far below their limits must
/// not be pending for quota, so each first token arrives within 300 ms.
TEST(limits_world, requests_far_below_the_limits_do_not_wait_for_quota) {
    constexpr std::array<const char*, 3> zones{"salt-lake", "howrah", "new-town"};
    world simulation{5};
    for (std::size_t index = 0; index < entry_count; ++index) {
        simulation.add_entry("e" + std::to_string(index), zones[index % zones.size()]);
    }
    for (std::size_t index = 0; index < engine_count; ++index) {
        fakes::engine_model_settings settings;
        settings.name = "g" + std::to_string(index);
        settings.seed = index;
        simulation.add_engine(settings, zones[index % zones.size()]);
    }
    for (std::size_t index = 0; index < workspace_count; ++index) {
        simulation.put_contract(generous_contract("ws" + std::to_string(index)));
    }
    std::mt19937_64 random{1};
    std::exponential_distribution<double> gap{rate};
    auto next = time_point{std::chrono::seconds{5}};
    for (int call = 0; call < calls; ++call) {
        simulation.run_until(next);
        simulation.start_completion(
            "call " + std::to_string(call), "e" + std::to_string(random() % entry_count),
            "ws" + std::to_string(random() % workspace_count), "model", 1000, 32);
        next += std::chrono::duration_cast<duration>(std::chrono::duration<double>{gap(random)});
    }
    simulation.run_until(next + std::chrono::seconds{10});
    for (const auto& [name, call] : simulation.calls()) {
        EXPECT_EQ(call.result, outcome::done) << name;
        ASSERT_TRUE(call.first_token_at) << name;
        EXPECT_LT(*call.first_token_at - call.sent_at, std::chrono::milliseconds{300}) << name;
    }
}

} // namespace
} // namespace magnolia::testing
