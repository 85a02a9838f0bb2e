/// What callers ask of an entry and what they are told: the only types that the decisions know of
/// callers.
#pragma once

#include "engine_port.h"

#include <optional>

namespace magnolia {

/// One call of a caller on this entry, numbered by the caller side.
using caller_handle = handle<struct caller_tag>;

/// Who calls, and by when the answer is needed.
struct caller_identity {
    std::string workspace;
    /// Key as the caller sent it; only its hash is kept.
    std::string key;
    /// Deadline that the caller set; the contract's holds too.
    std::optional<std::chrono::milliseconds> deadline;
};

/// Asks a model for a completion.
struct completion_request {
    caller_handle caller;
    caller_identity identity;
    std::string model;
    std::string adapter;
    shared_text prompt;
    std::uint32_t max_tokens = 0;
};

/// Idempotency key of a call, and its creation in ms since 1970.
struct idempotency_key {
    std::string key;
    std::int64_t created_ms = 0;
};

/// Calls a plain service.
struct service_request {
    caller_handle caller;
    caller_identity identity;
    std::string service;
    std::string path;
    shared_text body;
    std::optional<idempotency_key> key;
};

/// Asks what became of the call with an idempotency key.
struct outcome_request {
    caller_handle caller;
    caller_identity identity;
    idempotency_key key;
};

/// Continues a stream from an offset, on a new connection.
struct resume_request {
    caller_handle caller;
    caller_identity identity;
    request_id request;
    std::uint32_t offset = 0;
};

/// The caller closed its connection, or reads too slowly.
struct caller_gone {
    caller_handle caller;
};

using caller_event =
    std::variant<completion_request, service_request, outcome_request, resume_request, caller_gone>;

/// Generated text; tokens are consecutive from the offset.
struct caller_text {
    caller_handle caller;
    request_id request;
    std::uint32_t offset = 0;
    std::string text;
};

/// The completion is whole.
struct caller_done {
    caller_handle caller;
    request_id request;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t generated_tokens = 0;
};

/// The answer of a plain service, or the recorded one of an earlier call with the same key.
struct caller_answer {
    caller_handle caller;
    request_id request;
    unsigned status = 200;
    std::string body;
    bool is_replayed = false;
};

/// The call ended without a whole answer.
struct caller_failed {
    caller_handle caller;
    request_id request;
    error failure;
    outcome result = outcome::not_run;
};

using caller_command = std::variant<caller_text, caller_done, caller_answer, caller_failed>;

} // namespace magnolia
