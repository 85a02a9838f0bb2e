/// What the system asks of a plain service and what it gets back.
#pragma once

#include "engine_port.h"

namespace magnolia {

/// Calls a plain service once.
struct service_call {
    attempt_id id;
    service_handle service;
    /// Path below the service's root, starting with a slash.
    std::string path;
    shared_text body;
    /// Passed on so that the service can count or refuse doubles; empty for repeatable calls.
    std::string idempotency_key;
    duration time_left{0};
};

/// The service answered.
struct service_answer {
    attempt_id id;
    unsigned status = 0;
    std::string body;
};

/// The call failed.
struct service_failed {
    attempt_id id;
    error failure;
    run_certainty certainty = run_certainty::unknown;
    bool is_leaving = false;
};

using service_event = std::variant<service_answer, service_failed>;

} // namespace magnolia
