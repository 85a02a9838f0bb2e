/// Answers of backend servers in every framing of HTTP, complete and cut off.
#include "gateway_fixture.h"

namespace magnolia {
namespace {

/// Status line and header of a signed answer, without the field that frames the body.
std::string header_of(std::string_view content_type) {
    return "HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Type: " + std::string{content_type} + "\r\n";
}

constexpr std::string_view event_type = "text/event-stream";

std::string until_close(std::string_view body, std::string_view type = event_type) {
    return header_of(type) + "\r\n" + std::string{body};
}

std::string with_length(std::string_view body, std::size_t length,
                        std::string_view type = event_type) {
    return header_of(type) + "Content-Length: " + std::to_string(length) + "\r\n\r\n" +
           std::string{body};
}

std::string chunked(std::string_view body, std::string_view type = event_type) {
    return header_of(type) + "Transfer-Encoding: chunked\r\n\r\n" + chunk_text(body);
}

/// Whether the response of the gateway, which it streams in chunks, has its last chunk.
bool has_last_chunk(std::string_view response) {
    return response.ends_with("\r\n0\r\n\r\n");
}

TEST_F(gateway_fixture, the_end_of_each_attempt_is_reported_with_its_framing) {
    const auto events = event_text(1) + event_text(2);
    auto& backend = add_raw_backend("b1", "llm");
    backend.add_script(until_close(events), connection_end::orderly);
    backend.add_script(until_close(events + "id: 3\n"), connection_end::reset);
    backend.add_script(with_length(events, events.size()), connection_end::orderly);
    backend.add_script(with_length(events, events.size() + 1), connection_end::orderly);
    for (std::size_t request = 0; request < 4; ++request) {
        (void)send_raw("POST", "/once-stream/");
    }
    ASSERT_EQ(answers_.size(), 4U);
    EXPECT_EQ(to_string(answers_[0]),
              "result=done framing=until_close events=2 partial_event_bytes=0");
    EXPECT_EQ(to_string(answers_[1]),
              "result=lost framing=until_close events=2 partial_event_bytes=6");
    EXPECT_EQ(to_string(answers_[2]),
              "result=done framing=content_length events=2 partial_event_bytes=0");
    EXPECT_EQ(to_string(answers_[3]),
              "result=lost framing=content_length events=2 partial_event_bytes=0");
}

// Callers received streams that their backend server had broken off as complete responses: the
// framing of the answer, or the close of its connection, was taken as proof.
TEST_F(gateway_fixture, a_stream_that_ends_inside_an_event_does_not_look_complete) {
    const auto body = event_text(1) + event_text(2) + "id: 3\ndata: x";
    auto& backend = add_raw_backend("b1", "llm");
    backend.add_script(until_close(body), connection_end::orderly);
    backend.add_script(with_length(body, body.size()), connection_end::orderly);
    backend.add_script(chunked(body), connection_end::orderly);
    for (std::size_t request = 0; request < 3; ++request) {
        const auto response = send_raw("POST", "/once-stream/");
        EXPECT_EQ(count_of(response, "id: "), 2U) << request;
        EXPECT_FALSE(has_last_chunk(response)) << request;
    }
}

// The same end of a stream that may be resumed: the caller gets the rest from another run.
TEST_F(gateway_fixture, a_stream_that_ends_inside_an_event_is_resumed) {
    auto& backend = add_raw_backend("b1", "llm");
    backend.add_script(until_close(event_text(1) + "id: 2\nda"), connection_end::orderly);
    backend.add_script(until_close(event_text(2) + event_text(3)), connection_end::orderly);
    const auto answer = send_request({"POST", "/stream/", {}, "prompt", {}});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, event_text(1) + event_text(2) + event_text(3));
}

/// What may follow a part of a stream, in its place or behind it; all of it is about `error text`.
std::vector<std::string> errors_after_a_part() {
    const std::string text = "error text\n\n";
    const auto length = "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    const std::string events = "Content-Type: text/event-stream\r\n";
    return {"HTTP/1.1 500 Failed\r\nsignature: s\r\n" + length,
            "HTTP/1.1 503 Full\r\nnot-run: 1\r\n" + length,
            "HTTP/1.1 502 Failed\r\n" + length,
            "HTTP/1.1 200 OK\r\n" + events + length,
            "HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Type: text/plain\r\n" + length,
            "HTTP/1.1 200 OK\r\nsignature: s\r\n" + events + length,
            "HTTP/1.1 200 OK\r\nsignature: s\r\n" + events + "\r\n" + text,
            text};
}

// Callers found the text of an error, or its whole head, in the middle of their stream, or the
// stream ended as if it were complete.
TEST_F(gateway_fixture, the_error_of_the_next_server_is_no_part_of_the_stream) {
    for (const auto& error_answer : errors_after_a_part()) {
        auto& backend = add_raw_backend("b1", "llm");
        backend.add_script(until_close(event_text(1) + event_text(2)), connection_end::reset);
        backend.add_script(error_answer, connection_end::orderly);
        const auto response = send_raw("POST", "/stream/");
        EXPECT_EQ(count_of(response, "id: "), 2U) << error_answer;
        EXPECT_EQ(count_of(response, "error text"), 0U) << error_answer;
        EXPECT_EQ(count_of(response, "HTTP/1."), 1U) << error_answer;
        EXPECT_FALSE(has_last_chunk(response)) << error_answer;
    }
}

// The same where the error stands behind the part, in an answer that ends with its connection.
TEST_F(gateway_fixture, an_error_behind_a_part_of_a_stream_is_no_part_of_it) {
    for (const auto& error_answer : errors_after_a_part()) {
        auto& backend = add_raw_backend("b1", "llm");
        backend.add_script(until_close(event_text(1) + event_text(2) + error_answer),
                           connection_end::orderly);
        backend.add_script(until_close(event_text(3)), connection_end::orderly);
        const auto answer = send_request({"POST", "/stream/", {}, "prompt", {}});
        ASSERT_TRUE(answer) << error_answer;
        EXPECT_EQ(answer->body, event_text(1) + event_text(2) + event_text(3)) << error_answer;
    }
}

// A run that was cut inside an event had more to send, so a resumed one without a further event is
// no complete rest. The caller received a complete stream that lacked its end.
TEST_F(gateway_fixture, a_resumed_stream_without_the_event_that_was_cut_does_not_look_complete) {
    const auto cut = until_close(event_text(1) + "id: 2\nda");
    for (const std::string body : {"", "id: 1\ndata: x\n\n"}) {
        auto& backend = add_raw_backend("b" + std::to_string(body.size()), "llm");
        backend.add_script(cut, connection_end::orderly);
        backend.add_script(with_length(body, body.size()), connection_end::orderly);
        const auto response = send_raw("POST", "/stream/");
        EXPECT_EQ(count_of(response, "id: "), 1U);
        EXPECT_FALSE(has_last_chunk(response)) << body;
        fleet_.set_gone("b" + std::to_string(body.size()));
    }
}

// The break before the last chunk may come after the last event; then nothing is left to resume.
TEST_F(gateway_fixture, a_stream_that_broke_after_its_last_event_is_completed_by_an_empty_rest) {
    auto& backend = add_raw_backend("b1", "llm");
    const auto body = event_text(1) + event_text(2);
    backend.add_script(with_length(body, body.size() + 1), connection_end::orderly);
    backend.add_script(with_length("", 0), connection_end::orderly);
    const auto answer = send_request({"POST", "/stream/", {}, "prompt", {}});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, body);
}

// A connection that closes right after the header proves nothing about the answer.
TEST_F(gateway_fixture, an_unframed_stream_without_events_does_not_look_complete) {
    add_raw_backend("b1", "llm").add_script(until_close(""), connection_end::orderly);
    const auto answer = send_request({"POST", "/once-stream/", {}, "prompt", {}});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 502U);
}

// Bytes outside the framed body belong to no answer.
TEST_F(gateway_fixture, a_framed_answer_ends_where_its_framing_says) {
    const std::string body = "order 1 placed";
    const auto whole = with_length(body, body.size(), "text/plain");
    auto with_trailer = chunked(body, "text/plain");
    with_trailer.insert(with_trailer.size() - 2, "note: late\r\n");
    auto with_extension = chunked(body, "text/plain");
    with_extension.insert(with_extension.find("\r\n" + body), ";part=1");
    auto& backend = add_raw_backend("b1", "desk");
    for (const auto& bytes :
         {whole + "more", whole + whole, chunked(body, "text/plain") + "more",
          "HTTP/1.1 102 Processing\r\n\r\n" + whole, with_trailer, with_extension}) {
        for (const auto end : {connection_end::orderly, connection_end::reset}) {
            backend.clear_scripts();
            backend.add_script(bytes, end);
            const auto answer = send_request({"POST", "/unsafe/", {}, {}, {}});
            ASSERT_TRUE(answer);
            EXPECT_EQ(answer->status, 200U) << bytes;
            EXPECT_EQ(answer->body, body) << bytes;
        }
    }
}

/// Sends each answer cut off at every byte, closed and reset, through the gateway.
class cut_answers : public gateway_fixture {
protected:
    /// One answer that was cut off, and what the caller received.
    struct outcome {
        /// Bytes of the body that the backend server sent.
        std::string sent_body;
        bool has_whole_header = false;
        connection_end end;
        tl::expected<http_response, http_failure> answer;
    };

    /// Calls `check` for each cut of the answer `bytes`, which ends with `body`, except for the
    /// bytes of its framing. A request that is sent again gets the complete answer.
    template <class Check>
    void for_each_cut(const std::string& service, const std::string& path, const std::string& bytes,
                      const std::string& body, Check check) {
        auto& backend = add_raw_backend("b0", service);
        const auto body_start = bytes.find(body);
        for (const auto end : {connection_end::orderly, connection_end::reset}) {
            for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
                relist(service, backend.port());
                backend.clear_scripts();
                backend.add_script(bytes.substr(0, cut), end);
                backend.add_script(bytes, connection_end::orderly);
                const auto sent = cut > body_start ? cut - body_start : 0;
                check(outcome{body.substr(0, sent), cut >= body_start, end,
                              send_request({"POST", path, {}, {}, {}})});
            }
        }
        fleet_.set_gone(listed_);
    }

private:
    /// Lists the backend server as a new process, so that earlier failures do not count against it.
    void relist(const std::string& service, std::uint16_t port) {
        fleet_.set_gone(std::exchange(listed_, "b" + std::to_string(++list_count_)));
        list_backend(listed_, service, port);
        shared_.retry_budgets.clear();
    }

    std::string listed_ = "b0";
    int list_count_ = 0;
};

const std::string three_events = event_text(1) + event_text(2) + event_text(3);

/// Whether the text consists of complete events, at least one.
bool has_complete_events_only(std::string_view text) {
    return text.ends_with("\n\n");
}

// An answer of which a part is missing must not look complete. Only the protocol's own limit
// remains: the close of a connection between two events, with nothing else that marks the end.
TEST_F(cut_answers, a_stream_that_may_not_run_again_never_looks_complete) {
    for (const auto& bytes :
         {with_length(three_events, three_events.size()), chunked(three_events)}) {
        for_each_cut("llm", "/once-stream/", bytes, three_events, [](const outcome& cut) {
            EXPECT_FALSE(cut.answer && cut.answer->status == 200);
        });
    }
    for_each_cut("llm", "/once-stream/", until_close(three_events), three_events,
                 [](const outcome& cut) {
                     const bool is_complete = cut.answer && cut.answer->status == 200;
                     EXPECT_EQ(is_complete, cut.end == connection_end::orderly &&
                                                has_complete_events_only(cut.sent_body))
                         << cut.sent_body;
                 });
}

TEST_F(cut_answers, a_stream_that_may_be_resumed_is_delivered_whole) {
    for (const auto& bytes : {with_length(three_events, three_events.size()), chunked(three_events),
                              until_close(three_events)}) {
        const bool is_framed = bytes != until_close(three_events);
        for_each_cut("llm", "/stream/", bytes, three_events, [&](const outcome& cut) {
            ASSERT_TRUE(cut.answer) << cut.sent_body;
            const bool may_be_short = !is_framed && cut.end == connection_end::orderly &&
                                      has_complete_events_only(cut.sent_body);
            EXPECT_EQ(cut.answer->body, may_be_short ? cut.sent_body : three_events);
        });
    }
}

TEST_F(cut_answers, a_plain_answer_never_looks_complete) {
    const std::string body = "order 1 placed";
    for (const auto& bytes :
         {with_length(body, body.size(), "text/plain"), chunked(body, "text/plain")}) {
        for_each_cut("desk", "/unsafe/", bytes, body, [](const outcome& cut) {
            ASSERT_TRUE(cut.answer);
            EXPECT_EQ(cut.answer->status, 502U) << cut.sent_body;
        });
    }
    for_each_cut("desk", "/unsafe/", until_close(body, "text/plain"), body, [](const outcome& cut) {
        ASSERT_TRUE(cut.answer);
        const bool looks_complete = cut.has_whole_header && cut.end == connection_end::orderly;
        EXPECT_EQ(cut.answer->status, looks_complete ? 200U : 502U) << cut.sent_body;
    });
}

// A report of other operators: callers got a 200 with an empty or short body, framed as whole, when
// a server stopped inside its head. Interim answers are heads of their own.
TEST_F(cut_answers, a_head_cut_behind_interim_answers_never_looks_complete) {
    const std::string body = "order 1 placed";
    for (const std::string interim :
         {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nsignature: s\r\n\r\n"}) {
        for (const auto& bytes : {interim + with_length(body, body.size(), "text/plain"),
                                  interim + interim + chunked(body, "text/plain")}) {
            for_each_cut("desk", "/unsafe/", bytes, body, [](const outcome& cut) {
                ASSERT_TRUE(cut.answer);
                EXPECT_EQ(cut.answer->status, 502U) << cut.sent_body;
            });
        }
        for_each_cut(
            "llm", "/once-stream/", interim + chunked(three_events), three_events,
            [](const outcome& cut) { EXPECT_FALSE(cut.answer && cut.answer->status == 200); });
    }
}

// The same for the server at which a stream is resumed: the caller has a 200 already.
TEST_F(gateway_fixture,
       a_stream_resumed_at_a_server_that_stops_in_its_head_does_not_look_complete) {
    const auto head = until_close("");
    for (const auto end : {connection_end::orderly, connection_end::reset}) {
        for (std::size_t cut = 0; cut < head.size(); cut += 7) {
            const auto id =
                "b" + std::to_string(cut) + (end == connection_end::reset ? "-reset" : "-orderly");
            auto& backend = add_raw_backend(id, "llm");
            backend.add_script(until_close(event_text(1)), connection_end::reset);
            backend.add_script(head.substr(0, cut), end);
            const auto response = send_raw("POST", "/stream/");
            EXPECT_EQ(count_of(response, "id: "), 1U) << cut;
            EXPECT_FALSE(has_last_chunk(response)) << cut;
            EXPECT_GE(backend.connection_count(), 2U) << cut;
            fleet_.set_gone(id);
            shared_.retry_budgets.clear();
        }
    }
}

} // namespace
} // namespace magnolia
