/// Protocol of engines that speak HTTP with JSON: encodes commands as requests and decodes answers
/// to events; see docs/backends/engine.md. Performs no I/O.
#pragma once

#include "http_types.h"
#include "order_port.h"

#include <functional>

namespace magnolia {

/// Returns the address at which other engines reach an engine, for KV cache imports.
using engine_namer = std::function<std::string(engine_handle)>;

/// An engine that speaks HTTP with JSON.
struct http_engine {
    endpoint address;
};

/// Text form of an attempt id: request id, slash, number.
[[nodiscard]] std::string to_string(const attempt_id& id);

/// HTTP request for a command. @param owner  owner of the memory that the command uses.
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

/// Keep-alive line: the engine is working on the attempt and has no event yet.
struct engine_keepalive {};

/// One decoded line of a stream.
using engine_line = std::variant<engine_keepalive, engine_accepted, engine_tokens, engine_finished,
                                 engine_part_ready, engine_failed>;

/// Decodes one line of the stream of an attempt. Errors: frame_invalid if it is malformed or
/// belongs to another attempt.
[[nodiscard]] result<engine_line> decode_line(std::string_view line, const attempt_id& id,
                                              std::string_view id_text, engine_handle engine);

/// Error of an answer with a status other than 200.
struct engine_refusal {
    error failure;
    /// not_run if the engine stated that it ran nothing, else unknown.
    run_certainty certainty = run_certainty::unknown;
    /// The engine is leaving or draining and refuses new requests.
    bool is_leaving = false;
};

[[nodiscard]] engine_refusal decode_refusal(unsigned status, std::string_view body);
[[nodiscard]] result<engine_load> decode_load(std::string_view body);
[[nodiscard]] result<engine_status> decode_status(std::string_view body);
[[nodiscard]] result<std::vector<held_memory>> decode_memory(std::string_view body);

} // namespace magnolia
