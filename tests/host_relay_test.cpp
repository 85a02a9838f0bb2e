#include "host_relay.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

TEST(host_relay, a_context_is_carried_beside_the_request) {
    const http_request request{
        "POST", "/unsafe/x?y", {{"Host", "shop.example"}, {"key", "k1"}}, "body", {}};
    const relay_context context{.sender = "g1",
                                .time_left = std::chrono::milliseconds{900},
                                .sends_left = 2,
                                .config_version = 7,
                                .is_resumed = true,
                                .last_event = 12};
    auto relayed = make_relay_request(request, context);
    EXPECT_EQ(relayed.method, request.method);
    EXPECT_EQ(relayed.target, request.target);
    EXPECT_EQ(relayed.body, request.body);
    EXPECT_EQ(take_relay_context(relayed.headers), context);
    EXPECT_EQ(relayed.headers, request.headers);
    EXPECT_EQ(take_relay_context(relayed.headers), std::nullopt);
}

TEST(host_relay, a_context_that_a_caller_sent_is_dropped) {
    const http_request request{
        "GET", "/", {{"magnolia-relay", R"(["evil",999999,9,0,false,0])"}}, {}, {}};
    auto relayed = make_relay_request(request, {.sender = "g1"});
    EXPECT_EQ(take_relay_context(relayed.headers)->sender, "g1");
    EXPECT_TRUE(relayed.headers.empty());
}

// Incident FAULT: a name that is not UTF-8 threw an exception.
TEST(host_relay, a_name_in_any_encoding_is_carried) {
    auto relayed = make_relay_request({"GET", "/", {}, {}, {}}, {.sender = "g\xff"});
    EXPECT_EQ(take_relay_context(relayed.headers)->sender, "g\uFFFD");
}

TEST(host_relay, unreadable_contexts_are_none) {
    for (const auto* text : {"", "x", "[", "{}", "[1]", R"(["g1"])", R"(["g1",-5])"}) {
        http_headers headers{{"Magnolia-Relay", text}};
        EXPECT_EQ(take_relay_context(headers), std::nullopt) << text;
    }
}

TEST(host_relay, an_outcome_tells_whether_the_request_ran) {
    http_response response;
    EXPECT_EQ(read_relay_outcome(response.headers), std::nullopt);
    set_relay_outcome(response, run_knowledge::not_run);
    EXPECT_EQ(read_relay_outcome(response.headers), run_knowledge::not_run);
    // What cannot be understood promises nothing.
    EXPECT_EQ(read_relay_outcome({{"Magnolia-Relay-Outcome", "later"}}),
              run_knowledge::may_have_run);
}

} // namespace
} // namespace magnolia
