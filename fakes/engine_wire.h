/// Server side of the engine protocol in docs/backends/engine.md: parses commands from HTTP
/// requests and formats events and reports. Free functions without state.
#pragma once

#include "engine_model.h"
#include "http_types.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>

namespace magnolia::fakes {

/// Returns the engine of this process with an address, ADDRESS:PORT; invalid if there is none.
using engine_finder = std::function<engine_handle(std::string_view address)>;

/// A command and the owner of the memory that it uses.
struct received_command {
    engine_command command;
    memory_owner owner;
};

/// Parses a command. Errors: bad_request, not_found for an unknown path.
/// @param time_scale  virtual seconds per real second; times of the protocol are real.
[[nodiscard]] result<received_command> parse_command(const http_request& request,
                                                     const engine_finder& find, double time_scale);
/// Parses an order. Errors: bad_request.
[[nodiscard]] result<engine_order> parse_order(const http_request& request);

[[nodiscard]] attempt_id attempt_of(const engine_event& event);
/// Formats the line of an event in a stream, including the line break.
[[nodiscard]] std::string event_line(const engine_event& event);
/// Formats the line that reports that the engine still works on an attempt.
[[nodiscard]] std::string keep_alive_line(const attempt_id& id);
/// Returns the response to a command that did not run, with the statement that it did not.
[[nodiscard]] http_response refusal_response(const error& failure);

// Bodies of the reports: load, status, reserved memory, and the counters of the control listener.
[[nodiscard]] nlohmann::json load_json(const engine_load& load, double time_scale);
[[nodiscard]] nlohmann::json status_json(const engine_status& status);
[[nodiscard]] nlohmann::json memory_json(const std::vector<held_memory>& reservations,
                                         double time_scale);
[[nodiscard]] nlohmann::json counts_json(const engine_model& engine, time_point now);

} // namespace magnolia::fakes
