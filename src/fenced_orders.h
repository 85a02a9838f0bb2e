/// Reconciliation of model engines with their desired state, by orders that carry the fencing token
/// of the zone's lease.
#pragma once

#include "order_port.h"

#include <map>
#include <optional>

namespace magnolia {

/// Model or adapter that an engine should have loaded.
struct desired_item {
    std::string name;
    std::string version;
    /// Size of its weights.
    std::uint64_t bytes = 0;

    bool operator==(const desired_item&) const = default;
};

/// Desired state of an engine.
struct desired_engine {
    std::vector<desired_item> models;
    std::vector<desired_item> adapters;
    engine_role role = engine_role::any;
    bool is_leaving = false;
    /// Whether the engine refuses orders with an old fencing token.
    bool checks_fencing = true;
};

/// Permission to send orders at one moment, taken from the lease.
struct order_permit {
    /// 0 if this process does not hold the lease.
    std::uint64_t fencing_token = 0;
    bool may_send_order = false;
    /// The same for engines that do not check fencing tokens.
    bool may_send_unfenced_order = false;
};

/// Bounds and timing of the orders.
struct fenced_order_settings {
    /// Loads in progress at once; bounded because not all serving engines may read weights
    /// together.
    std::uint32_t max_loads = 2;
    /// Shortest time between two attempts at one engine after a failure; 5 s.
    duration retry_interval{5000000};
    /// Largest age of a status that an order is based on; 5 s.
    duration max_status_age{5000000};
};

/// Request for bytes of the weight store's read budget, to be granted before an engine loads an
/// item.
struct weight_request {
    engine_handle engine;
    std::uint64_t bytes = 0;
};

/// Next action of the control process.
using control_step = std::variant<weight_request, engine_order>;

/// Reconciler of one control process: compares the desired state of each engine with its last
/// status and decides on the next order. Owned by the control process (magnolia-control). Not
/// thread-safe; does no I/O.
///
/// Each engine has at most one order in progress. After each order, whatever its answer, the
/// engine's status is read before the next one: an order whose answer was lost is neither repeated
/// blindly nor assumed to be done.
class fenced_orders {
public:
    explicit fenced_orders(fenced_order_settings settings) : settings_{settings} {}

    /// Sets the desired state of an engine; adds the engine if it is unknown.
    void set_desired(engine_handle engine, desired_engine desired);
    void remove_engine(engine_handle engine) { engines_.erase(engine); }
    /// Desired state of an engine; null if the engine is unknown.
    [[nodiscard]] const desired_engine* desired(engine_handle engine) const;

    /// Records the status of an engine.
    /// @param now  time at which the status was requested; it describes this time or a later one.
    void on_status(engine_handle engine, const engine_status& status, time_point now);
    /// Handles the answer of the weight store. The load is ordered after the granted wait.
    void on_weight_grant(engine_handle engine, result<std::chrono::milliseconds> wait,
                         time_point now);
    /// Handles the answer to an order. Success or failure, the status is read again.
    void on_order_answered(engine_handle engine, const result<void>& answer, time_point now);

    /// Returns the steps that are due. The caller has to take a new permit from the lease right
    /// before it sends each order.
    [[nodiscard]] std::vector<control_step> poll(const order_permit& permit, time_point now);

    /// Engines whose status has to be read before the next order.
    [[nodiscard]] std::vector<engine_handle> engines_needing_status(time_point now) const;
    /// Whether every engine has its desired state, according to its last status.
    [[nodiscard]] bool is_converged() const;

private:
    /// Reply that is awaited for an engine.
    enum class pending_reply : std::uint8_t { none, weight, order };

    /// Desired and last known state of one engine, and the progress of its next step.
    struct engine_record {
        desired_engine desired;
        std::optional<engine_status> status;
        time_point status_at{};
        pending_reply pending = pending_reply::none;
        /// Time of the last order or of its answer; an order is based only on a later status.
        time_point status_required_after = time_point::min();
        time_point next_step_due{};
        /// Load order whose bytes were requested or granted, and the time from which they may be
        /// read.
        std::optional<engine_order> pending_load;
        time_point load_allowed_at{};
    };

    /// Whether the last status is recent enough to base an order on.
    [[nodiscard]] bool has_fresh_status(const engine_record& record, time_point now) const;
    /// Engines that load weights, or are about to.
    [[nodiscard]] std::uint32_t loads_in_progress() const;
    /// Next step of an engine that has a fresh status; nothing if it has its desired state, or if
    /// the step is a load and `may_load` is false.
    std::optional<control_step> next_step(engine_handle engine, engine_record& record,
                                          std::uint64_t fencing_token, bool may_load,
                                          time_point now);

    fenced_order_settings settings_;
    std::map<engine_handle, engine_record> engines_;
};

/// Returns the first order that brings an engine closer to its desired state, without a fencing
/// token, or nothing if it has that state. Surplus items are unloaded before missing ones are
/// loaded.
[[nodiscard]] std::optional<engine_order>
next_order(engine_handle engine, const desired_engine& desired, const engine_status& status);

} // namespace magnolia
