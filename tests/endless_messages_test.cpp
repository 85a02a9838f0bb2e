/// Peers that send messages of HTTP without end, in each of their parts.
#include "endless_server.h"
#include "http_client.h"
#include "http_server.h"
#include "platform_client.h"
#include "platform_server.h"
#include "store_reader.h"

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

platform_budget patient_budget() {
    platform_budget budget;
    budget.timeout = std::chrono::seconds{20};
    return budget;
}

// Up to 64 MB of a reply were kept.
TEST_F(endless_messages, a_reply_of_the_store_is_given_up_in_each_of_its_parts) {
    for (const auto& part : endless_parts()) {
        endless_server server{context_, part.beginning, part.block};
        platform_client store{context_, {"127.0.0.1", server.port()}, patient_budget(), 1};
        for (const auto& call :
             {platform_call{object_list{"servers", "", 0}}, platform_call{object_get{{"k", "n"}}},
              platform_call{object_watch{"servers", {}, std::chrono::milliseconds{100}}}}) {
            std::optional<error> failure;
            const auto sent_before = server.sent_bytes();
            const auto closed = server.closed_connections();
            store.execute(call, call_priority::configuration, [&](const auto& reply) {
                ASSERT_FALSE(reply);
                failure = reply.error();
            });
            run_until([&] { return failure && server.closed_connections() > closed; });
            EXPECT_EQ(failure->code, error_code::platform_down) << part.name;
            EXPECT_LT(server.sent_bytes() - sent_before, max_sent_bytes) << part.name;
        }
    }
}

// The same from another host; the store is read instead.
TEST_F(endless_messages, a_relayed_read_is_given_up_and_made_at_the_store) {
    platform_server platform{context_, 1};
    ASSERT_TRUE(platform.listen(endpoint{}));
    ASSERT_TRUE(platform.model().store().put({{"servers", "a"}, 0, "1"}));
    for (const auto& part : endless_parts()) {
        endless_server relay{context_, part.beginning, part.block};
        platform_client store{context_, {"127.0.0.1", platform.port()}, patient_budget(), 1};
        store_reader reader{context_, store, 1, std::chrono::seconds{20}};
        reader.set_max_age(std::chrono::seconds{1});
        reader.set_relays({{"relay", {"127.0.0.1", relay.port()}}}, {}, 1);
        ASSERT_FALSE(reader.reads_from_store());
        std::optional<sourced_reply> answer;
        reader.read(object_list{"servers", "", 0},
                    [&](const sourced_reply& reply) { answer = reply; });
        run_until([&] { return answer && relay.closed_connections() == 1; });
        ASSERT_TRUE(answer->reply) << part.name;
        EXPECT_TRUE(answer->is_from_store) << part.name;
        EXPECT_LT(relay.sent_bytes(), max_sent_bytes) << part.name;
    }
}

} // namespace
} // namespace magnolia
