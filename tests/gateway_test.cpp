#include "gateway.h"
#include "gateway_fixture.h"
#include "platform_client.h"
#include "platform_server.h"

#include <boost/asio/steady_timer.hpp>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <thread>

namespace magnolia {
namespace {

std::uint16_t free_port(boost::asio::io_context& context) {
    const boost::asio::ip::tcp::acceptor probe{context,
                                               {boost::asio::ip::make_address("127.0.0.1"), 0}};
    return probe.local_endpoint().port();
}

/// Runs a complete gateway on its own thread; the test provides callers, the store and a backend
/// server on loopback.
class whole_gateway : public testing::Test {
protected:
    void SetUp() override {
        ASSERT_TRUE(store_.listen(endpoint{}));
        settings_.process.name = "g1";
        settings_.process.zone = "z1";
        settings_.process.platform = {"127.0.0.1", store_.port()};
        settings_.listen.port = free_port(context_);
        settings_.readiness.port = free_port(context_);
        settings_.peer_listen.port = free_port(context_);
        settings_.stop_timeout_s = 2;
        write_settings(store_.port());
        backend_ = std::make_unique<test_backend>(context_);
        platform_budget rates;
        operator_client_ = std::make_unique<platform_client>(
            context_, endpoint{"127.0.0.1", store_.port()}, rates, 1);
        put("routes", "main", R"({"version":2})");
        put("backends", "b1", "desk 127.0.0.1:" + std::to_string(backend_->port()));
        owner_ = std::make_unique<process>(settings_.process, settings_file_);
        thread_ = std::thread{[this] {
            gateway host{*owner_, settings_, codec_, store_codec_};
            has_run_succeeded_ = host.run().has_value();
            has_run_returned_ = true;
        }};
        wait_for_readiness(true);
    }

    void TearDown() override {
        owner_->request_stop();
        poll([this] { return has_run_returned_.load(); });
        thread_.join();
        EXPECT_TRUE(has_run_succeeded_);
    }

    /// Replaces the settings file by one that names the store at this port.
    void write_settings(std::uint16_t store_port) const {
        const auto at = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
        const auto next = settings_file_.string() + ".next";
        std::ofstream{next} << "process: {name: g1, zone: z1, platform: \"" << at(store_port)
                            << "\"}\nlisten: \"" << at(settings_.listen.port) << "\"\nreadiness: \""
                            << at(settings_.readiness.port) << "\"\npeer_listen: \""
                            << at(settings_.peer_listen.port) << "\"\nstop_timeout_s: 2\n";
        std::filesystem::rename(next, settings_file_);
    }

    template <class Condition>
    void run_until(Condition condition) {
        while (!condition() && context_.run_one() > 0) {
        }
    }

    /// Runs the test's I/O until a condition holds that the gateway's thread changes.
    template <class Condition>
    void poll(Condition condition) {
        // Fails a test that would wait forever: 1000 polls of 10 ms take ten seconds.
        constexpr int max_polls = 1000;
        for (int poll_count = 0; !condition(); ++poll_count) {
            ASSERT_LT(poll_count, max_polls);
            bool has_expired = false;
            boost::asio::steady_timer pause{context_, milliseconds{10}};
            pause.async_wait([&](const auto&) { has_expired = true; });
            run_until([&] { return has_expired; });
        }
    }

    /// Writes an object to the store; replaces the version that the test wrote before.
    void put(const std::string& kind, const std::string& name, const std::string& value) {
        auto& version = versions_[name];
        std::optional<result<platform_reply>> reply;
        operator_client_->execute(object_put{{kind, name}, version, value}, call_priority::claim,
                                  [&](const auto& answer) { reply = answer; });
        run_until([&] { return reply.has_value(); });
        ASSERT_TRUE(*reply);
        version = std::get<stored_object>(**reply).version;
    }

    /// Sends a GET request to the gateway as a caller of the workspace acme.
    tl::expected<http_response, http_failure> get(std::uint16_t port, const std::string& target) {
        http_request request{
            "GET", target, {{"Host", "shop.example"}, {"attempt", "a1"}, {"key", "k1"}}, {}, {}};
        std::optional<tl::expected<http_response, http_failure>> answer;
        caller_.call({"127.0.0.1", port}, std::move(request), {},
                     [&](auto received) { answer = std::move(received); });
        run_until([&] { return answer.has_value(); });
        return *answer;
    }

    void wait_for_readiness(bool expected_ready) {
        poll([&] {
            const auto answer = get(settings_.readiness.port, "/ready");
            return (answer && answer->status == 200) == expected_ready;
        });
    }

    void wait_for_status(const std::string& target, unsigned status) {
        poll([&] {
            const auto answer = get(settings_.listen.port, target);
            return answer && answer->status == status;
        });
    }

    boost::asio::io_context context_{1};
    platform_server store_{context_, 1};
    http_client caller_{context_, 0};
    test_codec codec_;
    product_store_codec store_codec_;
    gateway_settings settings_;
    std::filesystem::path settings_file_ = std::filesystem::path{testing::TempDir()} /
                                           ("gateway_test_" + std::to_string(::getpid()) + ".yaml");
    std::map<std::string, std::uint64_t> versions_;
    std::unique_ptr<platform_client> operator_client_;
    std::unique_ptr<test_backend> backend_;
    std::unique_ptr<process> owner_;
    std::thread thread_;
    std::atomic<bool> has_run_succeeded_{false};
    std::atomic<bool> has_run_returned_{false};
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
        {"127.0.0.1", settings_.listen.port},
        {"GET",
         "/unsafe/",
         {{"Host", "shop.example"}, {"attempt", "a0"}, {"key", "k1"}, {"time-left", "9000"}},
         {},
         {}},
        {}, [&](auto received) { first = std::move(received); });
    run_until([&] { return open.has_value(); });
    owner_->request_stop();
    wait_for_readiness(false);
    const auto second = get(settings_.listen.port, "/safe/");
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
    EXPECT_EQ(get(settings_.listen.port, "/safe/")->status, 404U);
    put("backends", "b1", "desk 127.0.0.1:" + std::to_string(backend_->port()));
    put("routes", "main", R"({"version":6,"without":"/unsafe/"})");
    wait_for_status("/unsafe/", 404);
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
    write_settings(other.port());
    poll([&] { return calls > 0; });
    write_settings(store_.port());
}

} // namespace
} // namespace magnolia
