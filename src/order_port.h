/// What the control process orders from a model engine and what it observes of one.
#pragma once

#include "engine_port.h"

#include <string>
#include <vector>

namespace magnolia {

/// Owner of memory on an engine.
struct memory_owner {
    /// Name of the process.
    std::string name;
    /// Random number of the process's start.
    std::uint64_t epoch = 0;

    auto operator<=>(const memory_owner&) const = default;
};

/// A reservation as the engine holds it.
struct held_memory {
    std::string reservation;
    memory_owner owner;
    std::uint32_t tokens = 0;
    /// Time until the engine frees it by itself; negative if it is past and the engine does not.
    duration expires_in{0};
};

/// What an order changes.
enum class order_kind : std::uint8_t {
    load_model,
    unload_model,
    load_adapter,
    unload_adapter,
    set_role,
    drain,
    undrain,
};

/// One order. Idempotent: an order for what is already so succeeds without effect.
struct engine_order {
    engine_handle engine;
    order_kind kind = order_kind::load_model;
    /// Model or adapter; empty for a role or drain order.
    std::string name;
    /// Version to load; an engine holds one version of a name.
    std::string version;
    engine_role role = engine_role::any;
    /// Rises with every change of the holder of the zone's lease.
    std::uint64_t fencing = 0;

    bool operator==(const engine_order&) const = default;
};

/// A model or an adapter on an engine.
struct loaded_item {
    std::string name;
    std::string version;
    /// False while its weights are being read.
    bool is_ready = false;

    bool operator==(const loaded_item&) const = default;
};

/// An engine's own account of what it has.
struct engine_status {
    /// Random number of the engine's start; what it held before is gone.
    std::uint64_t boot = 0;
    std::vector<loaded_item> models;
    std::vector<loaded_item> adapters;
    engine_role role = engine_role::any;
    host_state state = host_state::live;
    /// Highest fencing number that it has seen; 0 if it does not check.
    std::uint64_t fencing = 0;
};

} // namespace magnolia
