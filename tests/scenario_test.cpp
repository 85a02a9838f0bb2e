/// Runs the scenarios of tests/scenarios/*.yaml. CONTRIBUTING.md describes the language: a line of
/// `steps` says who does what when, a line of `expect` says what must hold. The oracle's promises
/// hold in every scenario besides.
#include "key_hash.h"
#include "settings.h"
#include "world.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <functional>

namespace magnolia::testing {
namespace {

using nlohmann::json;

time_point moment(const json& ms) {
    return time_point{std::chrono::milliseconds{ms.get<std::int64_t>()}};
}

std::string text(const json& line, const char* key) {
    return line.at(key).get<std::string>();
}

/// Verbs of the language; each takes its line.
const std::map<std::string, std::function<void(world&, const json&)>> verbs{
    {"ask",
     [](world& w, const json& line) {
         w.start_completion(text(line, "call"), text(line, "entry"),
                            line.value("workspace", "shop"), "model", line.value("prompt", 1000U),
                            line.value("max", 20U));
     }},
    {"order",
     [](world& w, const json& line) {
         w.start_order(text(line, "call"), text(line, "entry"), line.value("workspace", "shop"),
                       "orders", line.value("path", "/place"), line.value("key", ""));
     }},
    {"hang_up", [](world& w, const json& line) { w.disconnect_caller(text(line, "call")); }},
    {"crash_engine", [](world& w, const json& line) { w.crash_engine(text(line, "who")); }},
    {"restart_engine", [](world& w, const json& line) { w.restart_engine(text(line, "who")); }},
    {"pause_engine", [](world& w, const json& line) { w.pause_engine(text(line, "who"), true); }},
    {"continue_engine",
     [](world& w, const json& line) { w.pause_engine(text(line, "who"), false); }},
    {"drain_engine", [](world& w, const json& line) { w.drain_engine(text(line, "who")); }},
    {"crash_entry", [](world& w, const json& line) { w.crash_entry(text(line, "who")); }},
    {"restart_entry", [](world& w, const json& line) { w.restart_entry(text(line, "who")); }},
    {"pause_entry", [](world& w, const json& line) { w.pause_entry(text(line, "who"), true); }},
    {"continue_entry", [](world& w, const json& line) { w.pause_entry(text(line, "who"), false); }},
    {"stop_entry", [](world& w, const json& line) { w.stop_entry(text(line, "who")); }},
    {"store_down", [](world& w, const json& /*line*/) { w.set_store_down(true); }},
    {"store_up", [](world& w, const json& /*line*/) { w.set_store_down(false); }},
    {"store_loses_answers",
     [](world& w, const json& line) { w.set_store_loses_answers(line.value("on", true)); }},
    {"service_loses_answers",
     [](world& w, const json& line) {
         w.service("orders").loses_answers = line.value("on", true);
     }},
    {"service_refuses",
     [](world& w, const json& line) { w.service("orders").refuses = line.value("on", true); }},
    {"service_down",
     [](world& w, const json& line) { w.service("orders").is_down = line.value("on", true); }},
    {"frame_faults",
     [](world& w, const json& line) {
         w.set_frame_faults(line.value("twice", 0.0), line.value("late", 0.0));
     }},
};

contract contract_of(const json& changes) {
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

void build(world& w, const json& scenario) {
    const auto entries = scenario.value("entries", json{{"e1", "salt-lake"}});
    const auto engines = scenario.value("engines", json{{"g1", "salt-lake"}, {"g2", "howrah"}});
    const auto contracts = scenario.value("contracts", json::array({json::object()}));
    for (const auto& [name, zone] : entries.items()) {
        w.add_entry(name, zone);
    }
    for (const auto& [name, zone] : engines.items()) {
        fakes::engine_model_settings settings;
        settings.name = name;
        settings.seed = scenario.value("seed", 1U);
        w.add_engine(settings, zone);
    }
    w.add_service("orders", {"/place"});
    for (const auto& changes : contracts) {
        w.put_contract(contract_of(changes));
    }
}

void check_call(const world& w, const json& line) {
    const auto& call = w.call(text(line, "call"));
    if (line.contains("outcome")) {
        ASSERT_TRUE(call.result) << line;
        EXPECT_EQ(to_string(*call.result), text(line, "outcome")) << line;
    }
    if (line.contains("error")) {
        ASSERT_TRUE(call.failure) << line;
        EXPECT_EQ(to_string(*call.failure), text(line, "error")) << line;
    }
    if (line.contains("replayed")) {
        EXPECT_EQ(call.is_replayed, line["replayed"].get<bool>()) << line;
    }
    if (line.contains("executions")) {
        EXPECT_EQ(w.engine_executions(call.request), line["executions"].get<std::uint32_t>())
            << line;
    }
    if (line.contains("first_token_by")) {
        ASSERT_TRUE(call.first_token_at) << line;
        EXPECT_LE(*call.first_token_at, moment(line["first_token_by"])) << line;
    }
    if (line.contains("ended_by")) {
        ASSERT_TRUE(call.ended_at) << line;
        EXPECT_LE(*call.ended_at, moment(line["ended_by"])) << line;
    }
}

void check(world& w, const json& line) {
    if (line.contains("call")) {
        check_call(w, line);
    } else if (line.contains("key")) {
        const auto& executions = w.service("orders").executions;
        const auto found = executions.find(text(line, "key"));
        EXPECT_EQ(found == executions.end() ? 0U : found->second,
                  line["executions"].get<std::uint32_t>())
            << line;
    } else {
        ADD_FAILURE() << "a line of expect names neither call nor key: " << line;
    }
}

void run(const json& scenario) {
    SCOPED_TRACE(scenario.at("name").get<std::string>());
    world w{scenario.value("seed", 1U)};
    build(w, scenario);
    for (const auto& line : scenario.at("steps")) {
        w.run_until(moment(line.at("at")));
        const auto verb = verbs.find(text(line, "do"));
        ASSERT_NE(verb, verbs.end()) << line;
        verb->second(w, line);
        EXPECT_EQ(w.find_violations(false), std::vector<std::string>{});
    }
    w.run_until(moment(scenario.at("until")));
    for (const auto& line : scenario.at("expect")) {
        check(w, line);
    }
    EXPECT_EQ(w.find_violations(true), std::vector<std::string>{});
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
        run(item);
    }
}

INSTANTIATE_TEST_SUITE_P(files, scenario, ::testing::ValuesIn(scenario_files()),
                         [](const auto& file) { return file.param.stem().string(); });

} // namespace
} // namespace magnolia::testing
