/// Data types of the gateway: configuration (routes, services, workspaces), backend servers, and
/// the parsed headers of requests and answers. They are independent of any wire format; a
/// deployment's gateway_codec (gateway_port.h) converts between them and its protocol.
#pragma once

#include "http_types.h"

#include <magnolia/error.h>
#include <magnolia/schema.h>
#include <magnolia/types.h>

#include <optional>
#include <string>
#include <vector>

namespace magnolia {

using std::chrono::milliseconds;

/// Whether a request may be sent again after an attempt that may have run.
enum class repeat_rule : std::uint8_t {
    /// Running it more than once is harmless.
    idempotent,
    /// It must run at most once.
    never,
    /// The answer is an event stream; another backend server can resume it after the last event
    /// that the caller has received.
    resumable,
};

/// A target service of a route. Requests are split among the services in proportion to weight.
struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;
};

/// Maps requests for a host and path prefix to services; holds their latency targets and limits.
struct route_info {
    std::string name;
    std::string host;
    /// Starts and ends with '/'.
    std::string path_prefix;
    repeat_rule repeat = repeat_rule::never;
    /// The answer is a stream of events.
    bool is_stream = false;
    /// Requests must carry a key of a workspace.
    bool needs_key = true;
    /// Longest time until the answer is complete.
    milliseconds timeout{30000};
    /// Latency objective: time to the answer, or to the first event of a stream.
    milliseconds target_latency{1000};
    /// Objective for the time between two events of a stream; zero means none.
    milliseconds target_pause{0};
    /// Most backend servers that one request may be sent to, first attempt and retries.
    std::uint32_t max_attempts = 1;
    /// Rank of its requests where capacity is short; 0 is the most urgent.
    std::uint32_t urgency = 0;
    std::vector<weighted_service> services;
};

/// Performance profile of the engines of a service, as the configuration publishes it. An engine
/// works in batch passes of one or more steps; engine_forecast.h describes the model.
struct engine_profile {
    /// Largest number of requests in a batch.
    std::uint32_t slots = 16;
    /// Capacity of the KV cache, tokens.
    std::uint32_t memory_tokens = 0;
    /// Steps of a pass that decodes; each stream gets one event per pass.
    std::uint32_t steps_per_pass = 1;
    /// Base duration of a step.
    double step_ms = 1;
    /// Added to a step for each request that decodes.
    double step_ms_per_request = 0;
    /// Added to a step for each 1,000 tokens of context of the requests that decode.
    double step_ms_per_1k_context = 0;
    double prefill_tokens_per_ms = 100;
    /// Attention cost of prefill: ms for each million pairs of a token and an earlier one.
    double prefill_ms_per_million_pairs = 0;
    /// Prefill chunk: most prompt tokens that one step processes.
    std::uint32_t prefill_tokens_per_step = 2048;
    /// Mean length of answers, tokens; assumed for requests without a hint.
    std::uint32_t mean_answer_tokens = 200;
};

/// What the backend servers of a service bear while they are cold: for a time after their start, or
/// whenever they state so.
struct cold_terms {
    /// Time for which a backend server is cold after its start.
    milliseconds cold_time{0};
    /// Requests per second of all gateways together that a cold backend server bears.
    double requests_per_s = 0;

    bool operator==(const cold_terms&) const = default;
};

/// A service in the configuration: a group of interchangeable backend servers.
struct routed_service {
    std::string name;
    /// Set if the backend servers are model engines.
    std::optional<engine_profile> engine;
    /// Set if cold backend servers bear a limited rate only.
    std::optional<cold_terms> cold{};
};

/// Size and time limits on the requests of callers.
struct caller_limits {
    std::uint32_t max_header_bytes = 16384;
    std::size_t max_body_bytes = std::size_t{4} << 20U;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

/// A workspace and the keys that its callers authenticate with.
struct workspace_info {
    std::string name;
    std::vector<std::string> keys;
    /// Rank of its requests where capacity is short, 0 is the most urgent; takes precedence over
    /// that of the route.
    std::optional<std::uint32_t> urgency{};
};

/// One version of the operators' configuration.
struct routing_config {
    std::uint64_t version = 0;
    std::vector<route_info> routes;
    std::vector<routed_service> services;
    caller_limits limits;
    std::vector<workspace_info> workspaces;
};

/// One process of a backend server, as the platform lists it.
struct backend_info {
    /// Usually unique to each start of the process; see started_ms.
    std::string id;
    std::string service;
    endpoint address;
    std::string zone;
    std::uint32_t slots = 1;
    /// It is draining and takes no new requests.
    bool is_leaving = false;
    /// Start of the process, ms since the Unix epoch. Distinguishes starts that reuse an id.
    std::int64_t started_ms = 0;
    /// Time for which it stays cold, as of its last report; see cold_terms.
    milliseconds cold_left{0};

    bool operator==(const backend_info&) const = default;
};

/// One process of a backend server; a restart is another one.
struct backend_process {
    std::string id;
    /// See backend_info.
    std::int64_t started_ms = 0;

    auto operator<=>(const backend_process&) const = default;
};

/// What the answer to a liveness probe states about the process that sent it.
struct probe_answer {
    /// Another backend server has the address.
    bool is_other_backend = false;
    /// See backend_info; absent if it is not stated.
    std::optional<std::int64_t> started_ms;
};

/// Fields that the codec reads from a caller's request header, beyond HTTP itself.
struct request_head {
    /// The caller's id of this attempt; echoed in the answer and logged.
    std::string attempt;
    /// Authenticates a workspace.
    std::string key;
    /// Time until the caller's deadline.
    std::optional<milliseconds> time_left;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_answer_tokens = 0;
    /// The caller's estimate of the answer's length, tokens; 0 if it gave none.
    std::uint32_t answer_tokens_hint = 0;
    /// Segments of the prompt.
    prompt_outline prompt;
    /// Number of the last event that the caller has; the stream resumes after it.
    std::optional<std::uint64_t> resume_after;
};

/// Another backend server that computes a share of the prefill.
struct helper_ref {
    endpoint address;
    /// Memory reservation there that holds the share; empty if the backend server that decodes
    /// holds it.
    std::string reservation;
};

/// Fields that the gateway adds to the request of one attempt.
struct attempt_parameters {
    /// Time until the deadline of the request.
    milliseconds time_left{0};
    /// Id of the intended backend server; another one that reuses its address refuses the request.
    std::string backend_id;
    std::string workspace;
    /// Rank in the backend server's own queue, 0 is first; absent for its default.
    std::optional<std::uint32_t> urgency;
    /// Backend servers that share the prefill.
    std::vector<helper_ref> helpers;
    /// Number of the last event that the caller has; the stream resumes after it.
    std::optional<std::uint64_t> resume_after;
};

/// Fields that the codec reads from the header of a backend server's answer.
struct answer_head {
    /// The backend server states that it has not run the request.
    bool is_not_run = false;
    /// Another backend server now has the address.
    bool is_other_backend = false;
    /// The answer is signed, so its body comes from the backend server itself.
    bool is_signed = false;
    bool is_event_stream = false;
    /// Backend server that failed, if the answer names one. It may be a helper, not the sender.
    std::optional<endpoint> faulty_backend;
    milliseconds retry_after{0};
    /// The backend server turns the request away and wants no others from this gateway: for
    /// retry_after, or for a time that cannot be read if that is 0.
    bool asks_for_rest = false;
    /// Requests per second that the backend server takes from all gateways together, if it states a
    /// limit.
    std::optional<double> requests_per_s;
    /// It states a limit that cannot be read.
    bool is_limit_unreadable = false;
    /// Time for which the backend server stays cold, if it states one; see cold_terms.
    std::optional<milliseconds> cold_left;
};

} // namespace magnolia
