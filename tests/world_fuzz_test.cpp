/// Property-based test of the complete decision code: random sequences of calls and faults, checked
/// by the oracle of the simulated world. RC_PARAMS sets the seed and the number of cases;
/// scripts/fuzz runs it for longer and prints the command that replays a failure.
#include "key_hash.h"
#include "world.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace magnolia::testing {
namespace {

/// Action of a step. Most faults have a step that ends them; a drain ends with the engine's
/// restart.
enum class step_kind : std::uint8_t {
    start_completion,
    start_order,
    repeat_order,
    disconnect_caller,
    crash_engine,
    restart_engine,
    pause_engine,
    continue_engine,
    drain_engine,
    crash_entry,
    restart_entry,
    pause_entry,
    continue_entry,
    store_down,
    store_up,
    store_loses_answers,
    store_keeps_answers,
    service_loses_answers,
    service_keeps_answers,
    service_down,
    service_up,
};

constexpr auto step_kinds = static_cast<std::uint8_t>(step_kind::service_up) + 1;
constexpr std::array<const char*, 3> entry_names{"e1", "e2", "e3"};
constexpr std::array<const char*, 3> engine_names{"g1", "g2", "g3"};
constexpr std::array<const char*, 3> zones{"salt-lake", "howrah", "new-town"};

/// One generated step.
struct step {
    step_kind kind = step_kind::start_completion;
    /// Index of the entry or engine that the step acts on.
    std::uint8_t target = 0;
    /// Virtual time before the step, ms.
    std::uint16_t delay_ms = 0;
};

// NOLINTNEXTLINE(readability-identifier-naming): RapidCheck requires this name.
void showValue(const step& item, std::ostream& out) {
    out << "{" << static_cast<int>(item.kind) << ", " << static_cast<int>(item.target) << ", "
        << item.delay_ms << "}";
}

rc::Gen<step> arbitrary_step() {
    // Half of the steps are drawn from the actions of callers, half from all actions.
    const auto kind =
        rc::gen::oneOf(rc::gen::inRange<int>(0, 4), rc::gen::inRange<int>(0, step_kinds));
    return rc::gen::map(
        rc::gen::tuple(kind, rc::gen::inRange<int>(0, 3), rc::gen::inRange<int>(0, 400)),
        [](const std::tuple<int, int, int>& drawn) {
            return step{static_cast<step_kind>(std::get<0>(drawn)),
                        static_cast<std::uint8_t>(std::get<1>(drawn)),
                        static_cast<std::uint16_t>(std::get<2>(drawn))};
        });
}

contract shop_contract() {
    contract value;
    value.workspace = "shop";
    value.models = {"model"};
    value.services = {"orders"};
    value.key_hashes = {key_hash("shop-key")};
    value.deadlines = {{1'100'000, std::chrono::seconds{4}, std::chrono::seconds{10}}};
    return value;
}

/// Applies steps to one simulated world and generates the names of calls and keys.
class step_runner {
public:
    explicit step_runner(std::uint64_t seed) : world_{seed} {
        for (std::size_t index = 0; index < entry_names.size(); ++index) {
            world_.add_entry(entry_names[index], zones[index]);
            fakes::engine_model_settings settings;
            settings.name = engine_names[index];
            settings.seed = seed + index;
            world_.add_engine(settings, zones[index]);
        }
        world_.add_service("orders", {"/place"});
        world_.put_contract(shop_contract());
    }

    void apply(const step& item) {
        world_.run_until(world_.now() + std::chrono::milliseconds{item.delay_ms});
        apply_action(item.kind, entry_names[item.target], engine_names[item.target]);
    }

    /// Ends the faults of entries, paused engines and the store, and simulates until all calls must
    /// have ended.
    void end_faults_and_finish() {
        for (const auto* name : entry_names) {
            world_.pause_entry(name, false);
            world_.restart_entry(name);
        }
        for (const auto* name : engine_names) {
            world_.pause_engine(name, false);
        }
        world_.set_store_down(false);
        world_.set_store_loses_answers(false);
        world_.run_until(world_.now() + std::chrono::seconds{30});
    }

    [[nodiscard]] const world& simulation() const { return world_; }

private:
    std::string next_call() { return "call " + std::to_string(++calls_); }
    std::string next_key() { return "key " + std::to_string(++keys_); }

    void apply_action(step_kind kind, const std::string& entry, const std::string& engine) {
        auto& orders = world_.service("orders");
        switch (kind) {
        case step_kind::start_completion:
            return world_.start_completion(next_call(), entry, "shop", "model", 1000, 30);
        case step_kind::start_order:
            return world_.start_order(next_call(), entry, "shop", "orders", "/place", next_key());
        case step_kind::repeat_order:
            return world_.start_order(next_call(), entry, "shop", "orders", "/place",
                                      "key " + std::to_string(std::max(keys_, 1)));
        case step_kind::disconnect_caller:
            return disconnect_first_caller();
        case step_kind::crash_engine:
            return world_.crash_engine(engine);
        case step_kind::restart_engine:
            return world_.restart_engine(engine);
        case step_kind::pause_engine:
            return world_.pause_engine(engine, true);
        case step_kind::continue_engine:
            return world_.pause_engine(engine, false);
        case step_kind::drain_engine:
            return world_.drain_engine(engine);
        case step_kind::crash_entry:
            return world_.crash_entry(entry);
        case step_kind::restart_entry:
            return world_.restart_entry(entry);
        case step_kind::pause_entry:
            return world_.pause_entry(entry, true);
        case step_kind::continue_entry:
            return world_.pause_entry(entry, false);
        case step_kind::store_down:
        case step_kind::store_up:
            return world_.set_store_down(kind == step_kind::store_down);
        case step_kind::store_loses_answers:
        case step_kind::store_keeps_answers:
            return world_.set_store_loses_answers(kind == step_kind::store_loses_answers);
        case step_kind::service_loses_answers:
        case step_kind::service_keeps_answers:
            orders.loses_answers = kind == step_kind::service_loses_answers;
            return;
        case step_kind::service_down:
        case step_kind::service_up:
            orders.is_down = kind == step_kind::service_down;
            return;
        }
    }

    void disconnect_first_caller() {
        for (const auto& [name, call] : world_.calls()) {
            if (!call.ended_at && call.prompt) {
                return world_.disconnect_caller(name);
            }
        }
    }

    world world_;
    int calls_ = 0;
    int keys_ = 0;
};

RC_GTEST_PROP(world_fuzz, promises_hold_under_any_faults, (std::uint64_t seed)) {
    const auto steps = *rc::gen::container<std::vector<step>>(arbitrary_step());
    step_runner run{seed};
    for (const auto& item : steps) {
        run.apply(item);
        RC_ASSERT(run.simulation().find_violations(false) == std::vector<std::string>{});
    }
    run.end_faults_and_finish();
    RC_ASSERT(run.simulation().find_violations(true) == std::vector<std::string>{});
}

} // namespace
} // namespace magnolia::testing
