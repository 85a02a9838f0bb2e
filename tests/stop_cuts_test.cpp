/// Requests around the stops of several hosts, and requests of which nothing may run in a stop.
#include "crashing_backends.h"
#include "linked_hosts.h"

namespace magnolia {
namespace {

constexpr unsigned not_run = 503;

/// A stopping host before servers that the test adds.
class requests_of_a_stop : public crashing_backends {
protected:
    void add_server(const std::string& service, http_handler handler) {
        servers_.push_back(std::make_unique<test_backend>(context_));
        servers_.back()->add_handler(std::move(handler));
        put("backends", service + std::to_string(servers_.size()),
            service + " 127.0.0.1:" + std::to_string(servers_.back()->port()));
    }

    [[nodiscard]] std::size_t received() const {
        std::size_t count = 0;
        for (const auto& server : servers_) {
            count += server->requests().size();
        }
        return count;
    }

    /// Stops the host, and expects that it refuses a request before it accepts no more.
    void expect_refusal_in_stop(running_gateway& host, const std::string& target,
                                const http_headers& headers = {}) {
        host.request_stop();
        std::optional<http_response> refused;
        poll([&] {
            auto received = get(host.settings().listen.port, target, headers);
            refused = received ? std::optional{std::move(*received)} : std::nullopt;
            // From the begin of the stop on.
            return !refused || find_header(refused->headers, "Connection") == "close";
        });
        ASSERT_TRUE(refused);
        EXPECT_EQ(refused->status, not_run);
        EXPECT_FALSE(find_header(refused->headers, "Retry-After").empty());
        EXPECT_TRUE(get(host.settings().listen.port, target, headers)) << "the host has ended";
    }

    std::vector<std::unique_ptr<test_backend>> servers_;
};

// Issue 18, LOST: a request may not be held in a stop for a configuration that does not come.
TEST_F(requests_of_a_stop, without_a_configuration_are_refused_at_once) {
    add_server("desk", respond_with(200));
    store_.model().faults().outage = outage_mode::hang;
    gateways_.push_back(
        std::make_unique<running_gateway>(context_, "g1", gateways_store_, store_codec_));
    auto& host = *gateways_.back();
    poll([&] { return get(host.settings().listen.port, "/safe/").has_value(); });
    expect_refusal_in_stop(host, "/safe/");
    EXPECT_EQ(received(), 0U);
    store_.model().faults().outage = outage_mode::none;
}

// Issue 18, LOST: as above, for a request that the quarantine blocks.
TEST_F(requests_of_a_stop, that_the_quarantine_blocks_are_refused_at_once) {
    constexpr std::size_t engines = 12;
    constexpr int prompts = 10;
    add_backends("llm", engines, [](const http_request& request) {
        return find_header(request.headers, "segments").find("bad") != std::string_view::npos;
    });
    auto& host = start_gateway("g1");
    const auto headers = [](int prompt) {
        return http_headers{{"segments", "other" + std::to_string(prompt) + " bad"},
                            {"prompt", "100"},
                            {"time-left", "500"}};
    };
    for (int prompt = 0; prompt < prompts; ++prompt) {
        const auto answer =
            get(host.settings().listen.port, "/stream/" + std::to_string(prompt), headers(prompt));
        EXPECT_FALSE(answer && answer->status == 200);
    }
    const auto before = crashing_requests();
    expect_refusal_in_stop(host, "/stream/last", headers(prompts));
    EXPECT_EQ(crashing_requests(), before);
}

// Issue 18, LOST: as above, for a request whose server has asked for rest.
TEST_F(requests_of_a_stop, whose_server_rests_are_refused_at_once) {
    add_server("desk", [](const auto&, const http_responder& responder) {
        responder.send({503, {{"not-run", "1"}, {"Retry-After", "5000"}}, {}});
    });
    auto& host = start_gateway("g1");
    const http_headers short_time{{"time-left", "500"}};
    EXPECT_EQ(get(host.settings().listen.port, "/safe/", short_time)->status, not_run);
    const auto before = received();
    expect_refusal_in_stop(host, "/safe/", short_time);
    EXPECT_EQ(received(), before);
}

// Incident LOST: requests on connections that were made right before the listener closed were reset
// with it.
TEST_F(requests_of_a_stop, that_arrive_until_its_end_are_answered) {
    constexpr int stops = 4;
    constexpr milliseconds send_interval{1};
    add_server("desk", respond_with(200));
    for (int stop = 0; stop < stops; ++stop) {
        auto& host = start_gateway("g" + std::to_string(stop));
        host.request_stop();
        std::size_t pending = 0;
        std::size_t cut = 0;
        poll([&, was_refused = false]() mutable {
            const auto port = host.settings().listen.port;
            constexpr int sends_per_poll = 10;
            for (int send = 0; send < sends_per_poll && !was_refused; ++send) {
                ++pending;
                caller_.call({"127.0.0.1", port},
                             {"GET",
                              "/safe/",
                              {{"Host", "shop.example"},
                               {"attempt", "a1"},
                               {"key", "k1"},
                               {"time-left", "100"}},
                              {},
                              {}},
                             {}, [&](const auto& answer) {
                                 --pending;
                                 was_refused =
                                     was_refused || (!answer && answer.error().is_refused);
                                 cut += !answer && answer.error().is_request_written ? 1 : 0;
                             });
                bool has_expired = false;
                boost::asio::steady_timer pause{context_, send_interval};
                pause.async_wait([&](const auto&) { has_expired = true; });
                run_until([&] { return has_expired; });
            }
            return was_refused && pending == 0;
        });
        EXPECT_EQ(cut, 0U) << "stop " << stop;
        stop_gateways();
    }
}

/// Hosts of one zone, of which several stop.
class stops_of_a_zone : public linked_hosts {
protected:
    static constexpr milliseconds answer_time{300};

    void SetUp() override {
        linked_hosts::SetUp();
        handler_ = [this](const http_request& request, const http_responder& responder) {
            if (request.target == "/probe") {
                return respond_with(200)(request, responder);
            }
            const auto timer = std::make_shared<boost::asio::steady_timer>(context_, answer_time);
            timer->async_wait([timer, request, responder](const auto& /*failure*/) {
                respond_with(200)(request, responder);
            });
        };
    }

    /// Sends a request that may not be repeated to the host.
    void send(const running_gateway& host) {
        ++sent_;
        caller_.call(
            {"127.0.0.1", host.settings().listen.port},
            {"GET",
             "/unsafe/",
             {{"Host", "shop.example"}, {"attempt", "a" + std::to_string(sent_)}, {"key", "k1"}},
             {},
             {}},
            {}, [this](const auto& answer) { statuses_.push_back(answer ? answer->status : 0U); });
    }

    /// Waits until the servers have all requests.
    void wait_until_received() {
        poll([this] { return request_count("desk") - before_ >= sent_; });
    }

    void expect_all_served() {
        poll([this] { return statuses_.size() == sent_; });
        EXPECT_EQ(std::ranges::count(statuses_, 200U), static_cast<std::ptrdiff_t>(sent_));
    }

    std::size_t before_ = 0;
    std::size_t sent_ = 0;
    std::vector<unsigned> statuses_;
};

class stops_of_both_hosts : public stops_of_a_zone, public testing::WithParamInterface<bool> {};

INSTANTIATE_TEST_SUITE_P(first_host_earlier, stops_of_both_hosts, testing::Bool(),
                         testing::PrintToStringParamName());

// Incident LOST: a request that a host has passed on, of which both hosts stop and get further
// signals.
TEST_P(stops_of_both_hosts, answer_a_relayed_request) {
    start_hosts(2);
    cut_first_host(fakes::link_fault::refuse_new);
    before_ = request_count("desk");
    send(*gateways_.front());
    wait_until_received();
    constexpr int signals = 3;
    for (int signal = 0; signal < signals; ++signal) {
        gateways_.at(GetParam() ? 0 : 1)->request_stop();
        gateways_.at(GetParam() ? 1 : 0)->request_stop();
    }
    expect_all_served();
}

// Incident LOST: hosts of a zone are stopped one after the other, without the store.
TEST_F(stops_of_a_zone, all_requests_are_answered_while_host_after_host_stops) {
    start_hosts(3);
    before_ = request_count("desk");
    store_.model().faults().outage = outage_mode::hang;
    for (const auto& host : gateways_) {
        constexpr int requests = 4;
        for (int request = 0; request < requests; ++request) {
            send(*host);
        }
        wait_until_received();
        host->request_stop();
    }
    expect_all_served();
    store_.model().faults().outage = outage_mode::none;
}

} // namespace
} // namespace magnolia
