/// Helpers that the HTTP server and client share; included by their source files only.
#pragma once

#include "http_types.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>

#include <array>

namespace magnolia {

/// Longest header of a message, bytes.
inline constexpr std::uint32_t max_header_bytes = 32U << 10U;

/// Whether the peer has closed its side or sent bytes that nobody waits for.
enum class peer_state : std::uint8_t { idle, has_data, closed };

/// Looks at a socket without taking bytes from it.
[[nodiscard]] inline peer_state peek_socket(boost::asio::ip::tcp::socket& socket) {
    boost::system::error_code failure;
    std::array<char, 1> byte{};
    socket.non_blocking(true, failure);
    const auto count =
        socket.receive(boost::asio::buffer(byte), boost::asio::socket_base::message_peek, failure);
    if (failure == boost::asio::error::would_block) {
        return peer_state::idle;
    }
    return failure || count == 0 ? peer_state::closed : peer_state::has_data;
}

/// Copies header fields out of a Beast message.
[[nodiscard]] inline http_headers copy_headers(const boost::beast::http::fields& fields) {
    http_headers headers;
    for (const auto& field : fields) {
        headers.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    return headers;
}

} // namespace magnolia
