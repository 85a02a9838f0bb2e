/// Peers that send messages of HTTP without end, in each of their parts.
#include "endless_server.h"
#include "http_client.h"
#include "http_server.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace magnolia {
namespace {

namespace asio = boost::asio;

constexpr std::size_t block_bytes = std::size_t{64} << 10U;
/// Above what two sockets on loopback hold, and below what was read before.
constexpr std::size_t max_sent_bytes = std::size_t{32} << 20U;

/// A part of a response that does not end.
struct endless_part {
    const char* name;
    std::string beginning;
    std::string block;
};

std::vector<endless_part> endless_parts() {
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(block_bytes, 'x');
    return {{"head", "HTTP/1.1 200 OK\r\na: ", filler},
            {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"body", "HTTP/1.1 200 OK\r\n\r\n", filler},
            {"chunks", chunked, "10000\r\n" + filler + "\r\n"},
            {"extension of a chunk", chunked + "5;", filler},
            {"trailer", chunked + "0\r\na: ", filler},
            {"trailers", chunked + "0\r\n", "a: b\r\n"}};
}

class endless_messages : public testing::Test {
protected:
    template <class Condition>
    void run_until(Condition condition) {
        while (!condition() && context_.run_one() > 0) {
        }
    }

    asio::io_context context_{1};
};

// The limits of header and body do not apply to extensions of chunks and to trailers, of which all
// bytes were kept until the call's time was over.
TEST_F(endless_messages, a_response_is_given_up_in_each_of_its_parts) {
    for (const auto& part : endless_parts()) {
        endless_server server{context_, part.beginning, part.block};
        http_client client{context_, 0};
        http_call_limits limits;
        limits.total_timeout = std::chrono::seconds{5};
        limits.max_body_bytes = std::size_t{1} << 20U;
        std::optional<tl::expected<http_response, http_failure>> answer;
        client.call({"127.0.0.1", server.port()}, {"GET", "/", {}, {}, {}}, limits,
                    [&](auto received) { answer = std::move(received); });
        run_until([&] { return answer && server.closed_connections() == 1; });
        ASSERT_FALSE(*answer) << part.name;
        EXPECT_FALSE(answer->error().is_timeout) << part.name;
        EXPECT_LT(server.sent_bytes(), max_sent_bytes) << part.name;
    }
}

// The same from the caller's side.
TEST_F(endless_messages, a_request_is_refused_in_each_of_its_parts) {
    constexpr std::size_t sent_bytes = 200'000;
    http_server_limits limits;
    limits.header_timeout = std::chrono::seconds{2};
    limits.body_timeout = std::chrono::seconds{2};
    limits.max_body_bytes = std::size_t{100} << 10U;
    http_server server{context_, limits, [](const auto&, const http_responder& responder) {
                           responder.send({200, {}, {}});
                       }};
    ASSERT_TRUE(server.listen(endpoint{}));
    const std::string chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(sent_bytes, 'x');
    std::string chunks;
    while (chunks.size() < sent_bytes) {
        chunks += "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
    }
    for (const auto& [status, text] :
         {std::pair{"431", "GET /" + filler}, std::pair{"431", "GET / HTTP/1.1\r\na: " + filler},
          std::pair{"413", chunked + chunks}, std::pair{"413", chunked + "5;" + filler},
          std::pair{"413", chunked + "0\r\na: " + filler}}) {
        asio::ip::tcp::socket socket{context_};
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        asio::async_write(socket, asio::buffer(text), [](const auto&, auto) {});
        std::array<char, 256> buffer{};
        std::optional<std::string> received;
        socket.async_read_some(asio::buffer(buffer), [&](const auto&, auto count) {
            received.emplace(buffer.data(), count);
        });
        run_until([&] { return received.has_value(); });
        EXPECT_TRUE(received->starts_with(std::string{"HTTP/1.1 "} + status))
            << text.substr(0, 80) << " " << *received;
    }
}

} // namespace
} // namespace magnolia
