/// What a broken HTTP call to a back end proves; shared by the clients of engines and services.
#pragma once

#include "engine_port.h"
#include "http_client.h"

namespace magnolia {

/// Added to the time left of a call before it is given up.
inline constexpr std::chrono::milliseconds deadline_grace{1000};

/// Certainty after a call broke without an answer.
[[nodiscard]] inline run_certainty certainty_of(const http_failure& failure) {
    return failure.is_request_written ? run_certainty::unknown : run_certainty::not_run;
}

/// Failure as the caller of the back end sees it.
[[nodiscard]] inline error to_backend_error(const http_failure& failure) {
    const auto code = failure.failure.code == error_code::connection ? error_code::backend_lost
                                                                     : failure.failure.code;
    return {code, failure.failure.subject, {}};
}

/// Longest time of a call with this time left.
[[nodiscard]] inline std::chrono::milliseconds timeout_with_grace(duration left) {
    const auto whole = std::chrono::ceil<std::chrono::milliseconds>(left);
    return std::max(whole, std::chrono::milliseconds{0}) + deadline_grace;
}

} // namespace magnolia
