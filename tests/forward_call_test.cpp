#include "gateway_fixture.h"
#include "repeating_server.h"

#include <algorithm>

namespace magnolia {
namespace {

TEST_F(gateway_fixture, a_request_is_forwarded_unchanged_except_for_gateway_headers) {
    auto& backend = add_backend("b1", "desk");
    backend.add_handler(respond_with(200, "order placed"));
    const auto answer = send_request(
        {"POST", "/unsafe/x?a=b", {{"other", "kept"}, {"time-left", "5000"}}, "body", {}});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, "order placed");
    ASSERT_EQ(backend.requests().size(), 1U);
    const auto& seen = backend.requests().front();
    EXPECT_EQ(seen.method + seen.target + seen.body, "POST/unsafe/x?a=bbody");
    EXPECT_EQ(find_header(seen.headers, "other"), "kept");
    EXPECT_EQ(find_header(seen.headers, "Host"), "shop.example");
    EXPECT_EQ(find_header(seen.headers, "backend"), "b1");
    EXPECT_EQ(find_header(seen.headers, "workspace"), "acme");
    EXPECT_EQ(find_header(seen.headers, "key"), "");
    EXPECT_LE(std::stoi(std::string{find_header(seen.headers, "time-left")}), 5000);
}

// A gateway with an outdated configuration must not reject a route or key that may be new; it
// answers 503 instead, so that the caller tries again.
TEST_F(gateway_fixture, unknown_routes_and_keys_are_refused_only_with_a_confirmed_configuration) {
    add_backend("b1", "desk").add_handler(respond_with(200));
    EXPECT_EQ(send_request({"GET", "/nowhere/", {}, {}, {}})->status, 404U);
    EXPECT_EQ(send_request({"GET", "/safe/", {{"key", "no"}}, {}, {}})->status, 401U);
    shared_.routes_confirmed_at = steady_now() - std::chrono::hours{2};
    EXPECT_EQ(send_request({"GET", "/nowhere/", {}, {}, {}})->status, 503U);
    EXPECT_EQ(send_request({"GET", "/safe/", {{"key", "no"}}, {}, {}})->status, 503U);
    EXPECT_EQ(send_request({"GET", "/safe/", {}, {}, {}})->status, 200U);
}

// Review case 2, CONFIG: a host that cannot show how old its state is must not act on it.
TEST_F(gateway_fixture, nothing_is_run_or_denied_by_a_state_of_unknown_age) {
    add_backend("b1", "desk").add_handler(respond_with(200));
    shared_.is_state_known = [] { return false; };
    for (const auto* path : {"/safe/", "/unsafe/", "/none/"}) {
        const auto answer = send_request({"GET", path, {}, {}, {}});
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->status, 503U) << path;
    }
    EXPECT_TRUE(backends_.front()->requests().empty());
}

TEST_F(gateway_fixture, an_unsafe_request_is_not_retried_after_a_broken_response) {
    for (const auto* id : {"b1", "b2"}) {
        add_backend(id, "desk").add_handler([](const auto&, const http_responder& responder) {
            responder.abort();
        });
    }
    EXPECT_EQ(send_request({"POST", "/unsafe/", {}, "order", {}})->status, 502U);
    EXPECT_EQ(backends_[0]->requests().size() + backends_[1]->requests().size(), 1U);
}

TEST_F(gateway_fixture, an_unsafe_request_proved_not_executed_is_retried_elsewhere) {
    for (const auto* id : {"b1", "b2"}) {
        auto& backend = add_backend(id, "desk");
        backend.add_handler(refuse_unexecuted());
        backend.add_handler(respond_with(200));
    }
    // The first backend server refuses, and so does the other one: both prove that nothing ran.
    const auto answer = send_request({"POST", "/unsafe/", {}, "order", {}});
    EXPECT_EQ(answer->status, 503U);
    EXPECT_EQ(backends_[0]->requests().size(), 1U);
    EXPECT_EQ(backends_[1]->requests().size(), 1U);
}

TEST_F(gateway_fixture, a_safe_request_is_retried_after_a_failure) {
    for (const auto* id : {"b1", "b2"}) {
        add_backend(id, "desk").add_handler([](const auto&, const http_responder& responder) {
            responder.abort();
        });
    }
    backends_[0]->add_handler(respond_with(200));
    EXPECT_EQ(send_request({"GET", "/safe/", {}, {}, {}})->status, 502U);
    EXPECT_EQ(backends_[0]->requests().size(), 1U);
    EXPECT_EQ(backends_[1]->requests().size(), 1U);
}

// Another process may have taken over the address; its response must not reach the caller.
TEST_F(gateway_fixture, a_success_without_a_signature_is_rejected) {
    add_backend("b1", "desk").add_handler([](const auto&, const http_responder& responder) {
        responder.send({200, {}, "forged"});
    });
    EXPECT_EQ(send_request({"POST", "/unsafe/", {}, "order", {}})->status, 502U);
}

TEST_F(gateway_fixture, a_broken_stream_is_resumed_on_another_backend_server) {
    for (const auto* id : {"b1", "b2"}) {
        add_backend(id, "llm").add_handler(stream_events({1, 2, 3}, false));
    }
    const auto text = send_raw("POST", "/stream/");
    // The second backend server does not continue after event 3, and two sends are the maximum.
    EXPECT_EQ(count_of(text, "id: "), 3U);
    ASSERT_EQ(backends_[0]->requests().size(), 1U);
    ASSERT_EQ(backends_[1]->requests().size(), 1U);
    const std::string resumes{
        std::string{find_header(backends_[0]->requests().front().headers, "resume")} +
        std::string{find_header(backends_[1]->requests().front().headers, "resume")}};
    EXPECT_EQ(resumes, "3");
}

TEST_F(gateway_fixture, a_resumed_stream_delivers_each_event_once) {
    auto& backend = add_backend("b1", "llm");
    backend.add_handler(stream_events({1, 2, 3}, false));
    backend.add_handler(stream_events({4, 5}, true));
    const auto answer = send_request({"POST", "/stream/", {}, "prompt", {}});
    ASSERT_TRUE(answer);
    std::string expected;
    for (const auto id : {1, 2, 3, 4, 5}) {
        expected += event_text(static_cast<std::uint64_t>(id));
    }
    EXPECT_EQ(answer->body, expected);
}

// Event 4 is missing: the caller must see an aborted stream instead of a gap.
TEST_F(gateway_fixture, a_resumed_stream_with_a_gap_is_aborted) {
    auto& backend = add_backend("b1", "llm");
    backend.add_handler(stream_events({1, 2, 3}, false));
    backend.add_handler(stream_events({5, 6}, true));
    const auto text = send_raw("POST", "/stream/");
    EXPECT_EQ(count_of(text, "id: "), 3U);
    EXPECT_EQ(count_of(text, "0\r\n\r\n"), 0U);
}

// An error response after the start of a stream would appear to the caller as part of the answer.
TEST_F(gateway_fixture, no_error_response_is_written_into_a_started_stream) {
    auto& backend = add_backend("b1", "llm");
    backend.add_handler([this](const http_request& request, const http_responder& responder) {
        // The backend server is removed before its stream breaks, so no other one can be tried.
        fleet_.set_gone("b1");
        stream_events({1, 2}, false)(request, responder);
    });
    const auto text = send_raw("POST", "/stream/");
    EXPECT_EQ(count_of(text, "HTTP/1.1"), 1U);
    EXPECT_EQ(count_of(text, "id: "), 2U);
    EXPECT_EQ(count_of(text, "0\r\n\r\n"), 0U);
}

TEST_F(gateway_fixture, a_stream_that_may_not_be_retried_is_aborted) {
    auto& backend = add_backend("b1", "llm");
    backend.add_handler(stream_events({1, 2}, false));
    const auto text = send_raw("POST", "/once-stream/");
    EXPECT_EQ(count_of(text, "id: "), 2U);
    EXPECT_EQ(count_of(text, "0\r\n\r\n"), 0U);
    EXPECT_EQ(backend.requests().size(), 1U);
}

TEST_F(gateway_fixture, a_prompt_larger_than_one_engine_reserves_memory_on_several) {
    for (const auto* id : {"b1", "b2", "b3"}) {
        auto& backend = add_backend(id, "llm");
        backend.add_handler([](const http_request& request, const http_responder& responder) {
            const bool is_memory_request =
                request.target == "/reserve" || request.target == "/release";
            (is_memory_request ? respond_with(200) : stream_events({1}, true))(request, responder);
        });
    }
    auto config = default_config();
    config.services.front().engine->memory_tokens = 120'000;
    fleet_.set_services(config.services);
    const auto answer = send_request({"POST", "/stream/", {{"prompt", "150000"}}, "p", {}});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200U);
    std::size_t reserves = 0;
    std::size_t runs = 0;
    const auto count = [&] {
        reserves = runs = 0;
        std::size_t releases = 0;
        for (const auto& backend : backends_) {
            for (const auto& request : backend->requests()) {
                reserves += request.target == "/reserve" ? 1 : 0;
                releases += request.target == "/release" ? 1 : 0;
                runs += request.target == "/stream/" ? 1 : 0;
            }
        }
        return releases;
    };
    // The timer ends the wait if the reservations are never released.
    bool has_expired = false;
    boost::asio::steady_timer timeout{context_, std::chrono::seconds{5}};
    timeout.async_wait([&](const auto&) { has_expired = true; });
    run_until([&] { return has_expired || (count() > 0 && count() == reserves); });
    EXPECT_FALSE(has_expired);
    EXPECT_GE(reserves, 2U);
    EXPECT_EQ(runs, 1U);
    EXPECT_EQ(reservations_.size(), 0U);
}

// LEAK: the memory of a prompt that several engines hold stayed reserved until the deadline, as
// another process answered the probes of the one that had the request.
TEST_F(gateway_fixture, memory_is_released_once_another_process_has_the_address) {
    for (const std::string path : {"/stream/", "/once-stream/"}) {
        backends_.clear();
        // The first backend server that gets the request ends, and another process takes its
        // address.
        const test_backend* ended = nullptr;
        std::optional<http_responder> unanswered;
        for (const std::string id : {"b1", "b2", "b3", "b4"}) {
            auto& backend = add_backend(id, "llm");
            list_backend(id, "llm", backend.port(), 7);
            backend.add_handler([&](const http_request& request, const http_responder& responder) {
                if (request.target == "/probe") {
                    const std::string started = ended == &backend ? "8" : "7";
                    return responder.send({200, {{"started", started}}, {}});
                }
                if (request.target != path) {
                    return respond_with(200)(request, responder);
                }
                if (ended == nullptr) {
                    ended = &backend;
                    unanswered = responder;
                    return;
                }
                stream_events({1}, true)(request, responder);
            });
        }
        auto config = default_config();
        config.services.front().engine->memory_tokens = 120'000;
        fleet_.set_services(config.services);
        const auto answer =
            send_request({"POST", path, {{"prompt", "150000"}, {"time-left", "8000"}}, "p", {}});
        ASSERT_TRUE(answer);
        // Only a request that may run twice is sent again.
        EXPECT_EQ(answer->status, path == "/stream/" ? 200U : 502U);
        EXPECT_EQ(reservations_.size(), 0U);
    }
}

// STUCK: a reservation was renewed at whichever process had the address.
TEST_F(gateway_fixture, memory_requests_name_the_engine_that_holds_the_memory) {
    const std::vector<std::string> ids{"b1", "b2", "b3"};
    std::optional<http_responder> run;
    for (const auto& id : ids) {
        add_backend(id, "llm").add_handler(
            [&](const http_request& request, const http_responder& responder) {
                if (request.target != "/stream/") {
                    return respond_with(200)(request, responder);
                }
                run = responder;
            });
    }
    auto config = default_config();
    config.services.front().engine->memory_tokens = 120'000;
    fleet_.set_services(config.services);
    reservations_.set_ttl(milliseconds{60});
    boost::asio::steady_timer end_of_answer{context_, milliseconds{200}};
    end_of_answer.async_wait([&](const auto&) { stream_events({1}, true)({}, *run); });
    EXPECT_EQ(send_request({"POST", "/stream/", {{"prompt", "150000"}}, "p", {}})->status, 200U);
    std::ptrdiff_t reserves = 0;
    for (std::size_t index = 0; index < ids.size(); ++index) {
        for (const auto& request : backends_[index]->requests()) {
            reserves += request.target == "/reserve" ? 1 : 0;
            if (request.target == "/reserve" || request.target == "/release") {
                EXPECT_EQ(find_header(request.headers, "backend"), ids[index]);
            }
        }
    }
    // Two reservations and at least one renewal of each.
    EXPECT_GE(reserves, 4);
}

TEST_F(gateway_fixture, a_caller_disconnect_cancels_the_attempt) {
    auto& backend = add_backend("b1", "llm");
    bool is_disconnected = false;
    backend.add_handler([&](const http_request&, const http_responder& responder) {
        responder.on_disconnect([&] { is_disconnected = true; });
    });
    http_client caller{context_, 0};
    const auto id = caller.call(
        {"127.0.0.1", gateway_server_.port()},
        {"POST", "/stream/", {{"Host", "shop.example"}, {"attempt", "a1"}, {"key", "k1"}}, "p", {}},
        {}, [](const auto&) {});
    run_until([&] { return !backend.requests().empty(); });
    caller.cancel(id);
    run_until([&] { return is_disconnected; });
    EXPECT_TRUE(is_disconnected);
    EXPECT_EQ(summaries_.back().status, 499U);
}

TEST_F(gateway_fixture, a_deadline_that_passes_after_sending_returns_504) {
    add_backend("b1", "desk").add_handler([](const auto&, const auto&) {});
    EXPECT_EQ(send_request({"POST", "/unsafe/", {{"time-left", "60"}}, "order", {}})->status, 504U);
}

// A stream that only pauses would be lost if it were cancelled without the budget to retry it.
TEST_F(gateway_fixture, a_silent_stream_is_kept_when_the_retry_budget_is_empty) {
    shared_.make_retry_budget = [] { return retry_budget{0, 0, std::chrono::seconds{10}, 1}; };
    auto& backend = add_backend("b1", "llm");
    std::optional<http_responder> stream;
    backend.add_handler([&](const http_request& request, const http_responder& responder) {
        if (request.target == "/probe") {
            return; // Probes stay without a response.
        }
        responder.start(200, {{"signature", "s"}, {"Content-Type", "text/event-stream"}});
        responder.write(event_text(1));
        stream = responder;
    });
    boost::asio::steady_timer second_event_timer{context_, std::chrono::milliseconds{1500}};
    second_event_timer.async_wait([&](const auto&) {
        stream->write(event_text(2));
        stream->finish();
    });
    const auto answer = send_request({"POST", "/stream/", {}, "prompt", {}});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, event_text(1) + event_text(2));
}

TEST_F(gateway_fixture, a_refusal_carries_retry_after) {
    add_backend("b1", "desk").add_handler(refuse_unexecuted());
    const auto refused = send_request({"POST", "/unsafe/", {}, "order", {}});
    EXPECT_EQ(refused->status, 503U);
    EXPECT_GE(std::stoi(std::string{find_header(refused->headers, "Retry-After")}), 200);
    backends_.front()->add_handler(respond_with(200));
    static_cast<void>(send_request({"POST", "/unsafe/", {}, "order", {}}));
}

// Incident BUDGET: a server that had asked for rest was sent requests. None is held until its end.
TEST_F(gateway_fixture, a_request_is_refused_at_once_while_all_backend_servers_rest) {
    add_backend("b1", "desk").add_handler([](const auto&, const http_responder& responder) {
        responder.send({503, {{"not-run", "1"}, {"Retry-After", "5000"}}, {}});
    });
    for (int request = 0; request < 5; ++request) {
        const auto answer = send_request({"GET", "/safe/", {}, {}, {}});
        EXPECT_EQ(answer->status, 503U);
        EXPECT_GE(std::stoi(std::string{find_header(answer->headers, "Retry-After")}), 4000);
        EXPECT_LT(summaries_.back().elapsed, std::chrono::seconds{1});
    }
    EXPECT_EQ(backends_.front()->requests().size(), 1U);
}

// Callers were told "not run" of requests that a server had run, or these ran at a second server.
TEST_F(gateway_fixture, a_refusal_that_is_written_again_answers_no_later_request) {
    const repeating_server faulty{
        context_, "HTTP/1.1 503 Full\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Length: 4\r\n\r\ndone"};
    list_backend("b1", "desk", faulty.port());
    for (std::size_t requests = 1; requests <= 3; ++requests) {
        EXPECT_EQ(send_request({"POST", "/unsafe/", {}, {}, {}})->status, 200U) << requests;
        EXPECT_EQ(faulty.run_count(), requests);
    }
}

// Bytes that are no answer come over a connection: the service can be reached.
TEST_F(gateway_fixture, a_malformed_answer_is_no_broken_connection) {
    constexpr std::uint16_t closed_port = 1;
    list_backend("b2", "desk", closed_port);
    list_backend("b3", "desk", closed_port);
    add_raw_backend("b1", "desk").add_script("no answer\r\n\r\n", connection_end::orderly);
    for (int request = 0; request < 8; ++request) {
        EXPECT_NE(send_request({"GET", "/safe/", {}, {}, {}})->status, 200U);
        EXPECT_FALSE(reach_.is_unreachable("desk"));
    }
}

// A limit that could not be read passed for its end: all hosts sent without one.
TEST_F(gateway_fixture, an_unreadable_limit_leaves_the_last_one_in_force) {
    auto& backend = add_backend("b1", "desk");
    for (const auto* limit : {"1000", "unreadable"}) {
        backend.add_handler([limit](const auto&, const http_responder& responder) {
            responder.send({200, {{"signature", "s"}, {"limit", limit}}, "ok"});
        });
    }
    for (std::size_t sent = 1; sent <= 2; ++sent) {
        EXPECT_EQ(send_request({"GET", "/safe/", {}, {}, {}})->status, 200U);
        EXPECT_EQ(backend.requests().size(), sent);
        EXPECT_EQ(fleet_.stated_limit("b1"), 1000);
    }
}

// Reservation ids are sent in a list with separators. An attempt id in it could add an address of
// the caller's choice to the list of helpers.
TEST_F(gateway_fixture, a_reservation_id_contains_no_caller_input) {
    for (const auto* id : {"b1", "b2", "b3"}) {
        add_backend(id, "llm").add_handler([](const http_request& request,
                                              const http_responder& responder) {
            const bool is_memory_request =
                request.target == "/reserve" || request.target == "/release";
            (is_memory_request ? respond_with(200) : stream_events({1}, true))(request, responder);
        });
    }
    auto config = default_config();
    config.services.front().engine->memory_tokens = 120'000;
    fleet_.set_services(config.services);
    http_request request{"POST", "/stream/", {{"prompt", "150000"}}, "p", {}};
    request.headers.push_back({"attempt", "x,10.0.0.9:1/y"});
    static_cast<void>(send_request(std::move(request)));
    std::size_t seen = 0;
    for (const auto& backend : backends_) {
        for (const auto& sent : backend->requests()) {
            if (sent.target == "/reserve") {
                ++seen;
                const std::string name{find_header(sent.headers, "attempt")};
                EXPECT_EQ(name.find_first_of(",/"), std::string::npos) << name;
            }
        }
    }
    EXPECT_GE(seen, 2U);
}

// Without the address of the faulty helper, the gateway would remove the backend server that
// reported the fault and choose the same helper again.
TEST_F(gateway_fixture, a_faulty_helper_is_excluded_and_the_first_backend_server_is_kept) {
    for (const auto* id : {"b1", "b2"}) {
        add_backend(id, "llm").add_handler(
            [this](const http_request&, const http_responder& responder) {
                // Reports the backend server that did not receive the request as faulty.
                const auto port =
                    backends_[0]->requests().empty() ? backends_[0]->port() : backends_[1]->port();
                responder.send({421, {{"fault", "127.0.0.1:" + std::to_string(port)}}, {}});
            });
        backends_.back()->add_handler(stream_events({1}, true));
    }
    auto config = default_config();
    auto& profile = *config.services.front().engine;
    profile.memory_tokens = 120'000;
    profile.prefill_tokens_per_ms = 20;
    fleet_.set_services(config.services);
    const auto answer = send_request({"POST", "/stream/", {{"prompt", "60000"}}, "p", {}});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, event_text(1));
    const auto& first = backends_[0]->requests().empty() ? *backends_[1] : *backends_[0];
    ASSERT_FALSE(first.requests().empty());
    ASSERT_NE(find_header(first.requests().front().headers, "helpers"), "");
    // The faulty helper is removed; the first backend server still accepts requests.
    EXPECT_EQ(fleet_.live_count(), 1U);
    EXPECT_EQ(first.requests().size(), 2U);
}

// A retry after a partially sent body would append the events of another response to it.
TEST_F(gateway_fixture, a_broken_plain_response_is_not_resumed_with_events) {
    add_backend("b1", "llm").add_handler([](const http_request&, const http_responder& responder) {
        responder.start(200, {{"signature", "s"}});
        responder.write(std::string(100'000, 'x'), [responder] { responder.abort(); });
    });
    backends_.front()->add_handler(stream_events({1, 2}, true));
    const auto text = send_raw("POST", "/stream/");
    EXPECT_EQ(count_of(text, "id: "), 0U);
    EXPECT_EQ(count_of(text, "0\r\n\r\n"), 0U);
    EXPECT_EQ(backends_.front()->requests().size(), 1U);
}

} // namespace
} // namespace magnolia
