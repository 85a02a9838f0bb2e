#include "process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>
#include <future>

namespace magnolia {
namespace {

const program_info info{"magnolia-test", "A program for tests."};

int run(std::initializer_list<const char*> arguments, const std::string& settings,
        const std::function<result<void>(process&, const entry_settings&)>& body) {
    const auto file = std::filesystem::path{testing::TempDir()} /
                      ("process_test_" + std::to_string(::getpid()) + ".yaml");
    std::ofstream{file} << settings;
    const auto path = file.string();
    std::vector<const char*> argv{"magnolia-test", "--settings", path.c_str()};
    argv.insert(argv.end(), arguments);
    const int code =
        run_program<entry_settings>(static_cast<int>(argv.size()), argv.data(), info, body);
    // The test program itself can be interrupted.
    for (const int number : {SIGINT, SIGTERM, SIGHUP}) {
        std::signal(number, SIG_DFL);
    }
    std::filesystem::remove(file);
    return code;
}

constexpr const char* valid_settings = "process: {name: a, zone: z, log_level: error}\n"
                                       "listen: {}\npeer_listen: {}\n";

result<void> must_not_run(process& /*running*/, const entry_settings& /*settings*/) {
    ADD_FAILURE() << "the program body must not run";
    return {};
}

TEST(process, an_invalid_command_line_is_refused) {
    EXPECT_EQ(run({"--unheard"}, valid_settings, must_not_run), static_cast<int>(exit_code::usage));
    EXPECT_EQ(run({"stray"}, valid_settings, must_not_run), static_cast<int>(exit_code::usage));
    const std::array only_name{"magnolia-test"};
    EXPECT_EQ(parse_command_line(1, only_name.data(), info).code, exit_code::usage);
}

TEST(process, invalid_settings_are_refused_before_the_body_runs) {
    EXPECT_EQ(run({}, "listen: {port: 70000}\n", must_not_run),
              static_cast<int>(exit_code::settings));
}

TEST(process, check_and_print_options_do_not_run_the_body) {
    EXPECT_EQ(run({"--check-settings"}, valid_settings, must_not_run), 0);
    testing::internal::CaptureStdout();
    EXPECT_EQ(run({"--print-settings"}, valid_settings, must_not_run), 0);
    EXPECT_NE(testing::internal::GetCapturedStdout().find("max_requests: 2000"), std::string::npos);
}

TEST(process, a_signal_begins_the_planned_stop) {
    bool is_stop_handler_called = false;
    const auto code =
        run({}, valid_settings, [&](process& running, const entry_settings& /*settings*/) {
            running.on_stop([&] { is_stop_handler_called = true; });
            running.set_ready(true);
            std::raise(SIGTERM);
            running.wait_for_stop();
            return result<void>{};
        });
    EXPECT_EQ(code, 0);
    EXPECT_TRUE(is_stop_handler_called);
}

// Review case 3, LOST: a SIGTERM between the start of the process and the registration of the
// gateway's stop was taken and had no effect.
TEST(process, a_signal_before_the_stop_handler_is_set_begins_the_planned_stop) {
    std::promise<void> called;
    const auto code =
        run({}, valid_settings, [&](process& running, const entry_settings& /*settings*/) {
            std::raise(SIGTERM);
            running.wait_for_stop();
            running.on_stop([&] { called.set_value(); });
            EXPECT_EQ(called.get_future().wait_for(std::chrono::seconds{5}),
                      std::future_status::ready);
            return result<void>{};
        });
    EXPECT_EQ(code, 0);
}

// Incident FAULT: a signal that came while no handler was registered ended the process; here
// between the reload of one part of a program and the registration of the next one.
TEST(process, a_reload_signal_is_kept_until_somebody_handles_it) {
    std::promise<void> called;
    const auto code =
        run({}, valid_settings, [&](process& running, const entry_settings& /*settings*/) {
            running.on_reload([] {});
            running.on_reload({});
            std::raise(SIGHUP);
            running.on_reload([&] { called.set_value(); });
            EXPECT_EQ(called.get_future().wait_for(std::chrono::seconds{5}),
                      std::future_status::ready);
            return result<void>{};
        });
    EXPECT_EQ(code, 0);
}

// Incident FAULT: as above, for a gateway that has ended: nothing calls its handler any more.
TEST(process, a_withdrawn_handler_is_not_called) {
    const auto code =
        run({}, valid_settings, [&](process& running, const entry_settings& /*settings*/) {
            running.on_reload([] { ADD_FAILURE() << "reload handler called"; });
            running.on_stop([] { ADD_FAILURE() << "stop handler called"; });
            running.on_reload({});
            running.on_stop({});
            std::raise(SIGHUP);
            std::raise(SIGTERM);
            running.wait_for_stop();
            return result<void>{};
        });
    EXPECT_EQ(code, 0);
}

TEST(process, a_failure_of_the_body_exits_with_the_failed_code) {
    const auto code =
        run({}, valid_settings, [](process& /*running*/, const entry_settings& /*settings*/) {
            return result<void>{fail(error_code::connection, "127.0.0.1:1")};
        });
    EXPECT_EQ(code, static_cast<int>(exit_code::failed));
}

/// Sends a GET request over the loopback interface and returns the complete response.
std::string get(std::uint16_t port, const std::string& path) {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket{context};
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    const auto request = "GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    std::string response;
    boost::system::error_code end;
    boost::asio::read(socket, boost::asio::dynamic_buffer(response), end);
    return response;
}

std::uint16_t free_port() {
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor{context,
                                                  {boost::asio::ip::make_address("127.0.0.1"), 0}};
    return acceptor.local_endpoint().port();
}

TEST(process, health_readiness_and_metrics_are_served) {
    const auto port = free_port();
    const auto settings =
        "process: {name: a, zone: z, log_level: error, metrics: {port: " + std::to_string(port) +
        "}}\nlisten: {}\npeer_listen: {}\n";
    const auto code = run({}, settings, [&](process& running, const entry_settings& /*settings*/) {
        running.metrics().make_counter("magnolia_test_total", "Test.").add();
        EXPECT_NE(get(port, "/readyz").find(" 503 "), std::string::npos);
        running.set_ready(true);
        EXPECT_NE(get(port, "/readyz").find(" 200 "), std::string::npos);
        EXPECT_NE(get(port, "/healthz").find("ok"), std::string::npos);
        EXPECT_NE(get(port, "/metrics").find("magnolia_test_total 1"), std::string::npos);
        EXPECT_NE(get(port, "/other").find(" 404 "), std::string::npos);
        return result<void>{};
    });
    EXPECT_EQ(code, 0);
}

TEST(process, a_listener_that_cannot_be_opened_ends_the_process) {
    const auto settings = "process: {name: a, zone: z, log_level: error, "
                          "metrics: {address: 192.0.2.1, port: 1}}\nlisten: {}\npeer_listen: {}\n";
    EXPECT_EQ(run({}, settings, must_not_run), static_cast<int>(exit_code::failed));
}

} // namespace
} // namespace magnolia
