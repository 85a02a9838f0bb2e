/// Answers that are broken: cut by a reset while the request is still being written, without a
/// status of the protocol, or with a header that is malformed. None reaches a caller as an answer.
#include "gateway_fixture.h"
#include "host_relay.h"
#include "relay_receiver.h"

namespace magnolia {
namespace {

constexpr unsigned bad_gateway = 502;

/// Larger than the buffers of a connection, so that it is still being written when the backend
/// server answers.
const std::string long_upload(std::size_t{8} << 20U, 'u');

/// Larger than what the gateway keeps of an answer before it forwards the answer as it arrives.
constexpr std::size_t streamed_body = 100'000;
constexpr std::size_t small_body = 2'000;

class broken_answers : public gateway_fixture {
protected:
    using answer = tl::expected<http_response, http_failure>;

    /// The only backend server of the service from now on.
    raw_backend& serve(const std::string& service, std::string bytes, connection_end end) {
        fleet_.set_gone(std::exchange(listed_, "b" + std::to_string(++list_count_)));
        shared_.retry_budgets.clear();
        auto& backend = add_raw_backend(listed_, service);
        backend.add_script(std::move(bytes), end);
        return backend;
    }

    answer ask(const std::string& path, const std::string& body = {}) {
        return send_request({"POST", path, {}, body, {}});
    }

    /// Sends a request to the server without a gateway.
    answer call(const raw_backend& server, http_request request,
                const http_call_limits& limits = {}) {
        std::optional<answer> received;
        client_.call({"127.0.0.1", server.port()}, std::move(request), limits,
                     [&](auto result) { received = std::move(result); });
        run_until([&] { return received.has_value(); });
        return *received;
    }

    answer call_alone(std::string bytes, connection_end end, const std::string& body,
                      const http_call_limits& limits = {}) {
        raw_backend server{context_};
        server.add_script(std::move(bytes), end);
        return call(server, {"POST", "/", {}, body, {}}, limits);
    }

    /// Number of times the last request was sent to a backend server.
    [[nodiscard]] std::size_t sends() const { return summaries_.back().backends.size(); }

private:
    std::string listed_;
    int list_count_ = 0;
};

/// Whether the caller got no answer, or the gateway's own error.
bool is_failure(const tl::expected<http_response, http_failure>& answer) {
    return !answer || answer->status == bad_gateway;
}

/// Event that takes several reads.
std::string large_event(std::uint64_t id) {
    return event_text(id, std::string(small_body, 'x'));
}

std::string signed_head(std::string_view status_line) {
    return std::string{status_line} + "\r\nsignature: s\r\n";
}

/// Head of an answer that only the end of its connection ends, and the events with these ids.
std::string signed_events(std::initializer_list<std::uint64_t> ids) {
    auto text = signed_head("HTTP/1.1 200 OK") + "Content-Type: text/event-stream\r\n\r\n";
    std::ranges::for_each(ids, [&text](auto id) { text += large_event(id); });
    return text;
}

// Callers received a part of an answer as a complete one: the server had answered a long upload at
// once, without a length, and reset the connection.
TEST_F(broken_answers, a_reset_during_the_upload_does_not_complete_an_answer) {
    for (const auto* status_line : {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 400 Bad"}) {
        for (const auto* path : {"/unsafe/", "/safe/"}) {
            for (const auto body_bytes : {std::size_t{0}, small_body, streamed_body}) {
                serve("desk", signed_head(status_line) + "\r\n" + std::string(body_bytes, 'x'),
                      connection_end::reset);
                EXPECT_TRUE(is_failure(ask(path, long_upload)))
                    << status_line << ' ' << path << ' ' << body_bytes;
            }
        }
    }
}

TEST_F(broken_answers, a_reset_during_the_upload_does_not_complete_a_stream) {
    serve("llm", signed_events({1, 2}), connection_end::reset);
    EXPECT_FALSE(ask("/once-stream/", long_upload));
    ASSERT_EQ(answers_.size(), 1U);
    EXPECT_EQ(to_string(answers_.front()),
              "result=lost framing=until_close events=2 partial_event_bytes=0");
}

TEST_F(broken_answers, a_request_whose_upload_was_cut_is_sent_again_if_it_may_be) {
    auto& backend =
        serve("desk", signed_head("HTTP/1.1 200 OK") + "\r\n" + std::string(small_body, 'x'),
              connection_end::reset);
    backend.add_script(signed_head("HTTP/1.1 200 OK") + "Content-Length: 5\r\n\r\nwhole",
                       connection_end::orderly);
    const auto whole = ask("/safe/", long_upload);
    ASSERT_TRUE(whole);
    EXPECT_EQ(whole->body, "whole");
}

TEST_F(broken_answers, a_stream_whose_upload_was_cut_is_resumed) {
    auto& backend = serve("llm", signed_events({1}), connection_end::reset);
    backend.add_script(signed_events({2}), connection_end::reset);
    backend.add_script(signed_events({3}), connection_end::orderly);
    shared_.routes = std::make_shared<const route_table>([] {
        auto config = default_config();
        config.version = 2;
        std::ranges::for_each(config.routes, [](auto& route) { route.max_attempts = 3; });
        return config;
    }());
    const auto whole = ask("/stream/", long_upload);
    ASSERT_TRUE(whole);
    EXPECT_TRUE(whole->body == large_event(1) + large_event(2) + large_event(3));
}

// The length or the last chunk proves that the answer is whole.
TEST_F(broken_answers, a_framed_answer_is_complete_though_its_upload_was_cut) {
    for (const std::string rest : {"Content-Length: 5\r\n\r\nwhole",
                                   "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}) {
        serve("desk", signed_head("HTTP/1.1 200 OK") + rest, connection_end::reset);
        const auto whole = ask("/unsafe/", long_upload);
        ASSERT_TRUE(whole) << rest;
        EXPECT_EQ(whole->status, 200U) << rest;
        EXPECT_EQ(whole->body, "whole");
    }
}

// A connection that closes in good order, and takes the upload to its end, has had no error.
TEST_F(broken_answers, an_early_answer_that_an_orderly_close_ends_is_complete) {
    for (const auto body_bytes : {small_body, streamed_body}) {
        const std::string body(body_bytes, 'x');
        serve("desk", signed_head("HTTP/1.1 200 OK") + "\r\n" + body, connection_end::orderly);
        const auto whole = ask("/unsafe/", long_upload);
        ASSERT_TRUE(whole);
        EXPECT_EQ(whole->status, 200U);
        EXPECT_TRUE(whole->body == body);
    }
    serve("llm", signed_events({1}), connection_end::orderly);
    const auto events = ask("/once-stream/", long_upload);
    ASSERT_TRUE(events);
    EXPECT_TRUE(events->body == large_event(1));
}

// The close of the server's side alone does not show that the connection holds.
TEST_F(broken_answers, a_reset_right_after_the_close_does_not_complete_an_answer) {
    serve("desk", signed_head("HTTP/1.1 200 OK") + "\r\npart of it",
          connection_end::orderly_then_reset);
    EXPECT_TRUE(is_failure(ask("/unsafe/", long_upload)));
    serve("llm", signed_events({1}), connection_end::orderly_then_reset);
    EXPECT_FALSE(ask("/once-stream/", long_upload));
}

// A caller whose host passed the request on gets the failure of the host that had the server.
TEST_F(broken_answers, a_reset_during_the_upload_does_not_complete_an_answer_for_another_host) {
    object_relay reads;
    relay_receiver receiver{shared_, reads, [](const auto&) { return true; }};
    ASSERT_TRUE(receiver.listen(endpoint{}));
    receiver.set_limits({}, 1);
    for (const auto body_bytes : {small_body, streamed_body}) {
        serve("desk", signed_head("HTTP/1.1 200 OK") + "\r\n" + std::string(body_bytes, 'x'),
              connection_end::reset);
        auto request = make_relay_request(
            {"POST",
             "/unsafe/",
             {{"Host", "shop.example"}, {"attempt", "a1"}, {"key", "k1"}, {"time-left", "60000"}},
             long_upload,
             {}},
            {.sender = "g2", .time_left = milliseconds{60000}, .config_version = 1});
        std::optional<answer> received;
        http_client other_host{context_, 0};
        other_host.call({"127.0.0.1", receiver.server().port()}, std::move(request), {},
                        [&](auto result) { received = std::move(result); });
        run_until([&] { return received.has_value(); });
        EXPECT_TRUE(is_failure(*received)) << body_bytes;
    }
}

// A server that neither reads nor resets after its answer delays it for a bounded time only.
TEST_F(broken_answers, an_orderly_close_without_further_reads_completes_an_answer) {
    http_call_limits limits;
    limits.early_close_timeout = milliseconds{20};
    const auto whole = call_alone("HTTP/1.1 200 OK\r\n\r\nwhole", connection_end::orderly_unread,
                                  long_upload, limits);
    ASSERT_TRUE(whole);
    EXPECT_EQ(whole->body, "whole");
}

// A caller that leaves does not wait for the rest of its upload.
TEST_F(broken_answers, a_call_that_waits_after_an_early_close_can_be_cancelled) {
    raw_backend server{context_};
    server.add_script("HTTP/1.1 200 OK\r\n\r\nwhole", connection_end::orderly_unread);
    http_call_limits limits;
    limits.early_close_timeout = std::chrono::hours{1};
    std::string body;
    std::optional<http_failure> failure;
    const auto id =
        client_.stream({"127.0.0.1", server.port()}, {"POST", "/", {}, long_upload, {}}, limits,
                       {.on_header = {},
                        .on_body = [&](std::string_view text) { body += text; },
                        .on_end =
                            [&](const http_failure* cause) {
                                failure = cause != nullptr ? *cause : http_failure{};
                            }});
    run_until([&] { return body == "whole"; });
    context_.poll();
    EXPECT_FALSE(failure);
    client_.cancel(id);
    run_until([&] { return failure.has_value(); });
    EXPECT_EQ(failure->failure.code, error_code::caller_gone);
    EXPECT_FALSE(failure->is_timeout);
    EXPECT_EQ(client_.active_calls(), 0U);
}

// The client of every program: calls of services, engines, the store and the tools.
TEST_F(broken_answers, a_call_whose_upload_was_cut_has_no_answer) {
    for (const std::string head : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"}) {
        for (const auto& body : {std::string{}, std::string(streamed_body, 'x')}) {
            const auto cut = call_alone(head + body, connection_end::reset, long_upload);
            ASSERT_FALSE(cut) << head;
            EXPECT_EQ(cut.error().failure.code, error_code::connection);
            EXPECT_TRUE(cut.error().is_request_written);
            EXPECT_TRUE(cut.error().is_response_started);
        }
    }
}

/// Status lines without a status of the protocol (RFC 9110, section 15), which has three digits and
/// is 100 to 599. 101 would answer a request for another protocol, which no request makes.
constexpr std::array<std::string_view, 19> invalid_status_lines{"HTTP/1.1 000 Zero",
                                                                "HTTP/1.1 001 Low",
                                                                "HTTP/1.1 099 Low",
                                                                "HTTP/1.1 101 Switching",
                                                                "HTTP/1.1 600 High",
                                                                "HTTP/1.1 999 High",
                                                                "HTTP/1.0 000 Zero",
                                                                "HTTP/1.1 0 Zero",
                                                                "HTTP/1.1 20 Short",
                                                                "HTTP/1.1 2000 OK",
                                                                "HTTP/1.1 20x OK",
                                                                "HTTP/1.1 -20 OK",
                                                                "HTTP/1.1 +20 OK",
                                                                "HTTP/1.1  200 OK",
                                                                "HTTP/1.1\t200 OK",
                                                                "HTTP/1.1 2 0 OK",
                                                                "HTTP/1.1 \xb2"
                                                                "00 OK",
                                                                "HTTP/1.1 200OK",
                                                                "HTTP/1.1 "};

// Callers received answers whose status was 000, 600 or 999.
TEST_F(broken_answers, an_invalid_status_is_no_answer) {
    for (const auto status_line : invalid_status_lines) {
        const auto head = signed_head(status_line);
        for (const auto& rest :
             {std::string{"Content-Length: 5\r\n\r\nwhole"}, std::string{"\r\nwhole"},
              "\r\n" + std::string(streamed_body, 'x')}) {
            for (const auto* path : {"/unsafe/", "/safe/"}) {
                serve("desk", head + rest, connection_end::orderly);
                const auto answer = ask(path);
                ASSERT_TRUE(answer) << status_line << ' ' << path << ' ' << rest.size();
                EXPECT_EQ(answer->status, bad_gateway) << status_line << ' ' << path;
                EXPECT_TRUE(find_header(answer->headers, "signature").empty()) << status_line;
            }
        }
        serve("llm", head + "Content-Type: text/event-stream\r\n\r\n" + event_text(1),
              connection_end::orderly);
        const auto events = ask("/once-stream/");
        ASSERT_TRUE(events) << status_line;
        EXPECT_EQ(events->status, bad_gateway) << status_line;
        EXPECT_EQ(sends(), 1U) << status_line;
    }
}

// A status under 100 is no interim answer, so that nothing behind it is the final one.
TEST_F(broken_answers, what_follows_an_invalid_status_is_no_answer) {
    const std::string whole = "HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Length: 5\r\n\r\nwhole";
    for (const auto status_line : invalid_status_lines) {
        for (const auto* rest : {"\r\n", "Content-Length: 0\r\n\r\n"}) {
            serve("desk", signed_head(status_line) + rest + whole, connection_end::orderly);
            const auto answer = ask("/unsafe/");
            ASSERT_TRUE(answer) << status_line;
            EXPECT_EQ(answer->status, bad_gateway) << status_line;
        }
    }
}

TEST_F(broken_answers, a_request_that_got_an_invalid_status_is_sent_again_if_it_may_be) {
    for (const auto status_line : invalid_status_lines) {
        auto& backend = serve("desk", signed_head(status_line) + "Content-Length: 0\r\n\r\n",
                              connection_end::orderly);
        backend.add_script(signed_head("HTTP/1.1 200 OK") + "Content-Length: 5\r\n\r\nwhole",
                           connection_end::orderly);
        const auto whole = ask("/safe/");
        ASSERT_TRUE(whole) << status_line;
        EXPECT_EQ(whole->body, "whole") << status_line;
    }
}

TEST_F(broken_answers, a_stream_is_not_resumed_with_an_invalid_status) {
    for (const auto status_line : invalid_status_lines) {
        auto& backend = serve("llm", signed_events({1}), connection_end::reset);
        backend.add_script(signed_head(status_line) + "Content-Type: text/event-stream\r\n\r\n" +
                               event_text(2),
                           connection_end::orderly);
        EXPECT_FALSE(ask("/stream/")) << status_line;
        EXPECT_EQ(sends(), 2U) << status_line;
    }
}

TEST_F(broken_answers, a_call_that_got_an_invalid_status_has_no_answer) {
    for (const auto status_line : invalid_status_lines) {
        const auto broken =
            call_alone(std::string{status_line} + "\r\nContent-Length: 5\r\n\r\nwhole",
                       connection_end::orderly, {});
        ASSERT_FALSE(broken) << status_line;
        EXPECT_EQ(broken.error().failure.code, error_code::bad_request) << status_line;
        EXPECT_TRUE(broken.error().is_request_written);
    }
}

// The outermost statuses of the protocol, and interim answers, stay as they are.
TEST_F(broken_answers, each_status_of_the_protocol_is_an_answer) {
    for (unsigned status = 200; status < 600; ++status) {
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n";
        const auto answer = call_alone(interim + "HTTP/1.1 " + std::to_string(status) +
                                           " Status\r\nContent-Length: 0\r\n\r\n",
                                       connection_end::orderly, {});
        ASSERT_TRUE(answer) << status;
        EXPECT_EQ(answer->status, status);
    }
}

// The call waited for a further answer on the closed connection, until its time limit.
TEST_F(broken_answers, an_answer_to_another_call_that_the_close_ends_ends_the_call) {
    http_call_limits limits;
    limits.correlation_header = {"number", "2"};
    limits.inactivity_timeout = milliseconds{500};
    for (const auto body_bytes : {std::size_t{0}, small_body, streamed_body}) {
        const auto lost =
            call_alone("HTTP/1.1 200 OK\r\nnumber: 1\r\n\r\n" + std::string(body_bytes, 'x'),
                       connection_end::orderly, {}, limits);
        ASSERT_FALSE(lost) << body_bytes;
        EXPECT_EQ(lost.error().failure.code, error_code::connection) << body_bytes;
        EXPECT_FALSE(lost.error().is_timeout) << body_bytes;
    }
}

using namespace std::string_view_literals;

/// Lines of a header that are no field lines (RFC 9112, section 5). The ones that begin with a
/// blank would continue the value of the line before.
constexpr std::array invalid_field_lines{" Content-Length: 2"sv,
                                         "\tContent-Length: 2"sv,
                                         " folded: x"sv,
                                         "\tfolded: x"sv,
                                         "  "sv,
                                         "empty:\r\n folded: x"sv,
                                         "empty:\r\n\t"sv,
                                         " no colon"sv,
                                         "bad name: x"sv,
                                         "bad\tname: x"sv,
                                         "bad\x01name: x"sv,
                                         "bad\0name: x"sv,
                                         "bad\x7fname: x"sv,
                                         "bad\x80name: x"sv,
                                         "bad\rname: x"sv,
                                         "bad\nname: x"sv,
                                         "name : x"sv,
                                         "name\t: x"sv,
                                         "no-colon"sv,
                                         ": no name"sv,
                                         "Content-Length : 2"sv,
                                         "Content-Length\t: 2"sv,
                                         "Content Length: 2"sv,
                                         "\x01"
                                         "a: x"sv,
                                         "Transfer-Encoding : gzip"sv,
                                         "name: bad\x01value"sv,
                                         "name: bad\0value"sv,
                                         "name: bad\x7fvalue"sv,
                                         "name: bad\rvalue"sv,
                                         "name: bad\nvalue"sv,
                                         "Content-Length: +2"sv};

/// Answers with the line at the beginning, in the middle and at the end of their header, in each
/// framing.
std::vector<std::string> answers_with_line(std::string_view line, std::string_view type,
                                           const std::string& body) {
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const auto type_line = "Content-Type: " + std::string{type} + "\r\n";
    const auto broken = std::string{line} + "\r\n";
    const auto size = std::to_string(body.size());
    std::vector<std::string> answers;
    for (const auto& [framing, content] :
         {std::pair{std::string{}, body}, std::pair{"Content-Length: " + size + "\r\n", body},
          std::pair{std::string{"Transfer-Encoding: chunked\r\n"}, chunk_text(body)}}) {
        const std::string signature = "signature: s\r\n";
        answers.push_back(status + broken + signature + type_line + framing + "\r\n" + content);
        answers.push_back(status + signature + broken + type_line + framing + "\r\n" + content);
        answers.push_back(status + framing + type_line + signature + broken + "\r\n" + content);
    }
    return answers;
}

// Callers received answers with a malformed line in their header: it was passed on as a part of
// the line before, and where it named the length, the body was not the server's.
TEST_F(broken_answers, a_malformed_header_is_no_answer) {
    for (const auto line : invalid_field_lines) {
        for (const auto& bytes : answers_with_line(line, "text/plain", "whole")) {
            serve("desk", bytes, connection_end::orderly);
            const auto answer = ask("/unsafe/");
            ASSERT_TRUE(answer) << bytes;
            EXPECT_EQ(answer->status, bad_gateway) << bytes;
            EXPECT_EQ(sends(), 1U) << bytes;
            EXPECT_TRUE(find_header(answer->headers, "signature").empty()) << bytes;
        }
    }
}

TEST_F(broken_answers, a_stream_with_a_malformed_header_is_no_answer) {
    for (const auto line : invalid_field_lines) {
        for (const auto& bytes : answers_with_line(line, "text/event-stream", event_text(1))) {
            serve("llm", bytes, connection_end::orderly);
            const auto answer = ask("/once-stream/");
            ASSERT_TRUE(answer) << bytes;
            EXPECT_EQ(answer->status, bad_gateway) << bytes;
            EXPECT_EQ(sends(), 1U) << bytes;
        }
    }
}

TEST_F(broken_answers, a_stream_is_not_resumed_with_a_malformed_header) {
    for (const auto line : invalid_field_lines) {
        for (const auto& bytes : answers_with_line(line, "text/event-stream", event_text(2))) {
            auto& backend = serve("llm", signed_events({1}), connection_end::reset);
            backend.add_script(bytes, connection_end::orderly);
            EXPECT_FALSE(ask("/stream/")) << bytes;
            EXPECT_EQ(sends(), 2U) << bytes;
        }
    }
}

TEST_F(broken_answers, a_request_that_got_a_malformed_header_is_sent_again_if_it_may_be) {
    for (const auto line : invalid_field_lines) {
        auto& backend = serve("desk", answers_with_line(line, "text/plain", "broken").front(),
                              connection_end::orderly);
        backend.add_script(signed_head("HTTP/1.1 200 OK") + "Content-Length: 5\r\n\r\nwhole",
                           connection_end::orderly);
        const auto whole = ask("/safe/");
        ASSERT_TRUE(whole) << line;
        EXPECT_EQ(whole->body, "whole") << line;
    }
}

TEST_F(broken_answers, an_interim_answer_with_a_malformed_header_is_followed_by_no_answer) {
    for (const auto line : invalid_field_lines) {
        const auto interim = "HTTP/1.1 103 Hints\r\nnote: x\r\n" + std::string{line} + "\r\n\r\n";
        EXPECT_FALSE(call_alone(interim + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
                                connection_end::orderly, {}))
            << line;
    }
}

// Nothing of the trailers is passed on, but they are a part of the answer.
TEST_F(broken_answers, malformed_trailers_do_not_complete_an_answer) {
    const auto head = signed_head("HTTP/1.1 200 OK") + "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto line : invalid_field_lines) {
        const auto trailers = "note: x\r\n" + std::string{line} + "\r\n";
        for (const auto body_bytes : {small_body, streamed_body}) {
            serve("desk", head + chunk_text(std::string(body_bytes, 'x'), trailers),
                  connection_end::orderly);
            EXPECT_TRUE(is_failure(ask("/unsafe/"))) << line << ' ' << body_bytes;
        }
    }
}

TEST_F(broken_answers, a_call_that_got_a_malformed_header_has_no_answer) {
    for (const auto line : invalid_field_lines) {
        for (const auto& bytes : answers_with_line(line, "text/plain", "whole")) {
            const auto broken = call_alone(bytes, connection_end::orderly, {});
            ASSERT_FALSE(broken) << bytes;
            EXPECT_EQ(broken.error().failure.code, error_code::bad_request) << bytes;
        }
    }
}

// What a field may hold stays allowed: blanks around and in its value, 8-bit bytes, no value.
TEST_F(broken_answers, unusual_fields_are_passed_on) {
    serve("desk",
          signed_head("HTTP/1.1 200 OK") +
              "no-space:a b\r\nspaces: \t a\tb \t \r\n8-bit: \xe9\r\nempty:\r\nblank: \r\n"
              "!#$%&'*+-.^_`|~9aZ: x\r\nContent-Length: 5\r\n\r\nwhole",
          connection_end::orderly);
    const auto whole = ask("/unsafe/");
    ASSERT_TRUE(whole);
    EXPECT_EQ(whole->body, "whole");
    EXPECT_EQ(find_header(whole->headers, "no-space"), "a b");
    EXPECT_EQ(find_header(whole->headers, "spaces"), "a\tb");
    EXPECT_EQ(find_header(whole->headers, "8-bit"), "\xe9");
    EXPECT_EQ(find_header(whole->headers, "!#$%&'*+-.^_`|~9aZ"), "x");
}

// The client reads a header in pieces: the end of one may stand anywhere in the line.
TEST_F(broken_answers, a_malformed_header_in_pieces_is_no_answer) {
    constexpr std::size_t max_piece = 512;
    for (std::size_t padding = 1; padding <= max_piece; ++padding) {
        const auto bytes = "HTTP/1.1 200 OK\r\npadding: " + std::string(padding, 'x') +
                           "\r\n Content-Length: 2\r\nsignature: s\r\n\r\nwhole";
        EXPECT_FALSE(call_alone(bytes, connection_end::orderly, {})) << padding;
    }
}

} // namespace
} // namespace magnolia
