#include "gateway_cluster.h"

namespace magnolia {
namespace {

/// Gateways before backend servers of which one states a limit.
class limited_backend : public gateway_cluster {
protected:
    static constexpr double requests_per_s = 1;
    /// Bound of the users, in any window of four seconds: one and a half times the limit, and five.
    static constexpr duration window = std::chrono::seconds{4};
    static constexpr std::size_t max_requests = 6 + 5;
    /// Time from the first statement until the bound holds.
    static constexpr duration contact_time = std::chrono::seconds{3};
    /// Requests of the test's callers.
    static constexpr milliseconds request_interval{25};

    void SetUp() override {
        gateway_cluster::SetUp();
        for (const auto* name : {"b1", "b2", "b3", "b4"}) {
            backends_.push_back(std::make_unique<test_backend>(context_));
            put("backends", name, "desk 127.0.0.1:" + std::to_string(backends_.back()->port()));
        }
        for (const auto& backend : backends_) {
            backend->add_handler([this, &server = *backend](const http_request& request,
                                                            const http_responder& responder) {
                on_request(server, request, responder);
            });
        }
        for (const auto* name : {"g1", "g2", "g3"}) {
            start_gateway(name);
        }
        wait_for_peers();
    }

    /// Most requests, probes included, that the limited server received in any window after the
    /// contact time.
    [[nodiscard]] std::size_t most_requests() const {
        const auto begin = first_statement_ + contact_time;
        std::size_t most = 0;
        for (const auto last : arrivals_) {
            const auto count = std::ranges::count_if(arrivals_, [&](const auto at) {
                return at >= begin && at > last - window && at <= last;
            });
            most = std::max(most, static_cast<std::size_t>(count));
        }
        return most;
    }

    /// Whether the first backend server states its limit.
    bool is_limited_ = true;
    time_point first_statement_{};
    /// Requests at the first backend server.
    std::vector<time_point> arrivals_;

private:
    void on_request(const test_backend& server, const http_request& request,
                    const http_responder& responder) {
        const std::string attempt{find_header(request.headers, "attempt")};
        http_response answer{200, {{"signature", "s"}, {"attempt", attempt}}, "ok"};
        if (&server == backends_.front().get()) {
            const auto now = steady_now();
            arrivals_.push_back(now);
            if (is_limited_) {
                first_statement_ = first_statement_ == time_point{} ? now : first_statement_;
                answer.headers.push_back({"limit", std::to_string(requests_per_s)});
            }
        }
        responder.send(std::move(answer));
    }

    std::vector<std::unique_ptr<test_backend>> backends_;
};

// Incident LIMIT: each host sent as if no server had named a limit, twelve and more in four
// seconds.
TEST_F(limited_backend, a_stated_limit_holds_for_all_hosts_together) {
    const auto load = send_until(steady_now() + contact_time + window * 3 / 2, request_interval);
    ASSERT_NE(first_statement_, time_point{});
    EXPECT_LE(most_requests(), max_requests);
    EXPECT_EQ(load.served, load.sent);
}

} // namespace
} // namespace magnolia
