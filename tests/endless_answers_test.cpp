/// Backend servers that send bytes which are no answer, without end, until their connection closes.
#include "event_stream.h"
#include "gateway_fixture.h"

#include <malloc.h>

namespace magnolia {
namespace {

constexpr std::size_t block_bytes = std::size_t{64} << 10U;

/// Sends the head, then the same block until the peer closes the connection.
class endless_sender : public std::enable_shared_from_this<endless_sender> {
public:
    endless_sender(http_responder responder, std::string block, std::size_t& sent)
        : responder_{std::move(responder)}, block_{std::move(block)}, sent_{sent} {}

    void send() {
        if (responder_.is_closed()) {
            return;
        }
        responder_.write(block_, [self = shared_from_this()] {
            self->sent_ += self->block_.size();
            self->send();
        });
    }

private:
    http_responder responder_;
    std::string block_;
    std::size_t& sent_;
};

class endless_answers : public gateway_fixture {
protected:
    http_handler send_without_end(unsigned status, http_headers headers, std::string block) {
        return [this, status, headers = std::move(headers),
                block = std::move(block)](const http_request&, const http_responder& responder) {
            responder.start(status, headers);
            std::make_shared<endless_sender>(responder, block, sent_)->send();
        };
    }

    /// Status of the only request, and why it ended.
    std::pair<unsigned, std::string> status_and_cause(const std::string& service,
                                                      const std::string& path,
                                                      const http_handler& handler) {
        add_backend("b1", service).add_handler(handler);
        const auto answer = send_request({"POST", path, {}, "request", {}});
        EXPECT_TRUE(answer);
        return {answer ? answer->status : 0U, summaries_.back().cause};
    }

    std::size_t sent_ = 0;
};

// A report of other operators: a host kept all bytes of such an answer and ran out of memory. It
// kept 16 MB of each (64 calls: 519 MB), then gave the answer up for its size.
TEST_F(endless_answers, an_unsigned_answer_is_given_up_once_it_is_larger_than_any_error) {
    const auto [status, cause] = status_and_cause(
        "desk", "/unsafe/", send_without_end(200, {}, std::string(block_bytes, 'x')));
    EXPECT_EQ(status, 502U);
    EXPECT_NE(cause.find("too many bytes that are no answer"), std::string::npos) << cause;
    EXPECT_LT(sent_, config::max_body_bytes);
}

TEST_F(endless_answers, an_error_page_of_a_server_is_given_up) {
    const auto [status, cause] = status_and_cause(
        "desk", "/unsafe/", send_without_end(500, {}, std::string(block_bytes, 'x')));
    EXPECT_EQ(status, 502U);
    EXPECT_NE(cause.find("too many bytes that are no answer"), std::string::npos) << cause;
}

// The same for many calls at once, on a host that is priced for 160 MB.
TEST_F(endless_answers, many_at_once_cost_a_host_little_memory) {
    constexpr std::size_t call_count = 64;
    constexpr std::size_t max_bytes_of_call = std::size_t{1} << 20U;
    const http_headers stream{{"signature", "s"}, {"Content-Type", "text/event-stream"}};
    add_backend("b1", "desk").add_handler(send_without_end(200, {}, std::string(block_bytes, 'x')));
    add_backend("b2", "llm")
        .add_handler(
            send_without_end(200, stream, "data: " + std::string(block_bytes, 'x') + "\n"));
    http_client caller{context_, 0};
    std::size_t answered = 0;
    const auto used = [] {
        const auto info = ::mallinfo2();
        return info.uordblks + info.hblkhd;
    };
    const auto before = used();
    auto peak = before;
    for (std::size_t call = 0; call < call_count; ++call) {
        caller.call({"127.0.0.1", gateway_server_.port()},
                    {"POST",
                     call % 2 == 0 ? "/unsafe/" : "/once-stream/",
                     {{"Host", "shop.example"}, {"attempt", "a1"}, {"key", "k1"}},
                     {},
                     {}},
                    {}, [&](const auto& answer) {
                        EXPECT_TRUE(answer && answer->status >= 500);
                        ++answered;
                    });
    }
    run_until([&] {
        peak = std::max(peak, used());
        return answered == call_count;
    });
    // Buffers of the servers and callers of the test are counted too.
    EXPECT_LT(peak - before, call_count * max_bytes_of_call);
}

// The head is whole: what it proves is not lost with the body.
TEST_F(endless_answers, a_refusal_stays_one_whatever_follows_it) {
    const auto [status, cause] =
        status_and_cause("desk", "/unsafe/",
                         send_without_end(503, {{"not-run", "1"}}, std::string(block_bytes, 'x')));
    EXPECT_EQ(status, 503U) << cause;
}

// The same for an event that does not end (64 calls: 484 MB).
TEST_F(endless_answers, an_event_that_does_not_end_is_given_up) {
    std::string lines;
    while (lines.size() < block_bytes) {
        lines += "data: x\n";
    }
    for (const auto& block :
         {lines, std::string(block_bytes, 'x'), std::string(block_bytes, '\n')}) {
        const auto [status, cause] = status_and_cause(
            "llm", "/once-stream/",
            send_without_end(200, {{"signature", "s"}, {"Content-Type", "text/event-stream"}},
                             block));
        EXPECT_EQ(status, 502U);
        EXPECT_NE(cause.find("event too large"), std::string::npos) << cause;
    }
}

// A signed error is the server's own, and the caller reads it however long it is.
TEST_F(endless_answers, a_large_signed_error_is_forwarded) {
    add_backend("b1", "desk").add_handler(respond_with(500, std::string(3 * block_bytes, 'x')));
    const auto answer = send_request({"POST", "/unsafe/", {}, "request", {}});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 500U);
    EXPECT_EQ(answer->body.size(), 3 * block_bytes);
}

// A caller that does not read its stream slows the server down; the host kept what it sent.
TEST_F(endless_answers, a_stream_whose_caller_does_not_read_is_not_read_on) {
    add_backend("b1", "llm")
        .add_handler(send_without_end(200,
                                      {{"signature", "s"}, {"Content-Type", "text/event-stream"}},
                                      event_text(1, std::string(block_bytes, 'x'))));
    boost::asio::ip::tcp::socket caller{context_};
    caller.connect({boost::asio::ip::make_address("127.0.0.1"), gateway_server_.port()});
    const std::string request = "POST /once-stream/ HTTP/1.1\r\nHost: shop.example\r\nattempt: "
                                "a1\r\nkey: k1\r\nContent-Length: 0\r\n\r\n";
    caller.write_some(boost::asio::buffer(request));
    const auto wait = [this](milliseconds span) {
        bool has_expired = false;
        boost::asio::steady_timer timer{context_, span};
        timer.async_wait([&](const auto&) { has_expired = true; });
        run_until([&] { return has_expired; });
    };
    wait(milliseconds{1500});
    const auto sent = sent_;
    wait(milliseconds{500});
    EXPECT_EQ(sent_, sent);
}

TEST(event_stream, a_line_is_found_whatever_pieces_it_comes_in) {
    const auto event = event_text(7, std::string(3000, 'x'));
    for (const std::size_t piece : {1, 2, 7, 1000}) {
        event_splitter splitter;
        std::size_t events = 0;
        const auto text = event + event;
        for (std::size_t at = 0; at < text.size(); at += piece) {
            for (const auto& found : splitter.append(std::string_view{text}.substr(at, piece))) {
                EXPECT_EQ(found.text, event);
                ++events;
            }
        }
        EXPECT_EQ(events, 2U) << piece;
    }
}

} // namespace
} // namespace magnolia
