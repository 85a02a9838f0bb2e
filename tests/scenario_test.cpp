/// Runs the scenarios of tests/scenarios/*.yaml on the simulated world. CONTRIBUTING.md describes
/// the format: each line of `steps` schedules an action, each line of `expect` is an assertion. The
/// invariants of the world's oracle are checked in every scenario as well.
#include "key_hash.h"
#include "settings.h"
#include "world.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <functional>

namespace magnolia::testing {
namespace {

using nlohmann::json;

time_point parse_time(const json& ms) {
    return time_point{std::chrono::milliseconds{ms.get<std::int64_t>()}};
}

std::string string_at(const json& line, const char* key) {
    return line.at(key).get<std::string>();
}

/// Actions of `steps` by their verb; each receives its line.
const std::map<std::string, std::function<void(world&, const json&)>> verbs{
    {"ask",
     [](world& simulation, const json& line) {
         simulation.start_completion(string_at(line, "call"), string_at(line, "entry"),
                                     line.value("workspace", "shop"), "model",
                                     line.value("prompt", 1000U), line.value("max", 20U));
     }},
    {"order",
     [](world& simulation, const json& line) {
         simulation.start_order(string_at(line, "call"), string_at(line, "entry"),
                                line.value("workspace", "shop"), "orders",
                                line.value("path", "/place"), line.value("key", ""));
     }},
    {"hang_up", [](world& simulation,
                   const json& line) { simulation.disconnect_caller(string_at(line, "call")); }},
    {"crash_engine",
     [](world& simulation, const json& line) { simulation.crash_engine(string_at(line, "who")); }},
    {"restart_engine", [](world& simulation,
                          const json& line) { simulation.restart_engine(string_at(line, "who")); }},
    {"pause_engine",
     [](world& simulation, const json& line) {
         simulation.pause_engine(string_at(line, "who"), true);
     }},
    {"continue_engine",
     [](world& simulation, const json& line) {
         simulation.pause_engine(string_at(line, "who"), false);
     }},
    {"drain_engine",
     [](world& simulation, const json& line) { simulation.drain_engine(string_at(line, "who")); }},
    {"crash_entry",
     [](world& simulation, const json& line) { simulation.crash_entry(string_at(line, "who")); }},
    {"restart_entry",
     [](world& simulation, const json& line) { simulation.restart_entry(string_at(line, "who")); }},
    {"pause_entry", [](world& simulation,
                       const json& line) { simulation.pause_entry(string_at(line, "who"), true); }},
    {"continue_entry",
     [](world& simulation, const json& line) {
         simulation.pause_entry(string_at(line, "who"), false);
     }},
    {"stop_entry",
     [](world& simulation, const json& line) { simulation.stop_entry(string_at(line, "who")); }},
    {"store_down",
     [](world& simulation, const json& /*line*/) { simulation.set_store_down(true); }},
    {"store_up", [](world& simulation, const json& /*line*/) { simulation.set_store_down(false); }},
    {"store_loses_answers",
     [](world& simulation, const json& line) {
         simulation.set_store_loses_answers(line.value("on", true));
     }},
    {"service_loses_answers",
     [](world& simulation, const json& line) {
         simulation.service("orders").loses_answers = line.value("on", true);
     }},
    {"service_refuses",
     [](world& simulation, const json& line) {
         simulation.service("orders").refuses = line.value("on", true);
     }},
    {"service_down",
     [](world& simulation, const json& line) {
         simulation.service("orders").is_down = line.value("on", true);
     }},
    {"frame_faults",
     [](world& simulation, const json& line) {
         simulation.set_frame_faults(line.value("twice", 0.0), line.value("late", 0.0));
     }},
};

/// Returns the default contract of the workspace `shop` with changes.
contract make_contract(const json& changes) {
    contract value;
    value.workspace = "shop";
    value.models = {"model"};
    value.services = {"orders"};
    value.deadlines = {{4000, std::chrono::seconds{2}, std::chrono::seconds{20}},
                       {1'100'000, std::chrono::seconds{300}, std::chrono::seconds{600}}};
    json merged(value);
    merged.update(changes);
    schema_reader reader{unknown_keys::reject};
    read(merged, reader, value);
    EXPECT_TRUE(reader.errors().empty()) << merged;
    value.key_hashes = {key_hash(value.workspace + "-key")};
    return value;
}

/// Adds the entries, engines, the service `orders` and the contracts of a scenario.
void build_world(world& simulation, const json& scenario) {
    const auto entries = scenario.value("entries", json{{"e1", "salt-lake"}});
    const auto engines = scenario.value("engines", json{{"g1", "salt-lake"}, {"g2", "howrah"}});
    const auto contracts = scenario.value("contracts", json::array({json::object()}));
    for (const auto& [name, zone] : entries.items()) {
        simulation.add_entry(name, zone);
    }
    for (const auto& [name, zone] : engines.items()) {
        fakes::engine_model_settings settings;
        settings.name = name;
        settings.seed = scenario.value("seed", 1U);
        simulation.add_engine(settings, zone);
    }
    simulation.add_service("orders", {"/place"});
    for (const auto& changes : contracts) {
        simulation.put_contract(make_contract(changes));
    }
}

void check_call_expectation(const world& simulation, const json& line) {
    const auto& call = simulation.call(string_at(line, "call"));
    if (line.contains("outcome")) {
        ASSERT_TRUE(call.result) << line;
        EXPECT_EQ(to_string(*call.result), string_at(line, "outcome")) << line;
    }
    if (line.contains("error")) {
        ASSERT_TRUE(call.failure) << line;
        EXPECT_EQ(to_string(*call.failure), string_at(line, "error")) << line;
    }
    if (line.contains("replayed")) {
        EXPECT_EQ(call.is_replayed, line["replayed"].get<bool>()) << line;
    }
    if (line.contains("executions")) {
        EXPECT_EQ(simulation.engine_executions(call.request),
                  line["executions"].get<std::uint32_t>())
            << line;
    }
    if (line.contains("first_token_by")) {
        ASSERT_TRUE(call.first_token_at) << line;
        EXPECT_LE(*call.first_token_at, parse_time(line["first_token_by"])) << line;
    }
    if (line.contains("ended_by")) {
        ASSERT_TRUE(call.ended_at) << line;
        EXPECT_LE(*call.ended_at, parse_time(line["ended_by"])) << line;
    }
}

void check_expectation(world& simulation, const json& line) {
    if (line.contains("call")) {
        check_call_expectation(simulation, line);
    } else if (line.contains("key")) {
        const auto& executions = simulation.service("orders").executions;
        const auto found = executions.find(string_at(line, "key"));
        EXPECT_EQ(found == executions.end() ? 0U : found->second,
                  line["executions"].get<std::uint32_t>())
            << line;
    } else {
        ADD_FAILURE() << "line of expect without call and key: " << line;
    }
}

void run_scenario(const json& scenario) {
    SCOPED_TRACE(scenario.at("name").get<std::string>());
    world simulation{scenario.value("seed", 1U)};
    build_world(simulation, scenario);
    for (const auto& line : scenario.at("steps")) {
        simulation.run_until(parse_time(line.at("at")));
        const auto verb = verbs.find(string_at(line, "do"));
        ASSERT_NE(verb, verbs.end()) << line;
        verb->second(simulation, line);
        EXPECT_EQ(simulation.find_violations(false), std::vector<std::string>{});
    }
    simulation.run_until(parse_time(scenario.at("until")));
    for (const auto& line : scenario.at("expect")) {
        check_expectation(simulation, line);
    }
    EXPECT_EQ(simulation.find_violations(true), std::vector<std::string>{});
}

std::vector<std::filesystem::path> scenario_files() {
    std::vector<std::filesystem::path> files;
    for (const auto& item :
         std::filesystem::directory_iterator{MAGNOLIA_SOURCE_DIR "/tests/scenarios"}) {
        files.push_back(item.path());
    }
    std::ranges::sort(files);
    return files;
}

class scenario : public ::testing::TestWithParam<std::filesystem::path> {};

TEST_P(scenario, holds) {
    const auto document = read_yaml(GetParam());
    ASSERT_TRUE(document) << document.error().subject;
    for (const auto& item : *document) {
        run_scenario(item);
    }
}

INSTANTIATE_TEST_SUITE_P(files, scenario, ::testing::ValuesIn(scenario_files()),
                         [](const auto& file) { return file.param.stem().string(); });

} // namespace
} // namespace magnolia::testing
