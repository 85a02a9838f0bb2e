/// A faulty server: to each request it sends a beginning and then the same bytes until its peer
/// closes the connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace magnolia {

class endless_server {
public:
    /// @param beginning  sent once.
    /// @param block      sent again and again, in one write each.
    /// @param pause      time before each block; none if it is 0.
    endless_server(boost::asio::io_context& context, std::string beginning, std::string block,
                   std::chrono::milliseconds pause = {});

    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    /// Bytes that the operating system has accepted, on all connections.
    [[nodiscard]] std::size_t sent_bytes() const { return sent_bytes_; }
    /// Connections that their peers have closed.
    [[nodiscard]] std::size_t closed_connections() const { return closed_connections_; }

private:
    struct connection;

    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    std::string beginning_;
    std::string block_;
    std::chrono::milliseconds pause_;
    std::size_t sent_bytes_ = 0;
    std::size_t closed_connections_ = 0;
};

} // namespace magnolia
