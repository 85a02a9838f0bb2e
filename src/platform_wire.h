/// HTTP encoding of the calls to the platform and their replies. See docs/backends/platform.md.
#pragma once

#include "http_types.h"
#include "platform_port.h"

#include <magnolia/config.h>

namespace magnolia {

/// Maximum size of a reply, in bytes. A page of the store has about 1 MB and an object at most as
/// much; a relayed list is one page, here of up to 16,000 backend servers with 500 bytes each.
inline constexpr std::size_t max_reply_bytes = 8 * config::max_object_bytes;

/// Encodes a call as an HTTP request.
[[nodiscard]] http_request encode_call(const platform_call& call);

/// Decodes the call of an HTTP request. Errors: not_found, bad_request.
[[nodiscard]] result<platform_call> decode_call(const http_request& request);

/// Encodes a reply or an error as an HTTP response.
/// @param epoch  epoch of the store; see store_position.
[[nodiscard]] http_response encode_reply(const result<platform_reply>& reply,
                                         std::uint64_t epoch = 0);

/// Decodes the response to a call. Errors: conflict, platform_busy with retry_after, too_large,
/// bad_request; platform_down for any other status and for a malformed body.
[[nodiscard]] result<platform_reply> decode_reply(const platform_call& call,
                                                  const http_response& response);

/// Epoch of the store that the header of a response states; absent if it states none.
[[nodiscard]] std::optional<std::uint64_t> read_epoch(const http_headers& headers);

/// Whether the call changes the store.
[[nodiscard]] bool is_write(const platform_call& call);

} // namespace magnolia
