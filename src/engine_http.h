/// Protocol of engines that speak HTTP with JSON: requests for commands, events from answers. See
/// docs/backends/engine.md. No I/O.
#pragma once

#include "http_types.h"
#include "order_port.h"

#include <functional>

namespace magnolia {

/// Address of an engine as other engines know it, for imports.
using engine_namer = std::function<std::string(engine_handle)>;

/// An engine that speaks HTTP with JSON.
struct http_engine {
    endpoint address;
};

/// Text form of an attempt: request id, a slash, number.
[[nodiscard]] std::string to_string(const attempt_id& id);

/// Request for a command of an owner.
[[nodiscard]] http_request encode(const engine_start& command, const memory_owner& owner,
                                  const engine_namer& namer);
[[nodiscard]] http_request encode(const engine_cancel& command, const memory_owner& owner,
                                  const engine_namer& namer);
[[nodiscard]] http_request encode(const engine_reserve& command, const memory_owner& owner,
                                  const engine_namer& namer);
[[nodiscard]] http_request encode(const engine_release& command, const memory_owner& owner,
                                  const engine_namer& namer);
[[nodiscard]] http_request encode(const engine_prefill_part& command, const memory_owner& owner,
                                  const engine_namer& namer);
[[nodiscard]] http_request encode(const engine_order& order);

/// The engine works on the attempt and has nothing to tell yet.
struct engine_keepalive {};

/// One line of a stream.
using engine_line = std::variant<engine_keepalive, engine_accepted, engine_tokens, engine_finished,
                                 engine_part_ready, engine_failed>;

/// Reads one line of the stream of an attempt. Errors: frame_invalid if it cannot be read or
/// belongs to another attempt.
[[nodiscard]] result<engine_line> decode_line(std::string_view line, const attempt_id& id,
                                              std::string_view id_text, engine_handle engine);

/// What an answer other than 200 proves.
struct engine_refusal {
    error failure;
    /// not_run if the engine stated so, else unknown.
    run_certainty certainty = run_certainty::unknown;
    bool is_leaving = false;
};

[[nodiscard]] engine_refusal decode_refusal(unsigned status, std::string_view body);
[[nodiscard]] result<engine_load> decode_load(std::string_view body);
[[nodiscard]] result<engine_status> decode_status(std::string_view body);
[[nodiscard]] result<std::vector<held_memory>> decode_memory(std::string_view body);

} // namespace magnolia
