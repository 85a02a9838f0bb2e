#include "caller_http.h"
#include "http_client.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

namespace magnolia {
namespace {

/// An entry's interface towards callers; the test gives the answers.
class entry_answers : public testing::Test {
protected:
    /// Response to a call that the entry answers with this command.
    template <class Command>
    http_response response_to(Command command) {
        caller_http callers{context_, {}, [&](caller_event event) -> result<void> {
                                command.caller = std::get<service_request>(event).caller;
                                boost::asio::post(context_, [&] { callers.deliver(command); });
                                return {};
                            }};
        EXPECT_TRUE(callers.listen({}));
        std::optional<http_response> response;
        client_.call(
            {"127.0.0.1", callers.port()},
            {"POST", "/v1/services/desk/order", {{"Authorization", "Bearer k"}}, {}, {}}, {},
            [&](auto received) { response = received ? std::move(*received) : http_response{}; });
        while (!response && context_.run_one() > 0) {
        }
        return *response;
    }

    boost::asio::io_context context_{1};
    http_client client_{context_, 0};
};

// As review case 7, for an entry that gives a call up after it was sent.
TEST_F(entry_answers, a_failure_of_a_call_that_may_have_run_promises_nothing) {
    for (const auto code : {error_code::stopping, error_code::no_capacity,
                            error_code::backend_refused, error_code::limit_requests}) {
        for (const auto known : {outcome::unknown, outcome::failed}) {
            const auto answer =
                response_to(caller_failed{{}, {}, {code, "x", std::chrono::seconds{1}}, known});
            EXPECT_EQ(answer.status, 502U) << to_string(code);
            EXPECT_EQ(find_header(answer.headers, "Magnolia-Outcome"), to_string(known));
            EXPECT_TRUE(find_header(answer.headers, "Retry-After").empty());
        }
        const auto refused = response_to(
            caller_failed{{}, {}, {code, "x", std::chrono::seconds{1}}, outcome::not_run});
        EXPECT_EQ(refused.status, http_status(code));
        EXPECT_EQ(find_header(refused.headers, "Retry-After"), "1");
    }
}

// An answer that an earlier release recorded under a key, and that is given again.
TEST_F(entry_answers, a_recorded_answer_promises_nothing) {
    for (const auto status : {408U, 421U, 429U, 503U}) {
        const auto answer = response_to(caller_answer{{}, {}, status, "failed", true});
        EXPECT_EQ(answer.status, 502U);
        EXPECT_EQ(find_header(answer.headers, "Magnolia-Outcome"), "unknown");
    }
    EXPECT_EQ(response_to(caller_answer{{}, {}, 409, "taken", true}).status, 409U);
}

} // namespace
} // namespace magnolia
