#include "gateway_cluster.h"

namespace magnolia {
namespace {

/// A gateway that stops within two seconds, before a server whose streams take longer than half of
/// that.
class planned_stop : public gateway_cluster {
protected:
    static constexpr milliseconds stream_time{1200};
    /// Within the time for which the balancer may still send requests.
    static constexpr milliseconds late_request{650};

    void SetUp() override {
        gateway_cluster::SetUp();
        backend_ = std::make_unique<test_backend>(context_);
        for (const auto* service : {"desk", "llm"}) {
            put("backends", service,
                std::string{service} + " 127.0.0.1:" + std::to_string(backend_->port()));
        }
        backend_->add_handler([this](const http_request& request, const http_responder& responder) {
            if (!request.target.starts_with("/stream/")) {
                return respond_with(200)(request, responder);
            }
            responder.start(200, {{"signature", "s"}, {"Content-Type", "text/event-stream"}});
            responder.write(event_text(1));
            const auto end = std::make_shared<boost::asio::steady_timer>(context_, stream_time);
            end->async_wait([end, responder](const auto& /*failure*/) {
                responder.write(event_text(2));
                responder.finish();
            });
        });
        gateway_ = &start_gateway("g1");
    }

    void wait(milliseconds span) {
        bool has_expired = false;
        boost::asio::steady_timer timer{context_, span};
        timer.async_wait([&](const auto& /*failure*/) { has_expired = true; });
        run_until([&] { return has_expired; });
    }

    [[nodiscard]] std::uint16_t port() const { return gateway_->settings().listen.port; }

    running_gateway* gateway_ = nullptr;

private:
    std::unique_ptr<test_backend> backend_;
};

// Incident LOST of issue 18: a stream that was accepted late in a stop was cut at its end.
TEST_F(planned_stop, a_request_that_cannot_end_within_the_stop_is_refused_at_once) {
    ASSERT_EQ(get(port(), "/safe/")->status, 200U);
    for (int stream = 0; stream < 3; ++stream) {
        ASSERT_EQ(get(port(), "/stream/")->status, 200U);
    }
    gateway_->request_stop();
    wait(late_request);
    const auto begun = steady_now();
    const auto refused = get(port(), "/stream/");
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->status, 503U);
    EXPECT_LT(steady_now() - begun, milliseconds{300});
    EXPECT_FALSE(find_header(refused->headers, "Retry-After").empty());
    EXPECT_EQ(find_header(refused->headers, "Connection"), "close");
    EXPECT_EQ(get(port(), "/safe/", {{"time-left", "500"}})->status, 200U);
}

// Incident LOST of issue 18: most streams of the route were shorter than the one that was cut.
TEST_F(planned_stop, only_requests_that_are_certain_to_end_are_accepted_late) {
    gateway_->request_stop();
    wait(milliseconds{720});
    const auto with_time = [&](const std::string& time_left_ms) {
        const auto answer = get(port(), "/safe/", {{"time-left", time_left_ms}});
        return answer ? answer->status : 0U;
    };
    EXPECT_EQ(with_time("400"), 200U);
    EXPECT_EQ(with_time("5000"), 503U);
}

TEST_F(planned_stop, a_request_that_fits_is_served) {
    for (int stream = 0; stream < 3; ++stream) {
        ASSERT_EQ(get(port(), "/stream/")->status, 200U);
    }
    gateway_->request_stop();
    const auto served = get(port(), "/stream/");
    ASSERT_TRUE(served);
    EXPECT_EQ(served->status, 200U);
    EXPECT_EQ(count_of(served->body, "id: "), 2U);
}

TEST_F(planned_stop, a_second_signal_changes_nothing) {
    for (int stream = 0; stream < 3; ++stream) {
        ASSERT_EQ(get(port(), "/stream/")->status, 200U);
    }
    gateway_->request_stop();
    wait(milliseconds{50});
    std::optional<unsigned> status;
    caller_.call(
        {"127.0.0.1", port()},
        {"GET", "/stream/", {{"Host", "shop.example"}, {"attempt", "a1"}, {"key", "k1"}}, {}, {}},
        {}, [&](const auto& answer) { status = answer ? answer->status : 0U; });
    wait(milliseconds{300});
    gateway_->request_stop();
    poll([&] { return status.has_value(); });
    EXPECT_EQ(status, 200U);
}

} // namespace
} // namespace magnolia
