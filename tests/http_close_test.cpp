/// Connections of the server that close: what becomes of the requests on them.
#include "http_client.h"
#include "http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <thread>

namespace magnolia {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// More handlers than a request needs from its connection to its response.
constexpr int max_steps = 16;
const std::string request_text = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

/// A connection on which a test writes and reads bytes.
class raw_caller {
public:
    raw_caller(asio::io_context& context, std::uint16_t port) : socket_{context} {
        socket_.connect({asio::ip::make_address("127.0.0.1"), port});
    }

    void write(const std::string& text) { asio::write(socket_, asio::buffer(text)); }
    void close() { socket_.close(); }
    /// Reads until the connection ends.
    void read_to_end() {
        asio::async_read(socket_, asio::dynamic_buffer(received_),
                         [this](const auto& failure, auto) { end_ = failure; });
    }
    [[nodiscard]] const std::string& received() const { return received_; }
    /// How the connection ended; empty while it is open.
    [[nodiscard]] const std::optional<boost::system::error_code>& end() const { return end_; }
    /// Number of responses with status 200.
    [[nodiscard]] std::size_t served() const {
        std::size_t count = 0;
        for (auto at = received_.find("HTTP/1.1 200"); at != std::string::npos;
             at = received_.find("HTTP/1.1 200", at + 1)) {
            ++count;
        }
        return count;
    }

private:
    tcp::socket socket_;
    std::string received_;
    std::optional<boost::system::error_code> end_;
};

void answer(const http_request& /*request*/, const http_responder& responder) {
    responder.send({200, {}, "ok"});
}

/// A server and its callers on one context, whose handlers the test runs one by one.
class closing_server : public testing::Test {
protected:
    void serve(http_handler handler, http_server_limits limits = {}) {
        // The context stops when a server before this one has closed.
        context_.restart();
        server_.emplace(context_, limits, std::move(handler));
        server_->on_unanswered([this](const auto& request) { reports_.push_back(request); });
        ASSERT_TRUE(server_->listen(endpoint{}));
    }

    template <class Condition>
    void run_until(Condition condition) {
        while (!condition() && context_.run_one() > 0) {
        }
    }

    /// Runs this many of the handlers that are ready.
    void run_steps(int count) {
        for (int step = 0; step < count; ++step) {
            context_.poll_one();
        }
    }

    void read_to_end(raw_caller& caller) {
        caller.read_to_end();
        run_until([&] { return caller.end().has_value(); });
        ASSERT_TRUE(caller.end());
    }

    asio::io_context context_{1};
    std::optional<http_server> server_;
    std::vector<unanswered_request> reports_;
};

// Incident LOST: nothing showed that connections were closed with requests on them, nor why.
TEST_F(closing_server, a_request_without_a_complete_response_is_reported_with_its_cause) {
    std::optional<http_responder> held;
    serve([&](const auto&, const http_responder& responder) {
        responder.set_request_id("a1");
        held = responder;
    });
    const auto send = [&] {
        held.reset();
        auto caller = std::make_unique<raw_caller>(context_, server_->port());
        caller->write(request_text);
        run_until([&] { return held.has_value(); });
        return caller;
    };
    const auto leaving = send();
    leaving->close();
    run_until([this] { return reports_.size() == 1; });
    EXPECT_EQ(reports_.back().cause, cut_cause::peer_closed);
    EXPECT_EQ(reports_.back().id, "a1");
    EXPECT_FALSE(reports_.back().is_response_started);

    const auto reading = send();
    held->start(200, {});
    held->write("part", [&] { held->abort(); });
    run_until([this] { return reports_.size() == 2; });
    EXPECT_EQ(reports_.back().cause, cut_cause::aborted);
    EXPECT_TRUE(reports_.back().is_response_started);

    const auto waiting = send();
    raw_caller sending{context_, server_->port()};
    sending.write("POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
    run_until([this] { return server_->partial_requests() == 1; });
    server_->close();
    ASSERT_EQ(reports_.size(), 4U);
    EXPECT_EQ(std::ranges::count(reports_, cut_cause::server_closed, &unanswered_request::cause),
              2);
    EXPECT_EQ(std::ranges::count(reports_, false, &unanswered_request::is_received), 1);
}

TEST_F(closing_server, a_peer_that_does_not_read_is_reported) {
    http_server_limits limits;
    limits.write_timeout = std::chrono::milliseconds{20};
    serve(
        [](const auto&, const http_responder& responder) {
            responder.send({200, {}, std::string(std::size_t{64} << 20U, 'x')});
        },
        limits);
    raw_caller caller{context_, server_->port()};
    caller.write(request_text);
    run_until([this] { return !reports_.empty(); });
    EXPECT_EQ(reports_.back().cause, cut_cause::write_timeout);
    EXPECT_GT(reports_.back().pending_bytes, 0U);
}

TEST_F(closing_server, an_answered_request_is_not_reported) {
    serve(answer);
    raw_caller caller{context_, server_->port()};
    caller.write(request_text);
    run_until([this] { return server_->active_requests() == 1; });
    run_until([this] { return server_->active_requests() == 0; });
    server_.reset();
    EXPECT_TRUE(reports_.empty());
}

// Incident LOST: the connection of a request that had arrived was closed as idle, at the end of a
// stop.
TEST_F(closing_server, a_request_that_was_sent_before_the_listener_closed_is_answered) {
    for (int steps = 0; steps < max_steps; ++steps) {
        serve(answer);
        raw_caller caller{context_, server_->port()};
        caller.write(request_text);
        run_steps(steps);
        server_->stop_accepting();
        read_to_end(caller);
        EXPECT_EQ(caller.served(), 1U) << "steps " << steps << ": " << caller.end()->message();
    }
}

// As above, for a connection that is kept, when a stop begins.
TEST_F(closing_server, a_request_on_a_kept_connection_that_was_sent_before_the_drain_is_answered) {
    for (int steps = 0; steps < max_steps; ++steps) {
        std::size_t handled = 0;
        serve([&](const auto& request, const http_responder& responder) {
            ++handled;
            answer(request, responder);
        });
        raw_caller caller{context_, server_->port()};
        caller.write(request_text);
        run_until([&] { return handled == 1 && server_->active_requests() == 0; });
        run_steps(max_steps);
        caller.write(request_text);
        run_steps(steps);
        server_->begin_drain();
        read_to_end(caller);
        EXPECT_EQ(caller.served(), 2U) << "steps " << steps << ": " << caller.end()->message();
    }
}

// As above, for a request that was sent before the response to the one before it.
TEST_F(closing_server, a_pipelined_request_is_answered_unless_the_response_before_it_says_close) {
    for (int steps = 0; steps < max_steps; ++steps) {
        serve(answer);
        raw_caller caller{context_, server_->port()};
        caller.write(request_text + request_text);
        run_steps(steps);
        server_->begin_drain();
        read_to_end(caller);
        const bool says_close =
            caller.received().find("Connection: close") < caller.received().find("\r\n\r\n");
        EXPECT_EQ(caller.served(), says_close ? 1U : 2U)
            << "steps " << steps << ": " << caller.received();
    }
}

// Incident LOST: a request that began to arrive when its connection had been idle for the idle
// timeout was refused as slow.
TEST_F(closing_server, a_timeout_that_expires_with_the_arrival_of_a_request_does_not_cancel_it) {
    constexpr std::chrono::milliseconds idle_timeout{20};
    http_server_limits limits;
    limits.idle_timeout = idle_timeout;
    serve(answer, limits);
    raw_caller caller{context_, server_->port()};
    run_steps(max_steps);
    const auto half = static_cast<std::ptrdiff_t>(request_text.size() / 2);
    caller.write({request_text.begin(), request_text.begin() + half});
    // Arrival and timeout are noticed together.
    std::this_thread::sleep_for(2 * idle_timeout);
    run_steps(max_steps);
    caller.write({request_text.begin() + half, request_text.end()});
    caller.read_to_end();
    run_until([&] { return caller.end().has_value() || !caller.received().empty(); });
    run_steps(max_steps);
    EXPECT_EQ(caller.served(), 1U) << caller.received();
}

// Bytes behind a request whose response says close were left unread, so that the connection was
// reset before its caller had the rest of the response.
TEST_F(closing_server, bytes_after_a_last_request_do_not_cut_its_response) {
    const std::string body(std::size_t{512} << 10U, 'x');
    std::optional<http_responder> held;
    serve([&](const auto&, const http_responder& responder) { held = responder; });
    raw_caller caller{context_, server_->port()};
    caller.write("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
    run_until([&] { return held.has_value(); });
    caller.write(request_text);
    held->send({200, {}, body});
    run_until([this] { return server_->active_requests() == 0; });
    run_steps(max_steps);
    read_to_end(caller);
    EXPECT_EQ(caller.end(), asio::error::eof);
    EXPECT_EQ(std::ranges::count(caller.received(), 'x'), static_cast<std::ptrdiff_t>(body.size()));
}

} // namespace
} // namespace magnolia
