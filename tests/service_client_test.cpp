#include "repeating_server.h"
#include "service_client.h"
#include "service_server.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

/// Time limit after which a test that hangs fails.
constexpr std::chrono::seconds test_timeout{30};

/// Client with one simulated service over loopback.
struct service_client_test : testing::Test {
    boost::asio::io_context context;
    fakes::service_server server{context, {}};
    service_client client{context, {}};
    std::vector<service_event> events;

    service_client_test() {
        EXPECT_TRUE(server.listen());
        client.put_service(service_handle{0}, http_service{{"127.0.0.1", server.port(0)}});
        client.set_event_sink([this](service_event event) { events.push_back(std::move(event)); });
    }

    /// Makes one call and returns its event.
    service_event call(service_handle service = service_handle{0}) {
        const std::size_t before = events.size();
        client.submit({{{7, ++calls_}, 1},
                       service,
                       "/order",
                       std::make_shared<std::string>("part"),
                       "key-1",
                       std::chrono::seconds{10}});
        const auto end = std::chrono::steady_clock::now() + test_timeout;
        while (events.size() == before && std::chrono::steady_clock::now() < end) {
            context.run_one_for(std::chrono::milliseconds{100});
        }
        return events.back();
    }

    run_certainty certainty_of_call() { return std::get<service_failed>(call()).certainty; }

    /// Number of times the service ran the call with the key `key-1`.
    std::uint32_t executions() {
        const auto& counts = server.model(0).executions();
        return counts.contains("key-1") ? counts.at("key-1") : 0;
    }

private:
    std::uint64_t calls_ = 0;
};

TEST_F(service_client_test, an_answer_is_returned_with_status_and_body) {
    const auto answer = std::get<service_answer>(call());
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, fakes::service_model::answer("/order", "part", 1));
    EXPECT_EQ(executions(), 1U);
}

TEST_F(service_client_test, a_refusal_with_proof_is_reported_as_not_run) {
    ASSERT_TRUE(server.apply_fault(0, "refusals", 1));
    EXPECT_EQ(certainty_of_call(), run_certainty::not_run);
    EXPECT_EQ(executions(), 0U);
}

TEST_F(service_client_test, a_refusal_without_proof_is_reported_as_unknown) {
    ASSERT_TRUE(server.apply_fault(0, "vague_refusals", 1));
    EXPECT_EQ(certainty_of_call(), run_certainty::unknown);
}

// As review case 7: a status alone is no proof, and neither is another statement in the body.
TEST_F(service_client_test, a_status_that_promises_not_run_proves_nothing) {
    std::uint32_t number = 0;
    for (const auto* status : {"408 Slow", "421 Other", "429 Many", "503 Full"}) {
        for (const std::string body : {"", "full", R"({"ran":true})", R"({"ran":0})"}) {
            const repeating_server faulty{context,
                                          std::string{"HTTP/1.1 "} + status +
                                              "\r\nContent-Length: " + std::to_string(body.size()) +
                                              "\r\n\r\n" + body,
                                          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
            const service_handle service{++number};
            client.put_service(service, http_service{{"127.0.0.1", faulty.port()}});
            const auto event = call(service);
            ASSERT_TRUE(std::holds_alternative<service_failed>(event)) << status << body;
            EXPECT_EQ(std::get<service_failed>(event).certainty, run_certainty::unknown);
        }
    }
}

TEST_F(service_client_test, a_draining_service_is_reported_as_leaving) {
    ASSERT_TRUE(server.apply_fault(0, "drain", 1));
    const auto failed = std::get<service_failed>(call());
    EXPECT_TRUE(failed.is_leaving);
    EXPECT_EQ(failed.certainty, run_certainty::not_run);
}

// The client cannot distinguish the two crashes, so neither may be reported as not_run.
TEST_F(service_client_test, a_crash_before_or_after_the_run_is_reported_as_unknown) {
    ASSERT_TRUE(server.apply_fault(0, "crashes_before", 1));
    EXPECT_EQ(certainty_of_call(), run_certainty::unknown);
    EXPECT_EQ(executions(), 0U);
    ASSERT_TRUE(server.apply_fault(0, "lost_answers", 1));
    EXPECT_EQ(certainty_of_call(), run_certainty::unknown);
    EXPECT_EQ(executions(), 1U);
}

TEST_F(service_client_test, a_dead_or_unknown_service_is_reported_as_not_run) {
    ASSERT_TRUE(server.apply_fault(0, "crash", 1));
    EXPECT_EQ(certainty_of_call(), run_certainty::not_run);
    const auto unknown = std::get<service_failed>(call(service_handle{5}));
    EXPECT_EQ(unknown.certainty, run_certainty::not_run);
}

// Callers were told "not run" of calls that the service had run.
TEST_F(service_client_test, a_refusal_that_is_written_again_answers_no_later_call) {
    const std::string proof = R"({"ran":false})";
    const auto framed = [](const std::string& status, const std::string& body) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    };
    const repeating_server faulty{context, framed("503 Full", proof), framed("200 OK", "done")};
    client.put_service(service_handle{1}, http_service{{"127.0.0.1", faulty.port()}});
    EXPECT_EQ(std::get<service_failed>(call(service_handle{1})).certainty, run_certainty::not_run);
    for (std::size_t calls = 1; calls <= 3; ++calls) {
        const auto event = call(service_handle{1});
        EXPECT_TRUE(std::holds_alternative<service_answer>(event)) << calls;
        EXPECT_EQ(faulty.run_count(), calls);
    }
}

TEST_F(service_client_test, a_cancelled_call_gets_no_event) {
    ASSERT_TRUE(server.apply_fault(0, "delay", 20));
    client.submit({{{9, 1}, 1}, service_handle{0}, "/x", nullptr, {}, std::chrono::seconds{5}});
    client.cancel({{9, 1}, 1});
    call();
    EXPECT_EQ(events.size(), 1U);
    EXPECT_EQ(client.active_calls(), 0U);
}

} // namespace
} // namespace magnolia
