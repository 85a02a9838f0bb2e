#include "gateway_cluster.h"

namespace magnolia {
namespace {

/// Gateways before backend servers of which one turns requests away and asks for rest.
class resting_backend : public gateway_cluster {
protected:
    static constexpr milliseconds rest{3000};
    /// Time after the answer from which the users count requests, and how many they allow.
    static constexpr duration notice_time = milliseconds{500};
    static constexpr std::size_t max_requests = 2;
    static constexpr milliseconds request_interval{10};

    void SetUp() override {
        gateway_cluster::SetUp();
        for (const auto* name : {"b1", "b2", "b3"}) {
            backends_.push_back(std::make_unique<test_backend>(context_));
            put("backends", name, "desk 127.0.0.1:" + std::to_string(backends_.back()->port()));
        }
        backends_.front()->add_handler(
            [this](const http_request& request, const http_responder& responder) {
                const auto now = steady_now();
                auto& arrivals = arrivals_[std::string{find_header(request.headers, "via")}];
                arrivals.push_back(now);
                responder.send(
                    {503, {{"not-run", "1"}, {"Retry-After", std::to_string(rest.count())}}, {}});
            });
        backends_[1]->add_handler(respond_with(200));
        backends_[2]->add_handler(respond_with(200));
        for (const auto* name : {"g1", "g2", "g3"}) {
            start_gateway(name);
        }
    }

    /// Requests of a gateway during the rest that its first request was answered with.
    [[nodiscard]] static std::size_t requests_at_rest(const std::vector<time_point>& arrivals) {
        const auto asked_at = arrivals.front();
        return static_cast<std::size_t>(std::ranges::count_if(arrivals, [&](const auto at) {
            return at >= asked_at + notice_time && at < asked_at + rest;
        }));
    }

    /// Requests at the first backend server, by gateway.
    std::map<std::string, std::vector<time_point>> arrivals_;

private:
    std::vector<std::unique_ptr<test_backend>> backends_;
};

// Incident BUDGET: a server that had asked a host for rest was sent requests by it all the while.
TEST_F(resting_backend, receives_no_requests_from_a_host_that_it_asked_for_rest) {
    const auto load = send_until(steady_now() + rest + milliseconds{500}, request_interval);
    ASSERT_EQ(arrivals_.size(), gateways_.size());
    for (const auto& [host, arrivals] : arrivals_) {
        EXPECT_LE(requests_at_rest(arrivals), max_requests) << host;
    }
    EXPECT_EQ(load.served, load.sent);
}

} // namespace
} // namespace magnolia
