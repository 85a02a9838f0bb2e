/// Form in which a host passes a request on to another host: the caller's request with one field
/// more, and a field in the answer if the other host failed it itself. Neither field reaches
/// callers or backend servers.
#pragma once

#include "http_types.h"

#include <magnolia/schema.h>

#include <optional>

namespace magnolia {

/// What a host that failed a relayed request knows of it.
enum class relay_outcome : std::uint8_t {
    /// It was not run and will not be.
    not_run,
    /// It may have run.
    in_doubt,
};

/// The caller's request with the context; a context that the caller sent is dropped.
[[nodiscard]] http_request make_relay_request(const http_request& request,
                                              const relay_context& context);
/// Removes the context from the header and returns it; empty if there is none or it is not
/// readable.
[[nodiscard]] std::optional<relay_context> take_relay_context(http_headers& headers);

void set_relay_outcome(http_response& response, relay_outcome outcome);
/// Empty if a backend server has answered.
[[nodiscard]] std::optional<relay_outcome> read_relay_outcome(const http_headers& headers);

} // namespace magnolia
