/// Readers of bytes that backend servers send, fed with random ones. RC_PARAMS sets the seed and
/// the number of cases.
#include "gateway_fixture.h"

#include <rapidcheck/gtest.h>

namespace magnolia {
namespace {

/// A random sequence of the parts, some of them cut or with a changed byte.
std::string random_text(std::mt19937_64& random, std::span<const std::string_view> parts,
                        std::size_t max_parts) {
    constexpr unsigned mutation_period = 16;
    std::string text;
    for (auto count = random() % (max_parts + 1); count > 0; --count) {
        std::string part{parts[random() % parts.size()]};
        if (random() % mutation_period == 0) {
            part.resize(random() % part.size());
        } else if (random() % mutation_period == 0) {
            part[random() % part.size()] = static_cast<char>(random());
        }
        text += part;
    }
    return text;
}

constexpr std::array<std::string_view, 12> event_parts{
    "data: x", "id: 7", "id: 18446744073709551616", ": comment", "\r", "\n", "\r\n", "\n\n",
    "\r\r",    "id:",   "event: e\ndata: y\n\n",    " "};

// However a stream is cut into pieces, it has the same events, and no byte is lost or added.
RC_GTEST_PROP(answer_fuzz, a_stream_is_split_alike_whatever_pieces_it_comes_in,
              (std::uint64_t seed)) {
    std::mt19937_64 random{seed};
    const auto text = random_text(random, event_parts, 40);
    event_splitter whole;
    const auto expected = whole.append(text);
    event_splitter splitter;
    std::vector<stream_event> events;
    std::string seen;
    for (std::string_view rest{text}; !rest.empty();) {
        const auto size = std::min<std::size_t>(1 + random() % 9, rest.size());
        for (auto& event : splitter.append(rest.substr(0, size))) {
            seen += event.text;
            events.push_back(std::move(event));
        }
        rest.remove_prefix(size);
    }
    RC_ASSERT(seen + std::string{splitter.pending()} == text);
    RC_ASSERT(events.size() == expected.size());
    for (std::size_t index = 0; index < events.size(); ++index) {
        RC_ASSERT(events[index].id == expected[index].id);
        RC_ASSERT(events[index].has_field == expected[index].has_field);
    }
    RC_ASSERT(splitter.is_inside_event() == whole.is_inside_event());
}

constexpr std::array<std::string_view, 20> answer_parts{"HTTP/1.1 200 OK\r\n",
                                                        "HTTP/1.1 100 Continue\r\n\r\n",
                                                        "HTTP/1.0 503 x\r\n",
                                                        "signature: s\r\n",
                                                        "attempt: a1\r\n",
                                                        "attempt: a2\r\n",
                                                        "Content-Type: text/event-stream\r\n",
                                                        "Content-Length: 5\r\n",
                                                        "Content-Length: 99999999999999999999\r\n",
                                                        "Transfer-Encoding: chunked\r\n",
                                                        "Connection: close\r\n",
                                                        "\r\n",
                                                        "5\r\n",
                                                        "5;a=\"b\"\r\n",
                                                        "FFFFFFFFFFFFFFFFF\r\n",
                                                        "hello",
                                                        "0\r\n\r\n",
                                                        "0\r\na: b\r\n\r\n",
                                                        "id: 1\ndata: x\n\n",
                                                        "limit: 5\r\n"};

class answer_fuzz_host final : public gateway_fixture {
public:
    /// Status that a caller gets on the path from a backend server that sends these bytes and
    /// closes; 0 if the answer breaks off.
    unsigned answer_to(const std::string& path, const std::string& bytes, bool is_reset) {
        add_raw_backend("b1", path == "/unsafe/" ? "desk" : "llm")
            .add_script(bytes, is_reset ? connection_end::reset : connection_end::orderly);
        const auto answer = send_request({"POST", path, {}, "request", {}});
        return answer ? answer->status : 0;
    }

    [[nodiscard]] std::size_t kept_bytes() const { return shared_.kept_bytes; }
    [[nodiscard]] std::size_t ended() const { return summaries_.size(); }

private:
    void TestBody() override {}
};

// Each request ends once, and nothing of its answer is kept.
RC_GTEST_PROP(answer_fuzz, a_request_ends_whatever_bytes_answer_it, (std::uint64_t seed)) {
    std::mt19937_64 random{seed};
    const auto is_framed = random() % 4 != 0;
    const auto bytes = std::string{is_framed ? "HTTP/1.1 200 OK\r\nsignature: s\r\n" : ""} +
                       random_text(random, answer_parts, 14);
    answer_fuzz_host host;
    host.answer_to(random() % 2 == 0 ? "/unsafe/" : "/once-stream/", bytes, random() % 4 == 0);
    RC_ASSERT(host.ended() == 1U);
    RC_ASSERT(host.kept_bytes() == 0U);
}

} // namespace
} // namespace magnolia
