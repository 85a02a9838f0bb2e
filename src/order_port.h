/// Orders of the control process to a model engine, and the state it reads back.
#pragma once

#include "engine_port.h"

#include <string>
#include <vector>

namespace magnolia {

/// Owner of a memory reservation on an engine.
struct memory_owner {
    /// Name of the owning process.
    std::string name;
    /// Random number drawn at each start of the process; distinguishes a restarted process from its
    /// predecessor.
    std::uint64_t epoch = 0;

    auto operator<=>(const memory_owner&) const = default;
};

/// A memory reservation as reported by the engine.
struct held_memory {
    std::string reservation;
    memory_owner owner;
    std::uint32_t tokens = 0;
    /// Time until the engine frees the reservation. Negative if the expiry has passed and the
    /// engine has not freed it.
    duration expires_in{0};
};

/// Kind of change that an order requests.
enum class order_kind : std::uint8_t {
    load_model,
    unload_model,
    load_adapter,
    unload_adapter,
    set_role,
    drain,
    undrain,
};

/// One order. Idempotent: an order for the state that already holds succeeds without effect.
struct engine_order {
    engine_handle engine;
    order_kind kind = order_kind::load_model;
    /// Name of the model or adapter; empty for a role or drain order.
    std::string name;
    /// Version to load; an engine holds one version per name.
    std::string version;
    engine_role role = engine_role::any;
    /// Fencing token; increases each time the lease of the zone changes its holder.
    std::uint64_t fencing = 0;

    bool operator==(const engine_order&) const = default;
};

/// A model or adapter loaded on an engine.
struct loaded_item {
    std::string name;
    std::string version;
    /// False while the weights are being loaded.
    bool is_ready = false;

    bool operator==(const loaded_item&) const = default;
};

/// State of an engine as reported by the engine.
struct engine_status {
    /// Random number drawn at each start of the engine. When it changes, everything the engine held
    /// before is gone.
    std::uint64_t boot = 0;
    std::vector<loaded_item> models;
    std::vector<loaded_item> adapters;
    engine_role role = engine_role::any;
    host_state state = host_state::live;
    /// Highest fencing token received; 0 if the engine does not check fencing tokens.
    std::uint64_t fencing = 0;
};

} // namespace magnolia
