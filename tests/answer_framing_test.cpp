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

} // namespace
} // namespace magnolia
