/// HTTP messages as plain structs, independent of the HTTP library.
#pragma once

#include <magnolia/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia {

/// One header field. Names compare without regard to case.
struct http_header {
    std::string name;
    std::string value;

    bool operator==(const http_header&) const = default;
};

using http_headers = std::vector<http_header>;

/// Value of the first field with the name, compared without regard to case; empty if there is none.
[[nodiscard]] std::string_view find_header(const http_headers& headers, std::string_view name);

/// Copies the headers without the hop-by-hop fields, Content-Length included, so that they can be
/// forwarded on another connection.
[[nodiscard]] http_headers end_to_end_headers(const http_headers& headers);

/// Request with its complete body.
struct http_request {
    /// Method, for example "GET".
    std::string method = "GET";
    /// Path and query.
    std::string target = "/";
    http_headers headers;
    std::string body;
    /// Time at which the server received the first byte; unused in client requests.
    time_point received{};
};

/// Response with its complete body.
struct http_response {
    unsigned status = 200;
    http_headers headers;
    std::string body;
};

/// What marks the end of a response's body.
enum class body_framing : std::uint8_t {
    /// The response has no body.
    none,
    content_length,
    chunked,
    /// The close of the connection. A body that an orderly close cuts off looks complete.
    until_close,
};

/// Name of the framing in logs and metrics.
[[nodiscard]] std::string_view to_string(body_framing framing);

/// Status line and header of a response.
struct http_response_head {
    unsigned status = 200;
    http_headers headers;
    body_framing framing = body_framing::none;
};

/// Makes a response with a JSON body and its content type.
[[nodiscard]] http_response json_response(unsigned status, std::string body);

/// Path of a request target, without the query.
[[nodiscard]] std::string_view target_path(std::string_view target);

/// Percent-decoded value of a query parameter; empty if it is absent.
[[nodiscard]] std::string query_parameter(std::string_view target, std::string_view name);

/// Value of a query parameter that is an unsigned integer; nullopt if it is absent or malformed.
[[nodiscard]] std::optional<std::uint64_t> number_parameter(std::string_view target,
                                                            std::string_view name);

/// Percent-encodes a path segment or query value.
[[nodiscard]] std::string percent_encode(std::string_view text);

/// Decodes percent escapes. A text with a malformed escape is returned unchanged.
[[nodiscard]] std::string percent_decode(std::string_view text);

} // namespace magnolia
