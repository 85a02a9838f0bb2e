/// Answers of backend servers in every framing of HTTP, complete and cut off.
#include "gateway_fixture.h"

namespace magnolia {
namespace {

/// Header of a signed event stream, without the field that frames the body.
constexpr std::string_view stream_header =
    "HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Type: text/event-stream\r\n";

std::string until_close(std::string_view body) {
    return std::string{stream_header} + "\r\n" + std::string{body};
}

std::string with_length(std::string_view body, std::size_t length) {
    return std::string{stream_header} + "Content-Length: " + std::to_string(length) + "\r\n\r\n" +
           std::string{body};
}

std::string chunked(std::string_view body) {
    std::array<char, 20> size{};
    const auto length = std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
    return std::string{stream_header} + "Transfer-Encoding: chunked\r\n\r\n" +
           std::string{size.data(), static_cast<std::size_t>(length)} + std::string{body} +
           "\r\n0\r\n\r\n";
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

// A connection that closes right after the header proves nothing about the answer.
TEST_F(gateway_fixture, an_unframed_stream_without_events_does_not_look_complete) {
    add_raw_backend("b1", "llm").add_script(until_close(""), connection_end::orderly);
    const auto answer = send_request({"POST", "/once-stream/", {}, "prompt", {}});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 502U);
}

} // namespace
} // namespace magnolia
