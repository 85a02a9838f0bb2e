/// Events from callers to an entry and commands back to them. The decision logic of an entry sees
/// callers only through these types, not through HTTP.
#pragma once

#include "engine_port.h"

#include <optional>

namespace magnolia {

/// Identifies one call on this entry; assigned by the component that serves callers.
using caller_handle = handle<struct caller_tag>;

/// The caller's workspace and key, and its deadline.
struct caller_identity {
    std::string workspace;
    /// API key as the caller sent it; only its hash is stored.
    std::string key;
    /// Deadline set by the caller; the deadline of the contract applies as well.
    std::optional<std::chrono::milliseconds> deadline;
};

/// Requests a completion from a model.
struct completion_request {
    caller_handle caller;
    caller_identity identity;
    std::string model;
    std::string adapter;
    shared_text prompt;
    std::uint32_t max_tokens = 0;
};

/// Idempotency key of a call and the time of its creation.
struct idempotency_key {
    std::string key;
    /// Milliseconds since the Unix epoch.
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

/// Requests the recorded outcome of the call with an idempotency key.
struct outcome_request {
    caller_handle caller;
    caller_identity identity;
    idempotency_key key;
};

/// The caller closed its connection or does not read its answer fast enough.
struct caller_gone {
    caller_handle caller;
};

using caller_event =
    std::variant<completion_request, service_request, outcome_request, caller_gone>;

/// Sends generated text to the caller.
struct caller_text {
    caller_handle caller;
    request_id request;
    /// Position of the first token of the text in the answer; the tokens are consecutive.
    std::uint32_t offset = 0;
    std::string text;
};

/// Ends a complete completion.
struct caller_done {
    caller_handle caller;
    request_id request;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t generated_tokens = 0;
};

/// Sends the answer of a plain service, or the recorded answer of an earlier call with the same
/// idempotency key.
struct caller_answer {
    caller_handle caller;
    request_id request;
    unsigned status = 200;
    std::string body;
    /// Whether the answer is a recorded one.
    bool is_replayed = false;
};

/// Ends the call without a complete answer.
struct caller_failed {
    caller_handle caller;
    request_id request;
    error failure;
    outcome result = outcome::not_run;
};

using caller_command = std::variant<caller_text, caller_done, caller_answer, caller_failed>;

} // namespace magnolia
