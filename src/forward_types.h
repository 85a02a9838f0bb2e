/// What a gateway knows of routes, workspaces, services and backend servers, and of one request.
/// The values hold no name of any deployment's wire; a deployment's codec fills them
/// (gateway_port.h).
#pragma once

#include "http_types.h"

#include <magnolia/error.h>
#include <magnolia/types.h>

#include <optional>
#include <string>
#include <vector>

namespace magnolia {

using std::chrono::milliseconds;

/// What may be done with a request whose first run is in doubt.
enum class repeat_rule : std::uint8_t {
    /// It may run any number of times.
    idempotent,
    /// It may run once at most.
    never,
    /// A stream of events that another backend server may continue after the last event that the
    /// caller has.
    resumable,
};

/// A service that a route leads to, with its share of the route's requests.
struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;
};

/// Where requests of a host and path go, and what they may cost.
struct route_info {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    repeat_rule repeat = repeat_rule::never;
    /// The answer is a stream of events.
    bool is_stream = false;
    /// Whether a workspace's key is needed.
    bool needs_key = true;
    /// Longest time until the final answer.
    milliseconds timeout{30000};
    /// Time to the answer, or to the first event of a stream, that counts as met.
    milliseconds target_latency{1000};
    /// Longest pause between two events that counts as met; zero if none is stated.
    milliseconds target_pause{0};
    /// Backend servers that one request may be sent to.
    std::uint32_t max_attempts = 1;
    std::vector<weighted_service> services;
};

/// Published speed and size of the engines of a service.
struct engine_profile {
    /// Requests that are processed at once.
    std::uint32_t slots = 16;
    /// KV memory, tokens.
    std::uint32_t memory_tokens = 0;
    /// Steps of a pass in which answers are written.
    std::uint32_t steps_per_pass = 1;
    double step_ms = 1;
    /// Added to a step for each request that writes.
    double step_ms_per_request = 0;
    /// Added to a step for each thousand tokens of context of the requests that write.
    double step_ms_per_1k_context = 0;
    double prefill_tokens_per_ms = 100;
    /// Reading time for a million pairs of a token and an earlier one, ms.
    double prefill_ms_per_million_pairs = 0;
    /// Prompt tokens read in one step at most.
    std::uint32_t prefill_tokens_per_step = 2048;
    /// Mean length of answers, tokens.
    std::uint32_t mean_answer_tokens = 200;
};

/// A service of the configuration.
struct routed_service {
    std::string name;
    /// Set for model engines.
    std::optional<engine_profile> engine;
};

/// What callers may send, and how long they may take.
struct caller_limits {
    std::uint32_t max_header_bytes = 16384;
    std::size_t max_body_bytes = std::size_t{4} << 20U;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

struct workspace_info {
    std::string name;
    std::vector<std::string> keys;
};

/// One version of the operators' configuration.
struct routing_config {
    std::uint64_t version = 0;
    std::vector<route_info> routes;
    std::vector<routed_service> services;
    caller_limits bounds;
    std::vector<workspace_info> workspaces;
};

/// One start of a backend server, as the platform's list has it.
struct backend_info {
    /// Differs for each start in general, not always.
    std::string id;
    std::string service;
    endpoint address;
    std::string zone;
    std::uint32_t slots = 1;
    /// It takes no new work.
    bool is_leaving = false;
    /// Start of the process in ms since 1970; tells starts under one id apart.
    std::int64_t started_ms = 0;

    bool operator==(const backend_info&) const = default;
};

/// What the header of a caller's request says, beside what HTTP itself says.
struct request_head {
    /// Number of the caller's attempt; the same in answers and logs.
    std::string attempt;
    std::string key;
    std::optional<milliseconds> time_left;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_answer_tokens = 0;
    /// The caller's guess at the length of the answer, tokens; 0 if none.
    std::uint32_t answer_tokens_hint = 0;
    /// The caller has the events up to this one.
    std::optional<std::uint64_t> resume_after;
};

/// Another backend server that reads a part of the prompt.
struct helper_ref {
    endpoint address;
    /// Reservation there that holds the part; empty if the first backend server holds it.
    std::string reservation;
};

/// What the gateway adds to a request for one attempt.
struct attempt_parameters {
    /// Time until which an answer is of use.
    milliseconds time_left{0};
    /// Id of the backend server that is meant; another one at its address refuses.
    std::string backend_id;
    std::string workspace;
    std::vector<helper_ref> helpers;
    std::optional<std::uint64_t> resume_after;
};

/// What the header of a backend server's answer says.
struct answer_head {
    /// The backend server proves that it has not run the request.
    bool is_not_run = false;
    /// Another backend server has the address now.
    bool is_other_backend = false;
    /// The body is the backend server's own.
    bool is_signed = false;
    bool is_event_stream = false;
    /// Backend server at fault, if the answer names one; it may be another one than answers.
    std::optional<endpoint> faulty_backend;
    milliseconds retry_after{0};
};

} // namespace magnolia
