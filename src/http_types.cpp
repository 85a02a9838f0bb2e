#include "http_types.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/url/decode_view.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <ranges>

namespace magnolia {
namespace {

/// Fields that apply to one connection only, with those that frame the body.
constexpr std::array<std::string_view, 9> hop_by_hop_headers{
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE", "Trailer", "Upgrade",
    "Expect",     "Transfer-Encoding", "Content-Length"};

} // namespace

std::string_view find_header(const http_headers& headers, std::string_view name) {
    const auto found = std::ranges::find_if(
        headers, [name](const http_header& field) { return boost::iequals(field.name, name); });
    return found == headers.end() ? std::string_view{} : std::string_view{found->value};
}

http_headers end_to_end_headers(const http_headers& headers) {
    http_headers filtered;
    std::ranges::copy_if(headers, std::back_inserter(filtered), [](const auto& field) {
        return std::ranges::none_of(hop_by_hop_headers,
                                    [&](auto name) { return boost::iequals(field.name, name); });
    });
    return filtered;
}

std::string_view to_string(body_framing framing) {
    switch (framing) {
    case body_framing::none:
        return "none";
    case body_framing::content_length:
        return "content_length";
    case body_framing::chunked:
        return "chunked";
    case body_framing::until_close:
        return "until_close";
    }
    return "invalid";
}

http_response json_response(unsigned status, std::string body) {
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string_view target_path(std::string_view target) {
    return target.substr(0, target.find('?'));
}

std::string query_parameter(std::string_view target, std::string_view name) {
    const auto start = target.find('?');
    if (start == std::string_view::npos) {
        return {};
    }
    for (const auto part : target.substr(start + 1) | std::views::split('&')) {
        const std::string_view item{part.begin(), part.end()};
        const auto equals = item.find('=');
        if (item.substr(0, equals) == name) {
            return equals == std::string_view::npos ? "" : percent_decode(item.substr(equals + 1));
        }
    }
    return {};
}

std::optional<std::uint64_t> number_parameter(std::string_view target, std::string_view name) {
    const auto text = query_parameter(target, name);
    std::uint64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_number = failure == std::errc{} && end == text.data() + text.size();
    return is_number && !text.empty() ? std::optional{value} : std::nullopt;
}

std::string percent_encode(std::string_view text) {
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

std::string percent_decode(std::string_view text) {
    const auto decoded = boost::urls::make_pct_string_view(text);
    if (!decoded) {
        return std::string{text};
    }
    const boost::urls::decode_view view{*decoded};
    return {view.begin(), view.end()};
}

} // namespace magnolia
