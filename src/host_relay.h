/// Form in which a host passes a request on to another host: the caller's request with one field
/// more, and a field in the answer if the other host failed it itself. Neither field reaches
/// callers or backend servers.
#pragma once

#include "http_types.h"
#include "run_promise.h"

#include <magnolia/schema.h>

#include <optional>

namespace magnolia {

/// The caller's request with the context; a context that the caller sent is dropped.
[[nodiscard]] http_request make_relay_request(const http_request& request,
                                              const relay_context& context);
/// Removes the context from the header and returns it; empty if there is none or it is not
/// readable.
[[nodiscard]] std::optional<relay_context> take_relay_context(http_headers& headers);

/// Tells the host that asked what this one knows of a request that it fails itself.
void set_relay_outcome(http_response& response, run_knowledge known);
/// Removes the field from the header of a backend server's answer, which must not speak for a host.
void drop_relay_outcome(http_headers& headers);
/// Empty if a backend server has answered.
[[nodiscard]] std::optional<run_knowledge> read_relay_outcome(const http_headers& headers);

} // namespace magnolia
