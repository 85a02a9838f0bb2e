#include "gateway_fixture.h"
#include "relay_receiver.h"

namespace magnolia {
namespace {

/// A gateway that takes requests from other hosts.
class relay_receiver_test : public gateway_fixture {
protected:
    void SetUp() override {
        ASSERT_TRUE(receiver_.listen(endpoint{}));
        receiver_.set_limits({}, 1);
    }

    static http_request relayed(const relay_context& context) {
        return make_relay_request(
            {"GET",
             "/safe/",
             {{"Host", "shop.example"}, {"attempt", "a1"}, {"key", "k1"}, {"time-left", "60000"}},
             {},
             {}},
            context);
    }

    tl::expected<http_response, http_failure> send(http_request request) {
        std::optional<tl::expected<http_response, http_failure>> answer;
        caller_.call({"127.0.0.1", receiver_.server().port()}, std::move(request), {},
                     [&](auto received) { answer = std::move(received); });
        run_until([&] { return answer.has_value(); });
        return *answer;
    }

    static relay_context context() {
        return {.sender = "g2", .time_left = milliseconds{900}, .config_version = 1};
    }

    bool is_peer_ = true;
    http_client caller_{context_, 0};
    object_relay reads_;
    relay_receiver receiver_{shared_, reads_, [this](const auto& /*address*/) { return is_peer_; }};
};

TEST_F(relay_receiver_test, the_time_left_at_the_other_host_is_the_deadline) {
    add_backend("b1", "desk").add_handler(respond_with(200));
    EXPECT_EQ(send(relayed(context()))->status, 200U);
    const auto& request = backends_.front()->requests().front();
    EXPECT_LE(std::stoi(std::string{find_header(request.headers, "time-left")}), 900);
    EXPECT_TRUE(find_header(request.headers, "Magnolia-Relay").empty());
}

TEST_F(relay_receiver_test, a_request_of_a_newer_configuration_is_refused) {
    add_backend("b1", "desk").add_handler(respond_with(200));
    auto newer = context();
    newer.config_version = 2;
    const auto refused = send(relayed(newer));
    EXPECT_EQ(refused->status, 503U);
    EXPECT_EQ(read_relay_outcome(refused->headers), run_knowledge::not_run);
    EXPECT_TRUE(backends_.front()->requests().empty());
}

TEST_F(relay_receiver_test, requests_beyond_the_limit_are_refused_at_once) {
    std::optional<http_responder> open;
    add_backend("b1", "desk").add_handler([&](const auto&, const http_responder& responder) {
        open = responder;
    });
    std::optional<unsigned> first;
    caller_.call({"127.0.0.1", receiver_.server().port()}, relayed(context()), {},
                 [&](const auto& answer) { first = answer ? answer->status : 0U; });
    run_until([&] { return open.has_value(); });
    EXPECT_FALSE(receiver_.takes_more());
    const auto refused = send(relayed(context()));
    EXPECT_EQ(refused->status, 503U);
    EXPECT_EQ(read_relay_outcome(refused->headers), run_knowledge::not_run);
    open->send({200, {{"signature", "s"}, {"attempt", "a1"}}, "ok"});
    run_until([&] { return first.has_value(); });
    EXPECT_EQ(first, 200U);
}

TEST_F(relay_receiver_test, requests_larger_than_the_limits_are_refused_as_not_run) {
    receiver_.set_limits({.max_header_bytes = 1024, .max_body_bytes = 16}, 1);
    add_backend("b1", "desk").add_handler(respond_with(200));
    auto request = relayed(context());
    request.body = std::string(17, 'x');
    const auto too_large = send(request);
    EXPECT_EQ(too_large->status, 413U);
    EXPECT_EQ(read_relay_outcome(too_large->headers), run_knowledge::not_run);
    // Above the space for the relay's own field.
    request.headers.push_back({"big", std::string(4096, 'x')});
    EXPECT_EQ(send(request)->status, 431U);
    EXPECT_TRUE(backends_.front()->requests().empty());
}

TEST_F(relay_receiver_test, requests_without_a_context_and_of_unknown_hosts_are_not_served) {
    add_backend("b1", "desk").add_handler(respond_with(200));
    auto request = relayed(context());
    static_cast<void>(take_relay_context(request.headers));
    EXPECT_EQ(send(request)->status, 400U);
    is_peer_ = false;
    EXPECT_FALSE(send(relayed(context())));
    EXPECT_TRUE(backends_.front()->requests().empty());
}

TEST_F(relay_receiver_test, an_unknown_key_is_refused) {
    auto request = relayed(context());
    std::ranges::replace(request.headers, http_header{"key", "k1"}, http_header{"key", "other"});
    const auto refused = send(std::move(request));
    EXPECT_EQ(refused->status, 401U);
    EXPECT_EQ(read_relay_outcome(refused->headers), run_knowledge::not_run);
}

/// What the host that asked is told of a request that a server had.
class relayed_answers : public relay_receiver_test {
protected:
    http_response ask(const http_handler& handler, milliseconds time_left = milliseconds{900}) {
        add_backend("b1", "desk").add_handler(handler);
        auto request = relayed({.sender = "g2", .time_left = time_left, .config_version = 1});
        request.target = "/unsafe/";
        auto answer = send(std::move(request));
        EXPECT_TRUE(answer);
        return answer ? *answer : http_response{};
    }
};

// Review case 7, REFUSED, through another host, which may be of an earlier release and forward what
// it is told.
TEST_F(relayed_answers, a_failure_without_a_statement_promises_nothing) {
    for (const auto status : {408U, 429U, 503U}) {
        const auto answer = ask(respond_with(status, "failed"));
        EXPECT_EQ(answer.status, 502U);
        EXPECT_EQ(answer.body, "failed");
        EXPECT_TRUE(find_header(answer.headers, "signature").empty());
        EXPECT_NE(read_relay_outcome(answer.headers), run_knowledge::not_run);
    }
}

TEST_F(relayed_answers, a_refusal_is_told_as_not_run) {
    const auto answer = ask(refuse_unexecuted());
    EXPECT_EQ(answer.status, 503U);
    EXPECT_EQ(read_relay_outcome(answer.headers), run_knowledge::not_run);
}

TEST_F(relayed_answers, a_broken_answer_is_told_as_in_doubt) {
    const auto answer =
        ask([](const auto&, const http_responder& responder) { responder.abort(); });
    EXPECT_EQ(answer.status, 502U);
    EXPECT_EQ(read_relay_outcome(answer.headers), run_knowledge::may_have_run);
}

TEST_F(relayed_answers, a_deadline_that_passes_after_sending_is_told_as_in_doubt) {
    const auto answer = ask([](const auto&, const auto&) {}, milliseconds{50});
    EXPECT_EQ(answer.status, 504U);
    EXPECT_EQ(read_relay_outcome(answer.headers), run_knowledge::may_have_run);
}

// The field is the host's own word; a server must not speak for it.
TEST_F(relayed_answers, a_server_cannot_state_the_outcome_of_a_relay) {
    const auto answer = ask([](const auto&, const http_responder& responder) {
        responder.send(
            {500, {{"signature", "s"}, {"Magnolia-Relay-Outcome", "not-run"}}, "failed"});
    });
    EXPECT_EQ(answer.status, 500U);
    EXPECT_EQ(find_header(answer.headers, "signature"), "s");
    EXPECT_EQ(read_relay_outcome(answer.headers), std::nullopt);
}

} // namespace
} // namespace magnolia
