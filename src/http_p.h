/// Helpers shared by the HTTP server and client; included by their source files only.
#pragma once

#include "http_types.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>

#include <array>

namespace magnolia {

/// Maximum size of a response header, in bytes.
inline constexpr std::uint32_t max_header_bytes = 32U << 10U;

/// State of a connection on which no message is expected: idle, with unexpected bytes to read, or
/// closed by the peer.
enum class peer_state : std::uint8_t { idle, has_data, closed };

/// Peeks at a socket without blocking and without consuming bytes.
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

/// Copies the header fields of a Beast message.
[[nodiscard]] inline http_headers copy_headers(const boost::beast::http::fields& fields) {
    http_headers headers;
    for (const auto& field : fields) {
        headers.push_back({std::string{field.name_string()}, std::string{field.value()}});
    }
    return headers;
}

} // namespace magnolia
