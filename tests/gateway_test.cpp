#include "gateway_cluster.h"

namespace magnolia {
namespace {

/// A complete gateway with one backend server.
class whole_gateway : public gateway_cluster {
protected:
    void SetUp() override {
        gateway_cluster::SetUp();
        backend_ = std::make_unique<test_backend>(context_);
        put("backends", "b1", "desk 127.0.0.1:" + std::to_string(backend_->port()));
        gateway_ = &start_gateway("g1");
    }

    [[nodiscard]] std::uint16_t port() const { return gateway_->settings().listen.port; }

    void wait_for_status(const std::string& target, unsigned status) {
        poll([&] {
            const auto answer = get(port(), target);
            return answer && answer->status == status;
        });
    }

    std::unique_ptr<test_backend> backend_;
    running_gateway* gateway_ = nullptr;
};

// The load balancer still sends requests for some time after the readiness check has failed.
TEST_F(whole_gateway, a_planned_stop_completes_open_requests_and_accepts_new_ones) {
    std::optional<http_responder> open;
    backend_->add_handler([&](const http_request& /*request*/, const http_responder& responder) {
        open = responder;
    });
    backend_->add_handler(respond_with(200, "second"));
    std::optional<tl::expected<http_response, http_failure>> first;
    caller_.call(
        {"127.0.0.1", port()},
        {"GET",
         "/unsafe/",
         {{"Host", "shop.example"}, {"attempt", "a0"}, {"key", "k1"}, {"time-left", "9000"}},
         {},
         {}},
        {}, [&](auto received) { first = std::move(received); });
    run_until([&] { return open.has_value(); });
    gateway_->request_stop();
    wait_for_readiness(*gateway_, false);
    const auto second = get(port(), "/safe/");
    ASSERT_TRUE(second);
    EXPECT_EQ(second->body, "second");
    EXPECT_EQ(find_header(second->headers, "Connection"), "close");
    open->send({200, {{"signature", "s"}}, "first"});
    run_until([&] { return first.has_value(); });
    ASSERT_TRUE(*first);
    EXPECT_EQ((*first)->body, "first");
}

TEST_F(whole_gateway, a_new_configuration_applies_without_restart_and_never_reverts) {
    backend_->add_handler(respond_with(200));
    wait_for_status("/safe/", 200);
    put("routes", "main", R"({"version":5,"without":"/safe/"})");
    wait_for_status("/safe/", 404);
    put("routes", "main", R"({"version":4})");
    put("routes", "main", R"({"other":1})");
    // A later write to the store has arrived, so the older version has arrived before it.
    put("backends", "b1", "other-service 127.0.0.1:1");
    wait_for_status("/unsafe/", 503);
    EXPECT_EQ(get(port(), "/safe/")->status, 404U);
    put("backends", "b1", "desk 127.0.0.1:" + std::to_string(backend_->port()));
    put("routes", "main", R"({"version":6,"without":"/unsafe/"})");
    wait_for_status("/unsafe/", 404);
    wait_for_status("/safe/", 200);
}

// Incident CONFIG: the store's present content was ignored because its version was known.
TEST_F(whole_gateway, another_content_of_the_same_version_is_applied) {
    backend_->add_handler(respond_with(200));
    wait_for_status("/safe/", 200);
    put("routes", "main", R"({"version":5,"without":"/safe/"})");
    wait_for_status("/safe/", 404);
    put("routes", "main", R"({"version":5})");
    wait_for_status("/safe/", 200);
}

TEST_F(whole_gateway, changes_of_backend_servers_are_applied) {
    backend_->add_handler(respond_with(200));
    wait_for_status("/safe/", 200);
    put("backends", "b1", "other-service 127.0.0.1:1");
    wait_for_status("/safe/", 503);
    put("backends", "b2", "unreadable 127.0.0.1:no-port");
    put("backends", "b1", "desk 127.0.0.1:" + std::to_string(backend_->port()));
    wait_for_status("/safe/", 200);
}

// A deployment may replace the settings file without sending SIGHUP.
TEST_F(whole_gateway, a_changed_settings_file_is_reloaded_without_a_signal) {
    int calls = 0;
    http_server other{context_, {}, [&](const http_request&, const http_responder& responder) {
                          ++calls;
                          responder.send({503, {}, {}});
                      }};
    ASSERT_TRUE(other.listen(endpoint{}));
    gateway_->write_settings({"127.0.0.1", other.port()});
    poll([&] { return calls > 0; });
    gateway_->write_settings({"127.0.0.1", store_.port()});
}

} // namespace
} // namespace magnolia
