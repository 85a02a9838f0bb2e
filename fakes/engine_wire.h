/// Engine's side of the protocol in docs/backends/engine.md: commands from requests, lines for
/// events.
#pragma once

#include "engine_model.h"
#include "http_types.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace magnolia::fakes {

/// Finds an engine of the same process by its address; invalid if it is another's.
using engine_finder = std::function<engine_handle(std::string_view address)>;

/// A command with its owner.
struct received_command {
    engine_command command;
    memory_owner owner;
};

/// Reads a command. Errors: bad_request, not_found for an unknown path.
[[nodiscard]] result<received_command> parse_command(const http_request& request,
                                                     const engine_finder& find, double time_scale);
/// Reads an order. Errors: bad_request.
[[nodiscard]] result<engine_order> parse_order(const http_request& request);

[[nodiscard]] attempt_id attempt_of(const engine_event& event);
/// Line of a stream for an event, with its line break.
[[nodiscard]] std::string event_line(const engine_event& event);
/// Line that says that the engine still works on an attempt.
[[nodiscard]] std::string keep_alive_line(const attempt_id& id);
/// Answer to a command that did not run.
[[nodiscard]] http_response refusal_response(const error& failure);

[[nodiscard]] nlohmann::json load_json(const engine_load& load, double time_scale);
[[nodiscard]] nlohmann::json status_json(const engine_status& status);
[[nodiscard]] nlohmann::json memory_json(const std::vector<held_memory>& reservations,
                                         double time_scale);
[[nodiscard]] nlohmann::json counts_json(const engine_model& engine, time_point now);

} // namespace magnolia::fakes
