/// Identifies requests that are the same to a backend server: those with the same caller, method,
/// host, path and body, whatever their ids and deadlines.
#pragma once

#include "http_types.h"

#include <string>
#include <string_view>

namespace magnolia {

/// Hash of the request, 32 hexadecimal digits. It depends on the key of the caller, so that one
/// caller cannot make a request that has the fingerprint of another one's; all hosts compute the
/// same.
[[nodiscard]] std::string request_fingerprint(std::string_view key, const http_request& request);

} // namespace magnolia
