/// Orders that bring engines from what they are to what is wanted, each under the fencing number of
/// the zone's lease. Pure decisions.
#pragma once

#include "order_port.h"

#include <map>
#include <optional>

namespace magnolia {

/// Weights of a model or an adapter.
struct desired_item {
    std::string name;
    std::string version;
    std::uint64_t bytes = 0;

    bool operator==(const desired_item&) const = default;
};

/// What an engine should have.
struct desired_engine {
    std::vector<desired_item> models;
    std::vector<desired_item> adapters;
    engine_role role = engine_role::any;
    bool is_leaving = false;
    /// Whether the engine refuses orders with an old fencing number.
    bool checks_fencing = true;
};

/// Whether orders may be sent at this moment; asked of the lease right before each act.
struct order_permit {
    /// 0 if the lease is not held.
    std::uint64_t fencing_token = 0;
    bool may_send_order = false;
    /// The same for engines that ignore fencing.
    bool may_send_unfenced_order = false;
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

    void set_desired(engine_handle engine, desired_engine desired);
    void remove_engine(engine_handle engine) { engines_.erase(engine); }
    [[nodiscard]] const desired_engine* desired(engine_handle engine) const;

    void on_status(engine_handle engine, const engine_status& status, time_point now);
    /// Answer of the weight store; the load is ordered after the wait.
    void on_weight_grant(engine_handle engine, result<std::chrono::milliseconds> wait,
                         time_point now);
    void on_order_answered(engine_handle engine, const result<void>& answer, time_point now);

    /// Steps due now. The permit has to be asked of the lease again right before each is sent.
    [[nodiscard]] std::vector<control_step> poll(const order_permit& permit, time_point now);

    /// Engines whose status has to be read before anything can be ordered.
    [[nodiscard]] std::vector<engine_handle> engines_needing_status(time_point now) const;
    /// Whether every engine is as it is wanted, by its last status.
    [[nodiscard]] bool is_converged() const;

private:
    /// What an engine waits for.
    enum class pending_reply : std::uint8_t { none, weight, order };

    struct engine_record {
        desired_engine desired;
        std::optional<engine_status> status;
        time_point status_at{};
        pending_reply pending = pending_reply::none;
        /// Moment of the last order or its answer; a status that an order is based on is later.
        time_point status_required_after = time_point::min();
        time_point next_step_due{};
        /// Load whose bytes were granted, and when they may be read.
        std::optional<engine_order> granted_load;
        time_point load_allowed_at{};
    };

    [[nodiscard]] bool has_fresh_status(const engine_record& record, time_point now) const;
    [[nodiscard]] std::uint32_t loads_in_progress() const;
    std::optional<control_step> next_step(engine_handle engine, engine_record& record,
                                          std::uint64_t fencing_token, bool may_load,
                                          time_point now);

    fenced_order_settings settings_;
    std::map<engine_handle, engine_record> engines_;
};

/// The first order that brings an engine closer to what is wanted, without its fencing number: what
/// is not wanted goes before what is loaded. None if it is as wanted.
[[nodiscard]] std::optional<engine_order>
next_order(engine_handle engine, const desired_engine& desired, const engine_status& status);

} // namespace magnolia
