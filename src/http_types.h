/// Plain HTTP messages, as the server and the client hand them to the other parts.
#pragma once

#include <magnolia/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia {

/// One header field.
struct http_header {
    std::string name;
    std::string value;

    bool operator==(const http_header&) const = default;
};

using http_headers = std::vector<http_header>;

/// Value of the first field with the name, in any case; empty if there is none.
[[nodiscard]] std::string_view find_header(const http_headers& headers, std::string_view name);

/// The fields without those that concern one connection only, its framing included.
[[nodiscard]] http_headers end_to_end_headers(const http_headers& headers);

/// Request with its whole body.
struct http_request {
    /// For example "GET".
    std::string method = "GET";
    /// Path and query.
    std::string target = "/";
    http_headers headers;
    std::string body;
    /// Moment at which the server saw the first byte.
    time_point received{};
};

/// Response with its whole body.
struct http_response {
    unsigned status = 200;
    http_headers headers;
    std::string body;
};

/// Response with a JSON body.
[[nodiscard]] http_response json_response(unsigned status, std::string body);

/// Path of a target, without the query.
[[nodiscard]] std::string_view target_path(std::string_view target);

/// Decoded value of a query parameter of a target; empty if there is none.
[[nodiscard]] std::string query_parameter(std::string_view target, std::string_view name);

/// Query parameter that is a whole number; none if it is absent or malformed.
[[nodiscard]] std::optional<std::uint64_t> number_parameter(std::string_view target,
                                                            std::string_view name);

/// Percent-encodes one path segment or query value.
[[nodiscard]] std::string percent_encode(std::string_view text);

/// Decodes percent escapes; malformed escapes stay as they are.
[[nodiscard]] std::string percent_decode(std::string_view text);

} // namespace magnolia
