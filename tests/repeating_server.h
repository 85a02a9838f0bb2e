/// A faulty backend server: it keeps its connections, and on one on which it has refused a request
/// it writes the refusal once more before each later answer.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace magnolia {

class repeating_server {
public:
    /// @param refusal  bytes that answer the first request, which is not run.
    /// @param answer   bytes that answer each later request, which is run.
    repeating_server(boost::asio::io_context& context, std::string refusal, std::string answer);

    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    /// Number of requests that were run.
    [[nodiscard]] std::size_t run_count() const { return run_count_; }

private:
    struct connection;

    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    std::string refusal_;
    std::string answer_;
    bool has_refused_ = false;
    std::size_t run_count_ = 0;
};

} // namespace magnolia
