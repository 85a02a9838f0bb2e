/// Orders that bring engines from what they are to what is wanted, each under the fencing number of
/// the zone's lease. Pure decisions.
#pragma once

#include "order_port.h"

#include <map>
#include <optional>

namespace magnolia {

/// Weights of a model or an adapter.
struct wanted_item {
    std::string name;
    std::string version;
    std::uint64_t bytes = 0;

    bool operator==(const wanted_item&) const = default;
};

/// What an engine should have.
struct wanted_engine {
    std::vector<wanted_item> models;
    std::vector<wanted_item> adapters;
    engine_role role = engine_role::any;
    bool is_leaving = false;
    /// Whether the engine refuses orders with an old fencing number.
    bool checks_fencing = true;
};

/// Whether orders may be sent at this moment; asked of the lease right before each act.
struct order_permit {
    /// 0 if the lease is not held.
    std::uint64_t fencing = 0;
    bool may_act = false;
    /// The same for engines that ignore fencing.
    bool may_act_unfenced = false;
};

struct fenced_order_settings {
    /// Loads under way at once; serving engines must not all read weights together.
    std::uint32_t max_loads = 2;
    /// Time between two tries at one engine.
    duration retry_interval{5000000};
    /// Oldest status that an order may be based on.
    duration max_status_age{5000000};
};

/// Bytes to take from the weight store's budget before an engine loads an item.
struct weight_request {
    engine_handle engine;
    std::uint64_t bytes = 0;
};

using control_step = std::variant<weight_request, engine_order>;

/// Orders of one control process. Not thread-safe.
///
/// One order at a time is under way at an engine. After each, whatever its answer, the engine's
/// status is read before the next: an order whose answer was lost is neither repeated blindly nor
/// taken for done.
class fenced_orders {
public:
    explicit fenced_orders(fenced_order_settings settings) : settings_{settings} {}

    void set_wanted(engine_handle engine, wanted_engine wanted);
    void remove_engine(engine_handle engine) { engines_.erase(engine); }
    [[nodiscard]] const wanted_engine* wanted(engine_handle engine) const;

    void on_status(engine_handle engine, const engine_status& status, time_point now);
    /// Answer of the weight store; the load is ordered after the wait.
    void on_weight(engine_handle engine, result<std::chrono::milliseconds> wait, time_point now);
    void on_order_answered(engine_handle engine, const result<void>& answer, time_point now);

    /// Steps due now. The permit has to be asked of the lease again right before each is sent.
    [[nodiscard]] std::vector<control_step> poll(const order_permit& permit, time_point now);

    /// Engines whose status has to be read before anything can be ordered.
    [[nodiscard]] std::vector<engine_handle> needs_status(time_point now) const;
    /// Whether every engine is as it is wanted, by its last status.
    [[nodiscard]] bool is_settled() const;

private:
    /// What an engine waits for.
    enum class waiting : std::uint8_t { nothing, weight, order };

    struct record {
        wanted_engine wanted;
        std::optional<engine_status> status;
        time_point status_at{};
        waiting on = waiting::nothing;
        /// Moment of the last order or its answer; a status that an order is based on is later.
        time_point stale_before = time_point::min();
        time_point due{};
        /// Load whose bytes were granted, and when they may be read.
        std::optional<engine_order> granted;
        time_point granted_at{};
    };

    [[nodiscard]] bool is_fresh(const record& known, time_point now) const;
    [[nodiscard]] std::uint32_t loads_under_way() const;
    std::optional<control_step> next_step(engine_handle engine, record& known,
                                          std::uint64_t fencing, bool may_load, time_point now);

    fenced_order_settings settings_;
    std::map<engine_handle, record> engines_;
};

/// The first order that brings an engine closer to what is wanted, without its fencing number: what
/// is not wanted goes before what is loaded. None if it is as wanted.
[[nodiscard]] std::optional<engine_order>
next_order(engine_handle engine, const wanted_engine& wanted, const engine_status& status);

} // namespace magnolia
