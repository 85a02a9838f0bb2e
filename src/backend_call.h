/// Helpers shared by the clients of engines and services: timeouts of an HTTP call to a backend
/// server, and what a failed call proves.
#pragma once

#include "engine_port.h"
#include "http_client.h"

namespace magnolia {

/// Grace period added to the time left of a call before its HTTP request times out.
inline constexpr std::chrono::milliseconds deadline_grace{1000};

/// Whether a call that failed without an answer is known not to have run.
[[nodiscard]] inline run_certainty certainty_of(const http_failure& failure) {
    return failure.is_request_written ? run_certainty::unknown : run_certainty::not_run;
}

/// Converts an HTTP failure to the error reported upwards; a broken connection becomes
/// backend_lost.
[[nodiscard]] inline error to_backend_error(const http_failure& failure) {
    const auto code = failure.failure.code == error_code::connection ? error_code::backend_lost
                                                                     : failure.failure.code;
    return {code, failure.failure.subject, {}};
}

/// HTTP timeout of a call with this time left: the time left, at least zero, plus deadline_grace.
[[nodiscard]] inline std::chrono::milliseconds timeout_with_grace(duration left) {
    const auto rounded_up = std::chrono::ceil<std::chrono::milliseconds>(left);
    return std::max(rounded_up, std::chrono::milliseconds{0}) + deadline_grace;
}

} // namespace magnolia
