/// The platform's HTTP interface: calls and replies to and from HTTP messages. See
/// docs/backends/platform.md.
#pragma once

#include "http_types.h"
#include "platform_port.h"

namespace magnolia {

/// HTTP request for a call.
[[nodiscard]] http_request encode_call(const platform_call& call);

/// Call of an HTTP request. Errors: not_found, bad_request.
[[nodiscard]] result<platform_call> decode_call(const http_request& request);

/// HTTP response for a reply or failure.
[[nodiscard]] http_response encode_reply(const result<platform_reply>& reply);

/// Reply of an HTTP response to the call. Errors: conflict, platform_busy with retry_after,
/// too_large, bad_request, platform_down for anything that cannot be read.
[[nodiscard]] result<platform_reply> decode_reply(const platform_call& call,
                                                  const http_response& response);

/// Whether the call changes the store.
[[nodiscard]] bool is_write(const platform_call& call);

} // namespace magnolia
