/// A status that promises "not run" reaches a caller or another host only where that is known.
#include "gateway_fixture.h"
#include "host_relay.h"

namespace magnolia {
namespace {

constexpr unsigned may_have_run = 502;
constexpr unsigned not_run = 503;
constexpr auto promising = {408U, 429U, 503U};
/// A body that is forwarded while it arrives.
constexpr std::size_t large_body = 200'000;
constexpr std::size_t small_body = 10;

/// Responds with a signature, a time to retry and no statement on whether the request was run.
http_handler fail_with(unsigned status, std::size_t body_bytes = small_body) {
    return [status, body_bytes](const http_request&, const http_responder& responder) {
        responder.send({status,
                        {{"signature", "s"}, {"Retry-After", "100"}, {"detail", "kept"}},
                        std::string(body_bytes, 'x')});
    };
}

/// Responds with a signature and the statement that the request was not run.
http_handler refuse_with(unsigned status) {
    return [status](const http_request&, const http_responder& responder) {
        responder.send({status, {{"signature", "s"}, {"not-run", "1"}}, "refused"});
    };
}

void abort_response(const http_request& /*request*/, const http_responder& responder) {
    responder.abort();
}

class promised_status : public gateway_fixture {
protected:
    void add_to_all(const http_handler& handler) {
        add_backend("desk1", "desk").add_handler(handler);
        add_backend("llm1", "llm").add_handler(handler);
    }

    http_response ask(const std::string& path) {
        auto answer = send_request({"POST", path, {}, "order", {}});
        EXPECT_TRUE(answer) << path;
        return answer ? *answer : http_response{};
    }

    [[nodiscard]] std::size_t sends() const {
        std::size_t count = 0;
        for (const auto& backend : backends_) {
            count += backend->requests().size();
        }
        return count;
    }
};

/// A failure without a statement: its status, the path of the request, and the size of its body.
using unstated_failure = std::tuple<unsigned, const char*, std::size_t>;

class unstated_failures : public promised_status,
                          public testing::WithParamInterface<unstated_failure> {};

// Review case 7, REFUSED: a server ran an order and failed it with 503; the caller took that for
// the promise that it had not run, and the order was placed twice.
TEST_P(unstated_failures, of_a_request_that_must_not_run_twice_promise_nothing) {
    const auto& [status, path, body_bytes] = GetParam();
    add_to_all(fail_with(status, body_bytes));
    const auto answer = ask(path);
    EXPECT_EQ(answer.status, may_have_run);
    EXPECT_EQ(answer.body, std::string(body_bytes, 'x'));
    // The signature covers the server's own status, and a time to retry would invite a repeat.
    EXPECT_TRUE(find_header(answer.headers, "signature").empty());
    EXPECT_TRUE(find_header(answer.headers, "Retry-After").empty());
    EXPECT_EQ(find_header(answer.headers, "detail"), "kept");
    EXPECT_EQ(sends(), 1U);
}

// Such answers counted as sound, unless they were 503 and small, and the next orders met the server
// again.
TEST_P(unstated_failures, count_against_their_server) {
    const auto& [status, path, body_bytes] = GetParam();
    add_to_all(fail_with(status, body_bytes));
    static_cast<void>(ask(path));
    ASSERT_EQ(answers_.size(), 1U);
    EXPECT_EQ(answers_.front().result, attempt_result::failed);
}

INSTANTIATE_TEST_SUITE_P(answers, unstated_failures,
                         testing::Combine(testing::ValuesIn(promising),
                                          testing::Values("/unsafe/", "/once-stream/"),
                                          testing::Values(small_body, large_body)));

// As review case 7, in other framings and without a signature.
TEST_F(promised_status, the_framing_of_a_failure_changes_nothing) {
    auto& backend = add_raw_backend("desk1", "desk");
    const std::string head = "HTTP/1.1 503 Down\r\nattempt: a1\r\n";
    for (const auto* rest :
         {"signature: s\r\n\r\nfailed", "\r\nfailed", "signature: s\r\nContent-Length: 0\r\n\r\n",
          "signature: s\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n",
          // Broken off.
          "signature: s\r\nContent-Length: 100\r\n\r\nfailed"}) {
        backend.clear_scripts();
        backend.add_script(head + rest, connection_end::orderly);
        EXPECT_EQ(ask("/unsafe/").status, may_have_run) << rest;
    }
}

// A request that may be repeated is not endangered by the status, which stays the server's.
TEST_F(promised_status, a_failure_of_a_request_that_may_be_repeated_is_forwarded_unchanged) {
    for (const auto status : promising) {
        for (const auto* path : {"/safe/", "/stream/"}) {
            backends_.clear();
            add_to_all(respond_with(status, "failed"));
            const auto answer = ask(path);
            EXPECT_EQ(answer.status, status) << path;
            EXPECT_EQ(answer.body, "failed");
            EXPECT_EQ(find_header(answer.headers, "signature"), "s");
        }
    }
}

TEST_F(promised_status, a_request_that_may_be_repeated_goes_to_another_server_first) {
    for (const auto status : promising) {
        backends_.clear();
        for (const auto* id : {"desk1", "desk2"}) {
            auto& backend = add_backend(id, "desk");
            backend.add_handler([this, status](const auto& request, const auto& responder) {
                respond_with(sends() == 1 ? status : 200, "answer")(request, responder);
            });
        }
        EXPECT_EQ(ask("/safe/").status, 200U) << status;
        EXPECT_EQ(sends(), 2U);
    }
}

TEST_F(promised_status, statuses_that_promise_nothing_are_forwarded_unchanged) {
    for (const auto status : {302U, 400U, 401U, 403U, 404U, 409U, 413U, 422U, 500U, 502U, 504U}) {
        for (const auto body_bytes : {small_body, large_body}) {
            backends_.clear();
            add_to_all(fail_with(status, body_bytes));
            const auto answer = ask("/unsafe/");
            EXPECT_EQ(answer.status, status);
            EXPECT_EQ(answer.body.size(), body_bytes);
            EXPECT_EQ(find_header(answer.headers, "signature"), "s");
            EXPECT_EQ(find_header(answer.headers, "Retry-After"), "100");
        }
    }
}

TEST_F(promised_status, a_stated_refusal_is_retried_elsewhere_and_then_promised) {
    for (const auto status : {400U, 408U, 421U, 429U, 503U}) {
        backends_.clear();
        add_backend("desk1", "desk").add_handler(refuse_with(status));
        add_backend("desk2", "desk").add_handler(refuse_with(status));
        const auto answer = ask("/unsafe/");
        EXPECT_EQ(answer.status, not_run) << status;
        EXPECT_FALSE(find_header(answer.headers, "Retry-After").empty());
        EXPECT_EQ(sends(), 2U) << status;
    }
}

// 421 is a statement by itself.
TEST_F(promised_status, an_answer_of_another_server_at_the_address_is_a_refusal) {
    add_to_all([](const auto&, const http_responder& responder) { responder.send({421, {}, {}}); });
    EXPECT_EQ(ask("/unsafe/").status, not_run);
}

// A success contradicts the statement: the request must not be sent again.
TEST_F(promised_status, a_success_with_the_statement_is_no_refusal) {
    add_to_all(refuse_with(200));
    const auto answer = ask("/unsafe/");
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, "refused");
    EXPECT_EQ(sends(), 1U);
}

/// What this host itself answers once a first attempt is in doubt, on a route that may be repeated.
class after_a_doubt : public promised_status {
protected:
    /// Makes the first attempt of the next request break off without an answer, after `meanwhile`.
    void add_lost_attempt(const std::function<void()>& meanwhile) {
        add_backend("desk1", "desk")
            .add_handler([meanwhile](const auto& request, const http_responder& responder) {
                meanwhile();
                abort_response(request, responder);
            });
    }
};

TEST_F(after_a_doubt, a_refusal_of_the_next_server_promises_nothing) {
    add_lost_attempt([] {});
    backends_.front()->add_handler(refuse_unexecuted());
    EXPECT_EQ(ask("/safe/").status, may_have_run);
    EXPECT_EQ(sends(), 2U);
}

TEST_F(after_a_doubt, a_lack_of_servers_promises_nothing) {
    add_lost_attempt([this] { fleet_.set_gone("desk1"); });
    EXPECT_EQ(ask("/safe/").status, may_have_run);
}

TEST_F(after_a_doubt, an_empty_retry_budget_promises_nothing) {
    shared_.make_retry_budget = [] { return retry_budget{0, 0, std::chrono::seconds{10}, 1}; };
    add_lost_attempt([] {});
    EXPECT_EQ(ask("/safe/").status, may_have_run);
}

TEST_F(after_a_doubt, a_planned_stop_promises_nothing) {
    add_lost_attempt([this] {
        const auto now = steady_now();
        shared_.stop = stop_times{.cautious_from = now, .accepts_until = now, .aborts_at = now};
    });
    EXPECT_EQ(ask("/safe/").status, may_have_run);
}

TEST_F(after_a_doubt, the_end_of_a_planned_stop_promises_nothing) {
    add_backend("desk1", "desk").add_handler([this](const auto&, const auto&) {
        end_calls_of_stop(shared_);
    });
    EXPECT_EQ(ask("/unsafe/").status, may_have_run);
}

// The prompt is blocked while an engine has the request, which it may still run.
TEST_F(after_a_doubt, a_blocked_prompt_promises_nothing) {
    add_backend("llm1", "llm").add_handler([this](const auto&, const auto&) {
        const auto now = steady_now();
        quarantined_prompt verdict;
        verdict.segments = {"bad"};
        verdict.blocked_at = now;
        verdict.blocked_until = now + std::chrono::seconds{10};
        quarantine_.adopt(verdict, now);
        EXPECT_NE(quarantine_.find_block({"bad"}, steady_now()), nullptr);
        enforce_quarantine(shared_);
    });
    const auto answer =
        send_request({"POST", "/once-stream/", {{"segments", "bad"}}, "prompt", {}});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, may_have_run);
}

/// A request that this host passes on, as it cannot reach the servers itself.
class answers_of_another_host : public promised_status {
protected:
    /// The other host responds with this status and header, and the body "other".
    http_response ask_through(unsigned status, http_headers headers,
                              const std::string& path = "/unsafe/") {
        constexpr std::uint16_t closed_port = 1;
        list_backend("desk1", "desk", closed_port);
        reach_.on_connection_failed("desk1", steady_now());
        EXPECT_TRUE(reach_.is_unreachable("desk"));
        placement_update digest;
        digest.sender = "g2";
        digest.zone = "z1";
        digest.takes_relayed = true;
        backends_.push_back(std::make_unique<test_backend>(context_));
        backends_.back()->add_handler([=](const auto&, const http_responder& responder) {
            responder.send({status, headers, "other"});
        });
        relays_.on_digest(digest, {"127.0.0.1", backends_.back()->port()}, steady_now());
        return ask(path);
    }
};

TEST_F(answers_of_another_host, its_own_doubt_decides) {
    for (const auto status : promising) {
        for (const auto* outcome : {"in-doubt", "else"}) {
            EXPECT_EQ(ask_through(status, {{"Magnolia-Relay-Outcome", outcome}}).status,
                      may_have_run);
        }
    }
}

TEST_F(answers_of_another_host, its_own_statement_decides) {
    const auto answer = ask_through(503, {{"Magnolia-Relay-Outcome", "not-run"}});
    EXPECT_EQ(answer.status, not_run);
    EXPECT_FALSE(find_header(answer.headers, "Retry-After").empty());
}

// A host of an earlier release forwards a server's failure as it is, and may fail a request itself
// without saying what it knows.
TEST_F(answers_of_another_host, without_its_statement_nothing_is_promised) {
    for (const auto status : {408U, 421U, 429U, 503U}) {
        const auto signed_answer = ask_through(status, {{"signature", "s"}, {"Retry-After", "1"}});
        EXPECT_EQ(signed_answer.status, may_have_run) << status;
        EXPECT_EQ(signed_answer.body, "other");
        EXPECT_TRUE(find_header(signed_answer.headers, "signature").empty());
        EXPECT_EQ(ask_through(status, {}).status, may_have_run) << status;
    }
}

// A server's statement is about one send, and the other host may have made several.
TEST_F(answers_of_another_host, the_statement_of_its_server_is_not_its_own) {
    EXPECT_EQ(ask_through(503, {{"signature", "s"}, {"not-run", "1"}}).status, may_have_run);
}

TEST_F(answers_of_another_host, a_failure_of_a_request_that_may_be_repeated_is_forwarded) {
    const auto answer = ask_through(503, {{"signature", "s"}}, "/safe/");
    EXPECT_EQ(answer.status, 503U);
    EXPECT_EQ(find_header(answer.headers, "signature"), "s");
}

} // namespace
} // namespace magnolia
