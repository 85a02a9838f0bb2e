#include "linked_hosts.h"

namespace magnolia {
namespace {

using fakes::link_fault;

/// Complete hosts of which some are cut from the backend servers in one of these ways.
class cut_hosts : public linked_hosts, public testing::WithParamInterface<link_fault> {
protected:
    static constexpr duration observed_time = std::chrono::milliseconds{700};
};

// Incident RECOVER: hosts that had lost their links to all servers served 0 of 82 first tries.
TEST_P(cut_hosts, hosts_cut_from_all_servers_serve_their_callers) {
    start_hosts(3);
    set_links(0, GetParam());
    set_links(1, GetParam());
    pass_time(contact_time);
    EXPECT_EQ(unserved(observed_time), 0U);
}

// What a host saw while it was cut must not keep servers out when its links are back.
TEST_P(cut_hosts, a_host_uses_the_servers_again_soon_after_the_cut) {
    start_hosts(2);
    set_links(0, GetParam());
    pass_time(contact_time);
    set_links(0, link_fault::none);
    pass_time(contact_time);
    // Nobody else can help.
    set_links(1, GetParam());
    EXPECT_LE(send_until(steady_now() + observed_time, milliseconds{20}).sent, 40U);
    const auto& host = gateways_.front()->settings();
    for (const auto* target : {"/safe/", "/unsafe/", "/stream/"}) {
        const auto answer = get(host.listen.port, target);
        ASSERT_TRUE(answer) << target << ": " << to_string(answer.error().failure);
        EXPECT_EQ(answer->status, 200U) << target;
    }
}

/// What callers were promised holds for requests that two hosts handle.
class relayed_requests : public linked_hosts {
protected:
    void SetUp() override {
        linked_hosts::SetUp();
        start_hosts(2);
    }

    [[nodiscard]] std::uint16_t port(std::size_t host) const {
        return gateways_.at(host)->settings().listen.port;
    }
};

TEST_F(relayed_requests, an_unsafe_request_that_may_have_run_is_not_sent_again) {
    cut_first_host(link_fault::refuse_new);
    handler_ = [](const auto&, const http_responder& responder) { responder.abort(); };
    const auto before = request_count("desk");
    EXPECT_EQ(get(port(0), "/unsafe/")->status, 502U);
    EXPECT_EQ(request_count("desk"), before + 1);
}

TEST_F(relayed_requests, both_hosts_together_make_no_more_sends_than_the_route_allows) {
    cut_first_host(link_fault::refuse_new);
    handler_ = [](const auto&, const http_responder& responder) { responder.abort(); };
    const auto before = request_count("desk");
    EXPECT_EQ(get(port(0), "/safe/")->status, 502U);
    EXPECT_LE(request_count("desk"), before + 2);
}

TEST_F(relayed_requests, a_request_that_all_servers_refuse_was_not_run) {
    cut_first_host(link_fault::refuse_new);
    handler_ = refuse_unexecuted();
    const auto answer = get(port(0), "/unsafe/");
    EXPECT_EQ(answer->status, 503U);
    EXPECT_FALSE(find_header(answer->headers, "Retry-After").empty());
    EXPECT_TRUE(find_header(answer->headers, "Magnolia-Relay-Outcome").empty());
}

TEST_F(relayed_requests, a_failure_of_the_server_is_forwarded) {
    cut_first_host(link_fault::refuse_new);
    handler_ = respond_with(500, "broken");
    const auto answer = get(port(0), "/unsafe/");
    EXPECT_EQ(answer->status, 500U);
    EXPECT_EQ(answer->body, "broken");
}

// A stream that the cut breaks off goes on through the other host, each event once.
TEST_F(relayed_requests, a_stream_is_resumed_through_another_host) {
    std::optional<http_responder> first;
    handler_ = [&](const http_request& request, const http_responder& responder) {
        if (find_header(request.headers, "resume") == "2") {
            return stream_events({3, 4}, true)(request, responder);
        }
        first = responder;
        responder.start(200, {{"signature", "s"}, {"Content-Type", "text/event-stream"}});
        responder.write(event_text(1) + event_text(2));
    };
    std::string body;
    bool is_complete = false;
    caller_.stream(
        {"127.0.0.1", port(0)},
        {"GET", "/stream/", {{"Host", "shop.example"}, {"attempt", "a1"}, {"key", "k1"}}, {}, {}},
        {},
        {.on_header = {},
         .on_body = [&](std::string_view text) { body += text; },
         .on_end = [&](const auto* failure) { is_complete = failure == nullptr; }});
    poll([&] { return count_of(body, "id: ") == 2; });
    set_links(0, link_fault::reset);
    poll([&] { return is_complete; });
    EXPECT_EQ(body, event_text(1) + event_text(2) + event_text(3) + event_text(4));
}

TEST_F(relayed_requests, a_caller_that_leaves_ends_the_request_at_the_server) {
    cut_first_host(link_fault::refuse_new);
    bool has_begun = false;
    bool has_ended = false;
    handler_ = [&](const auto&, const http_responder& responder) {
        has_begun = true;
        responder.on_disconnect([&] { has_ended = true; });
    };
    const auto call = caller_.call(
        {"127.0.0.1", port(0)},
        {"GET", "/safe/", {{"Host", "shop.example"}, {"attempt", "a1"}, {"key", "k1"}}, {}, {}}, {},
        [](const auto&) {});
    poll([&] { return has_begun; });
    caller_.cancel(call);
    poll([&] { return has_ended; });
}

// No request may go round between hosts that all take themselves for cut.
TEST_F(relayed_requests, a_service_that_no_host_reaches_is_refused) {
    cut_first_host(link_fault::refuse_new);
    set_links(1, link_fault::refuse_new);
    for (int request = 0; request < 10; ++request) {
        for (const std::size_t host : {0, 1}) {
            const auto begun = steady_now();
            EXPECT_EQ(get(port(host), "/safe/")->status, 503U);
            EXPECT_LT(steady_now() - begun, std::chrono::seconds{2});
        }
    }
}

// A host that cannot reach one service serves the requests of the others itself.
TEST_F(relayed_requests, services_are_judged_one_by_one) {
    set_links(0, link_fault::refuse_new, "desk");
    poll([this] { return get(port(0), "/safe/")->status == 200; });
    set_links(1, link_fault::refuse_new, "llm");
    poll([this] { return get(port(0), "/stream/")->status == 200; });
    EXPECT_EQ(get(port(0), "/safe/")->status, 200U);
    EXPECT_EQ(get(port(1), "/stream/")->status, 200U);
}

// The host that passes requests on may be ahead of the one that it chose.
TEST_F(relayed_requests, the_other_host_checks_route_and_key) {
    cut_first_host(link_fault::refuse_new);
    put("routes", "main", R"({"version":3,"without":"/safe/"})");
    wait_for_metric("magnolia_config_version", 3);
    EXPECT_EQ(get(port(0), "/safe/")->status, 404U);
    EXPECT_EQ(get(port(0), "/unsafe/")->status, 200U);
}

TEST_F(relayed_requests, a_host_that_stops_finishes_what_was_passed_on) {
    cut_first_host(link_fault::refuse_new);
    std::optional<http_responder> open;
    handler_ = [&](const auto&, const http_responder& responder) { open = responder; };
    std::optional<unsigned> status;
    caller_.call(
        {"127.0.0.1", port(0)},
        {"GET", "/safe/", {{"Host", "shop.example"}, {"attempt", "a1"}, {"key", "k1"}}, {}, {}}, {},
        [&](const auto& answer) { status = answer ? answer->status : 0U; });
    poll([&] { return open.has_value(); });
    gateways_.back()->request_stop();
    wait_for_readiness(*gateways_.back(), false);
    open->send({200, {{"signature", "s"}, {"attempt", "a1"}}, "ok"});
    poll([&] { return status.has_value(); });
    EXPECT_EQ(status, 200U);
}

INSTANTIATE_TEST_SUITE_P(faults, cut_hosts,
                         testing::Values(link_fault::hang, link_fault::reset,
                                         link_fault::refuse_new));

} // namespace
} // namespace magnolia
