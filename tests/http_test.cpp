#include "http_client.h"
#include "http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <stdexcept>

namespace magnolia {
namespace {

namespace asio = boost::asio;

/// Fixture with a server and a client on one context, which runs until a condition holds.
class http_client_server : public testing::Test {
protected:
    void serve(http_handler handler, http_server_limits limits = {}) {
        server_.emplace(context_, limits, std::move(handler));
        ASSERT_TRUE(server_->listen(endpoint{}));
        peer_.port = server_->port();
    }

    tl::expected<http_response, http_failure> call(http_request request,
                                                   const http_call_limits& limits = {}) {
        std::optional<tl::expected<http_response, http_failure>> response;
        client_.call(peer_, std::move(request), limits,
                     [&](auto received) { response = std::move(received); });
        run_until([&] { return response.has_value(); });
        return *response;
    }

    template <class Condition>
    void run_until(Condition condition) {
        while (!condition() && context_.run_one() > 0) {
        }
    }

    asio::io_context context_{1};
    std::optional<http_server> server_;
    http_client client_{context_};
    endpoint peer_;
};

void echo(const http_request& request, const http_responder& responder) {
    responder.send({200, {{"X-Target", request.target}}, request.method + ":" + request.body});
}

TEST_F(http_client_server, complete_requests_and_responses_on_a_reused_connection) {
    serve(echo);
    for (const std::string body : {"one", "two"}) {
        const auto response = call({"POST", "/a?b=c", {}, body});
        ASSERT_TRUE(response);
        EXPECT_EQ(response->body, "POST:" + body);
        EXPECT_EQ(find_header(response->headers, "x-target"), "/a?b=c");
    }
}

TEST_F(http_client_server, a_stream_is_delivered_as_it_is_written) {
    std::optional<http_responder> open;
    serve([&](const auto&, const http_responder& responder) {
        responder.start(200, {{"Content-Type", "text/event-stream"}});
        open = responder;
    });
    std::string text;
    bool is_complete = false;
    unsigned status = 0;
    client_.stream(peer_, {}, {},
                   {[&](const auto& head) { status = head.status; },
                    [&](std::string_view part) { text += part; },
                    [&](const http_failure* failure) { is_complete = failure == nullptr; }});
    run_until([&] { return status == 200; });
    open->write("first");
    run_until([&] { return text == "first"; });
    open->write(" second");
    open->finish();
    run_until([&] { return is_complete; });
    EXPECT_EQ(text, "first second");
}

TEST_F(http_client_server, an_aborted_stream_is_reported_as_incomplete) {
    serve([&](const auto&, const http_responder& responder) {
        responder.start(200, {});
        responder.write("part", [responder] { responder.abort(); });
    });
    const auto response = call({});
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().failure.code, error_code::connection);
    EXPECT_TRUE(response.error().is_request_written);
    EXPECT_TRUE(response.error().is_response_started);
}

// The events that a backend server sends right before it breaks off were lost.
TEST_F(http_client_server, an_aborted_stream_delivers_what_was_written_before) {
    serve([&](const auto&, const http_responder& responder) {
        responder.start(200, {});
        responder.write("first ");
        responder.write("second");
        responder.abort();
        EXPECT_TRUE(responder.is_closed());
    });
    std::string text;
    bool has_failed = false;
    bool has_ended = false;
    client_.stream(peer_, {}, {},
                   {{},
                    [&](std::string_view part) { text += part; },
                    [&](const http_failure* failure) {
                        has_failed = failure != nullptr;
                        has_ended = true;
                    }});
    run_until([&] { return has_ended; });
    EXPECT_TRUE(has_failed);
    EXPECT_EQ(text, "first second");
}

// HTTP/1.0 has no chunks: such a caller took their framing for text, and an aborted stream for a
// complete one.
TEST_F(http_client_server, an_http_1_0_peer_gets_plain_text_and_a_reset_for_an_aborted_stream) {
    bool is_aborted = false;
    serve([&](const auto&, const http_responder& responder) {
        responder.start(200, {});
        responder.write("one ");
        responder.write("two");
        if (is_aborted) {
            responder.abort();
        } else {
            responder.finish();
        }
    });
    for (const bool aborts : {false, true}) {
        is_aborted = aborts;
        asio::ip::tcp::socket socket{context_};
        socket.connect({asio::ip::make_address("127.0.0.1"), peer_.port});
        asio::write(socket, asio::buffer(std::string{"GET / HTTP/1.0\r\n\r\n"}));
        std::string received;
        std::optional<boost::system::error_code> end;
        asio::async_read(socket, asio::dynamic_buffer(received),
                         [&](const auto& failure, auto) { end = failure; });
        run_until([&] { return end.has_value(); });
        EXPECT_EQ(*end == asio::error::connection_reset, aborts);
        EXPECT_EQ(*end == asio::error::eof, !aborts);
        EXPECT_EQ(received.find("Transfer-Encoding"), std::string::npos);
        EXPECT_NE(received.find("Connection: close"), std::string::npos);
        if (!aborts) {
            EXPECT_TRUE(received.ends_with("\r\n\r\none two"));
        }
    }
}

TEST_F(http_client_server, a_refused_connection_reports_that_no_request_was_written) {
    serve(echo);
    server_->close();
    const auto response = call({"POST", "/", {}, "order"});
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().failure.code, error_code::connection);
    EXPECT_FALSE(response.error().is_request_written);
}

TEST_F(http_client_server, an_inactivity_timeout_after_the_request_reports_it_as_written) {
    serve([](const auto&, const auto&) {});
    http_call_limits limits;
    limits.inactivity_timeout = std::chrono::milliseconds{20};
    const auto response = call({"POST", "/", {}, "order"}, limits);
    ASSERT_FALSE(response);
    EXPECT_TRUE(response.error().is_request_written);
    EXPECT_FALSE(response.error().is_response_started);
}

TEST_F(http_client_server, the_handler_is_notified_when_the_client_disconnects) {
    bool is_disconnected = false;
    bool is_received = false;
    serve([&](const auto&, const http_responder& responder) {
        responder.on_disconnect([&] { is_disconnected = true; });
        is_received = true;
    });
    std::optional<http_failure> failure;
    const auto id =
        client_.call(peer_, {}, {}, [&](const auto& response) { failure = response.error(); });
    run_until([&] { return is_received; });
    client_.cancel(id);
    run_until([&] { return is_disconnected && failure.has_value(); });
    EXPECT_EQ(failure->failure.code, error_code::caller_gone);
    EXPECT_TRUE(failure->is_request_written);
    EXPECT_EQ(server_->active_requests(), 0U);
}

TEST_F(http_client_server, a_call_cancelled_at_once_has_written_nothing) {
    serve(echo);
    std::optional<http_failure> failure;
    const auto id =
        client_.call(peer_, {}, {}, [&](const auto& response) { failure = response.error(); });
    client_.cancel(id);
    run_until([&] { return failure.has_value(); });
    EXPECT_FALSE(failure->is_request_written);
}

TEST_F(http_client_server, a_body_over_the_limit_is_refused_as_too_large) {
    http_server_limits limits;
    limits.max_body_bytes = 1000;
    serve(echo, limits);
    const auto response = call({"POST", "/", {}, std::string(100000, 'x')});
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 413U);
    EXPECT_NE(response->body.find("too_large"), std::string::npos);
}

TEST_F(http_client_server, bodies_over_the_total_memory_limit_are_refused_as_overloaded) {
    http_server_limits limits;
    limits.max_total_body_bytes = 1500;
    std::optional<http_responder> held;
    serve([&](const auto&, const http_responder& responder) { held = responder; }, limits);
    client_.call(peer_, {"POST", "/", {}, std::string(1000, 'x')}, {}, [](const auto&) {});
    run_until([&] { return held.has_value(); });
    const auto response = call({"POST", "/", {}, std::string(1000, 'x')});
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 503U);
    EXPECT_NE(response->body.find("overloaded"), std::string::npos);
}

TEST_F(http_client_server, slow_bodies_get_408_and_malformed_requests_get_400) {
    http_server_limits limits;
    limits.body_timeout = std::chrono::milliseconds{20};
    serve(echo, limits);
    const auto raw = [&](const std::string& text) {
        asio::ip::tcp::socket socket{context_};
        socket.connect({asio::ip::make_address("127.0.0.1"), peer_.port});
        asio::write(socket, asio::buffer(text));
        std::string response(4096, '\0');
        bool is_done = false;
        socket.async_read_some(asio::buffer(response), [&](const auto&, std::size_t count) {
            response.resize(count);
            is_done = true;
        });
        run_until([&] { return is_done; });
        return response;
    };
    EXPECT_NE(raw("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab").find("408"), std::string::npos);
    EXPECT_NE(raw("no http at all\r\n\r\n").find("400"), std::string::npos);
}

TEST_F(http_client_server, a_paused_stream_is_not_read) {
    constexpr std::size_t part_bytes = 1U << 20U;
    constexpr int parts = 16;
    std::optional<http_responder> open;
    serve([&](const auto&, const http_responder& responder) {
        responder.start(200, {});
        open = responder;
    });
    std::size_t received = 0;
    bool is_done = false;
    bool is_started = false;
    const auto id = client_.stream(peer_, {}, {},
                                   {[&](const auto&) { is_started = true; },
                                    [&](std::string_view text) { received += text.size(); },
                                    [&](const http_failure*) { is_done = true; }});
    run_until([&] { return is_started; });
    client_.pause(id);
    for (int part = 0; part < parts; ++part) {
        open->write(std::string(part_bytes, 'x'));
    }
    while (context_.poll_one() > 0) {
    }
    EXPECT_GT(open->pending_bytes(), part_bytes);
    client_.resume(id);
    open->finish();
    run_until([&] { return is_done; });
    EXPECT_EQ(received, part_bytes * parts);
}

TEST_F(http_client_server, a_stopping_server_completes_active_requests_and_accepts_no_connections) {
    std::optional<http_responder> held;
    serve([&](const auto&, const http_responder& responder) { held = responder; });
    std::optional<http_response> response;
    client_.call(peer_, {}, {}, [&](const auto& received) { response = received.value(); });
    run_until([&] { return held.has_value(); });
    server_->stop_accepting();
    held->send({200, {}, "late"});
    run_until([&] { return response.has_value(); });
    EXPECT_EQ(response->body, "late");
    EXPECT_EQ(find_header(response->headers, "connection"), "close");
    EXPECT_FALSE(call({}));
}

TEST(http_types, targets_are_parsed) {
    EXPECT_EQ(target_path("/a/b?c=d"), "/a/b");
    EXPECT_EQ(query_parameter("/a?x=1&after=b%2Fc", "after"), "b/c");
    EXPECT_EQ(query_parameter("/a?x=1", "y"), "");
    EXPECT_EQ(number_parameter("/a?x=12&y=1z&z=", "x"), 12U);
    EXPECT_FALSE(number_parameter("/a?x=12&y=1z&z=", "y"));
    EXPECT_FALSE(number_parameter("/a?x=12&y=1z&z=", "z"));
    EXPECT_EQ(percent_decode(percent_encode("a b/%ü")), "a b/%ü");
    EXPECT_EQ(percent_decode("%zz"), "%zz");
}

TEST_F(http_client_server, responses_to_other_calls_are_skipped) {
    asio::ip::tcp::acceptor acceptor{context_, {asio::ip::make_address("127.0.0.1"), 0}};
    peer_.port = acceptor.local_endpoint().port();
    asio::ip::tcp::socket socket{context_};
    const std::string text = "HTTP/1.1 200 OK\r\nnumber: 1\r\nContent-Length: 3\r\n\r\nold"
                             "HTTP/1.1 200 OK\r\nnumber: 2\r\nContent-Length: 3\r\n\r\nnew";
    acceptor.async_accept(socket, [&](const auto&) {
        asio::async_write(socket, asio::buffer(text), [](const auto&, auto) {});
    });
    http_call_limits limits;
    limits.correlation_header = {"number", "2"};
    const auto response = call({}, limits);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body, "new");
}

TEST_F(http_client_server, a_response_sent_before_the_request_body_is_read_is_complete) {
    asio::ip::tcp::acceptor acceptor{context_, {asio::ip::make_address("127.0.0.1"), 0}};
    peer_.port = acceptor.local_endpoint().port();
    asio::ip::tcp::socket socket{context_};
    const std::string text = "HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nfar";
    acceptor.async_accept(socket, [&](const auto&) {
        asio::async_write(socket, asio::buffer(text), [](const auto&, auto) {});
    });
    http_request request{"POST", "/", {}, std::string(std::size_t{8} << 20U, 'x'), {}};
    const auto response = call(std::move(request));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 413U);
}

TEST_F(http_client_server, a_response_without_a_length_ends_at_close_but_fails_on_reset) {
    for (const bool is_reset : {false, true}) {
        asio::ip::tcp::acceptor acceptor{context_, {asio::ip::make_address("127.0.0.1"), 0}};
        peer_.port = acceptor.local_endpoint().port();
        asio::ip::tcp::socket socket{context_};
        const std::string text = "HTTP/1.1 200 OK\r\n\r\nwhole";
        std::array<char, 1024> request{};
        acceptor.async_accept(socket, [&](const auto&) {
            socket.async_read_some(asio::buffer(request), [&](const auto&, auto) {
                asio::async_write(socket, asio::buffer(text), [&](const auto&, auto) {
                    if (is_reset) {
                        socket.set_option(asio::socket_base::linger{true, 0});
                    }
                    socket.close();
                });
            });
        });
        EXPECT_EQ(call({"POST", "/", {}, {}, {}}).has_value(), !is_reset);
    }
}

TEST_F(http_client_server, oversized_headers_and_bodies_get_different_statuses) {
    http_server_limits limits;
    limits.max_header_bytes = 512;
    limits.max_body_bytes = 16;
    serve(echo, limits);
    EXPECT_EQ(call({"GET", "/", {{"big", std::string(1024, 'x')}}, {}, {}})->status, 431U);
    EXPECT_EQ(call({"POST", "/", {}, std::string(17, 'x'), {}})->status, 413U);
}

TEST_F(http_client_server, requests_with_ambiguous_framing_are_refused) {
    serve(echo);
    const std::string line = "POST / HTTP/1.1\r\nHost: a\r\n";
    for (const std::string& fields :
         {std::string{"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
          std::string{"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"},
          std::string{"Transfer-Encoding: xchunked\r\nContent-Length: 3\r\n\r\nabc"},
          std::string{"Transfer-Encoding: identity\r\n\r\n"},
          std::string{"Content-Length : 3\r\n\r\nabc"}}) {
        asio::ip::tcp::socket socket{context_};
        socket.connect({asio::ip::make_address("127.0.0.1"), peer_.port});
        asio::write(socket, asio::buffer(line + fields));
        std::array<char, 256> buffer{};
        std::string received;
        socket.async_read_some(asio::buffer(buffer), [&](const auto&, auto count) {
            received.assign(buffer.data(), count);
        });
        run_until([&] { return !received.empty(); });
        EXPECT_TRUE(received.starts_with("HTTP/1.1 400")) << fields;
    }
}

TEST_F(http_client_server, draining_closes_idle_connections_and_accepts_new_ones) {
    serve(echo);
    ASSERT_TRUE(call({"GET", "/", {}, {}, {}}));
    server_->begin_drain();
    const auto response = call({"GET", "/", {}, {}, {}});
    ASSERT_TRUE(response);
    EXPECT_EQ(find_header(response->headers, "Connection"), "close");
}

// Incident FAULT: an exception of a request's handler left the connection in the server's list, and
// the end of the process followed; its caller got no answer.
TEST_F(http_client_server, an_exception_of_a_handler_fails_its_request_only) {
    serve([](const http_request& request, const http_responder& responder) {
        if (request.target == "/throws") {
            throw std::length_error{"handler"};
        }
        echo(request, responder);
    });
    const auto failed = call({"GET", "/throws", {}, {}, {}});
    ASSERT_TRUE(failed);
    EXPECT_EQ(failed->status, 500U);
    EXPECT_EQ(server_->active_requests(), 0U);
    const auto served = call({"GET", "/", {}, {}, {}});
    ASSERT_TRUE(served);
    EXPECT_EQ(served->status, 200U);
}

// As above, after a part of the answer: it must not look complete.
TEST_F(http_client_server, an_exception_in_the_middle_of_an_answer_aborts_it) {
    serve([](const http_request& /*request*/, const http_responder& responder) {
        responder.start(200, {});
        responder.write("part");
        throw std::length_error{"handler"};
    });
    EXPECT_FALSE(call({"GET", "/", {}, {}, {}}));
    EXPECT_EQ(server_->active_requests(), 0U);
}

// Incident FAULT: a header field of over 64 KB, which the configuration may allow, ended the
// process some time later.
TEST_F(http_client_server, a_field_larger_than_the_parser_can_hold_is_refused) {
    http_server_limits limits;
    limits.max_header_bytes = 1U << 20U;
    limits.header_timeout = std::chrono::milliseconds{200};
    serve(echo, limits);
    asio::ip::tcp::socket raw{context_};
    raw.connect({asio::ip::make_address("127.0.0.1"), peer_.port});
    constexpr std::size_t value_bytes = 70000;
    std::optional<std::string> received;
    std::string answer;
    const auto text =
        "GET / HTTP/1.1\r\nHost: a\r\nX-Large: " + std::string(value_bytes, 'x') + "\r\n\r\n";
    asio::async_write(raw, asio::buffer(text), [](const auto&, auto) {});
    asio::async_read(raw, asio::dynamic_buffer(answer),
                     [&](const auto&, auto) { received = answer; });
    run_until([&] { return received.has_value(); });
    EXPECT_TRUE(received->starts_with("HTTP/1.1 431 ")) << *received;
}

// As above, for a request to another process: the call ended never.
TEST_F(http_client_server, a_call_that_cannot_be_written_fails) {
    serve(echo);
    constexpr std::size_t value_bytes = 70000;
    EXPECT_FALSE(call({"GET", "/", {{"X-Large", std::string(value_bytes, 'x')}}, {}, {}},
                      {.inactivity_timeout = std::chrono::milliseconds{500}}));
}

// Incident LOST: an exception while an answer was read was dropped, and its call ended never.
TEST_F(http_client_server, an_exception_of_a_response_handler_fails_its_call) {
    serve(echo);
    bool is_failed = false;
    http_stream_handlers handlers;
    handlers.on_header = [](const auto& /*head*/) { throw std::length_error{"handler"}; };
    handlers.on_body = [](auto) {};
    handlers.on_end = [&](const http_failure* failure) { is_failed = failure != nullptr; };
    client_.stream(peer_, {"GET", "/", {}, {}, {}}, {}, std::move(handlers));
    constexpr std::size_t max_steps = 100;
    for (std::size_t step = 0; step < max_steps && client_.active_calls() > 0; ++step) {
        context_.run_one_for(std::chrono::milliseconds{100});
    }
    EXPECT_EQ(client_.active_calls(), 0U);
    EXPECT_TRUE(is_failed);
}

} // namespace
} // namespace magnolia
