/// Calls to a plain service and their results.
#pragma once

#include "engine_port.h"

namespace magnolia {

/// One call to a plain service.
struct service_call {
    attempt_id id;
    service_handle service;
    /// Path below the root of the service, starting with a slash.
    std::string path;
    shared_text body;
    /// Forwarded so that the service can count or refuse duplicates; empty for repeatable calls.
    std::string idempotency_key;
    /// Time left until the deadline of the call.
    duration time_left{0};
};

/// The service answered with an HTTP status and a body.
struct service_answer {
    attempt_id id;
    unsigned status = 0;
    std::string body;
};

/// The call failed without a usable answer.
struct service_failed {
    attempt_id id;
    error failure;
    run_certainty certainty = run_certainty::unknown;
    /// The service is leaving or draining and refuses new calls.
    bool is_leaving = false;
};

using service_event = std::variant<service_answer, service_failed>;

} // namespace magnolia
