/// Backend servers that send bytes which are no answer, without end, until their connection closes.
#include "endless_server.h"
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

/// Many calls at once, with a small limit for all of them together.
class endless_answers_in_sum : public endless_answers {
protected:
    static constexpr std::size_t max_bytes = std::size_t{1} << 20U;

    endless_answers_in_sum() {
        shared_.servers = {&gateway_server_};
        shared_.max_answer_bytes = max_bytes;
    }

    /// Sends the head and the part of a body, and keeps the connection open.
    static http_handler send_part(http_headers headers, std::string part) {
        return [headers = std::move(headers),
                part = std::move(part)](const http_request&, const http_responder& responder) {
            responder.start(200, headers);
            responder.write(part);
        };
    }

    void add_backends(std::size_t count, const std::string& service, const http_handler& handler) {
        for (std::size_t number = 0; number < count; ++number) {
            add_backend(service + std::to_string(number), service).add_handler(handler);
        }
    }

    void call(http_client& caller, const std::string& path, http_response_handler done) {
        caller.call(
            {"127.0.0.1", gateway_server_.port()},
            {"POST", path, {{"Host", "shop.example"}, {"attempt", "a1"}, {"key", "k1"}}, {}, {}},
            {}, std::move(done));
    }

    /// Runs until the condition holds, and records the largest sum.
    template <class Condition>
    void run_and_measure(Condition condition) {
        run_until([&] {
            peak_ = std::max(peak_, answer_bytes(shared_));
            return condition();
        });
    }

    [[nodiscard]] std::size_t given_up() const {
        return static_cast<std::size_t>(std::ranges::count_if(summaries_, [](const auto& call) {
            return call.cause.find("too many bytes of answers wait") != std::string::npos;
        }));
    }

    std::size_t peak_ = 0;
};

// Each answer was within its own limit, and nothing bounded their sum.
TEST_F(endless_answers_in_sum, answers_without_use_are_given_up_past_the_sum) {
    constexpr std::size_t call_count = 64;
    constexpr std::size_t part_bytes = std::size_t{40} << 10U;
    constexpr std::size_t max_calls = max_bytes / part_bytes;
    add_backends(16, "desk", send_part({}, std::string(part_bytes, 'x')));
    http_client caller{context_, 0};
    std::size_t answered = 0;
    for (std::size_t number = 0; number < call_count; ++number) {
        call(caller, "/unsafe/", [&](const auto& answer) {
            EXPECT_TRUE(answer && answer->status == 502);
            ++answered;
        });
    }
    run_and_measure([&] { return answered >= call_count - max_calls; });
    EXPECT_LE(peak_, max_bytes);
    EXPECT_EQ(given_up(), answered);
    EXPECT_EQ(shared_.calls.size(), max_calls);
}

// What is for a caller outlasts what is not.
TEST_F(endless_answers_in_sum, an_event_under_way_outlasts_answers_without_use) {
    const auto event = event_text(1, std::string(200'000, 'x'));
    std::optional<http_responder> stream;
    add_backend("b1", "llm").add_handler([&](const http_request&, const http_responder& responder) {
        responder.start(200, {{"signature", "s"}, {"Content-Type", "text/event-stream"}});
        responder.write(event.substr(0, event.size() / 2));
        stream = responder;
    });
    add_backends(16, "desk", send_part({}, std::string(60'000, 'x')));
    http_client caller{context_, 0};
    std::optional<std::string> answer;
    call(caller, "/once-stream/", [&](const auto& received) {
        EXPECT_TRUE(received);
        answer = received ? received->body : "";
    });
    run_and_measure([&] { return shared_.kept_bytes > 90'000; });
    for (int number = 0; number < 32; ++number) {
        call(caller, "/unsafe/", [](const auto&) {});
    }
    run_and_measure([&] { return given_up() >= 16; });
    stream->write(std::string_view{event}.substr(event.size() / 2));
    stream->finish();
    run_and_measure([&] { return answer.has_value(); });
    EXPECT_EQ(answer, event);
    EXPECT_LE(peak_, max_bytes);
}

// Back-pressure bounded what waits for one caller; many of them were not bounded.
TEST_F(endless_answers_in_sum, callers_that_do_not_read_stay_within_the_sum) {
    constexpr std::size_t caller_count = 24;
    constexpr std::size_t max_bytes_of_output = max_bytes / 4;
    shared_.max_answer_bytes = max_bytes_of_output;
    // Only the sum closes their connections.
    gateway_server_.set_limits({.write_timeout = std::chrono::hours{1}});
    // Events without numbers, as none is forwarded twice.
    std::string block;
    while (block.size() < block_bytes) {
        block += "data: " + std::string(1000, 'x') + "\n\n";
    }
    add_backends(
        8, "llm",
        send_without_end(200, {{"signature", "s"}, {"Content-Type", "text/event-stream"}}, block));
    const std::string request = "POST /once-stream/ HTTP/1.1\r\nHost: shop.example\r\nattempt: "
                                "a1\r\nkey: k1\r\nContent-Length: 0\r\n\r\n";
    std::vector<boost::asio::ip::tcp::socket> callers;
    for (std::size_t number = 0; number < caller_count; ++number) {
        auto& caller = callers.emplace_back(context_);
        caller.connect({boost::asio::ip::make_address("127.0.0.1"), gateway_server_.port()});
        caller.write_some(boost::asio::buffer(request));
    }
    run_and_measure([&] { return !summaries_.empty(); });
    EXPECT_LE(peak_, max_bytes_of_output);
    EXPECT_EQ(summaries_.front().cause, "caller left");
    EXPECT_GT(peak_, max_bytes_of_output / 2);
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

// Answers to probes and orders have no meaning past a few fields.
TEST_F(endless_answers, an_answer_to_a_probe_or_an_order_is_given_up) {
    endless_server server{context_, "HTTP/1.1 200 OK\r\n\r\n", std::string(block_bytes, 'x')};
    list_backend("b1", "llm", server.port());
    const endpoint address{"127.0.0.1", server.port()};
    prober_.probe_at_once({.id = "b1"}, address, steady_now());
    run_until([&] { return server.closed_connections() == 1; });
    EXPECT_LT(server.sent_bytes(), config::max_body_bytes);
    std::optional<bool> is_granted;
    reservations_.reserve("r1", {{"b1", address, 100}},
                          [&](bool granted) { is_granted = granted; });
    run_until([&] { return is_granted.has_value() && server.closed_connections() >= 2; });
    EXPECT_EQ(is_granted, false);
    EXPECT_LT(server.sent_bytes(), 2 * config::max_body_bytes);
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
