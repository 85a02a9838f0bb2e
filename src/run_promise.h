/// Which answers may promise a caller that its request was not run. Whoever answers a caller or
/// another host decides here. Pure functions.
#pragma once

#include "forward_types.h"

#include <magnolia/error.h>

namespace magnolia {

/// What is known of a request over all its attempts.
enum class run_knowledge : std::uint8_t {
    /// No backend server has run it or will: none has got a byte of it, or each that has states so.
    not_run,
    /// A backend server has run it, or may have or may still.
    may_have_run,
};

/// Whether callers take the status as the promise that the request was not run and never will be,
/// and send requests again that must run at most once: 408, 421, 429 and 503.
[[nodiscard]] bool promises_not_run(unsigned status);

/// Status with which a backend server's answer that does not state that the request was not run is
/// forwarded: its own, or 502 if that promised it of a request that must not run twice. A promise
/// about a request that may be repeated endangers nothing, so that such an answer stays as it is.
[[nodiscard]] unsigned status_to_forward(unsigned status, repeat_rule repeat);

/// Error to answer a request with: `failure`, or backend_lost that names it, without a time to
/// retry, if the status of `failure` promised more than is known.
[[nodiscard]] error truthful_failure(const error& failure, run_knowledge known);

} // namespace magnolia
