/// What may end a gateway's process by itself, or keep it from starting, and must not.
#include "child_process.h"
#include "gateway_cluster.h"

#include <boost/asio/ip/udp.hpp>

#include <csignal>
#include <fstream>
#include <iterator>

namespace magnolia {
namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

constexpr process_end clean_end{};

std::string read_file(const std::filesystem::path& file) {
    std::ifstream stream{file};
    return {std::istreambuf_iterator<char>{stream}, {}};
}

/// A gateway that runs as a process of its own, before one server of each service.
class lone_process : public gateway_cluster {
protected:
    void SetUp() override {
        gateway_cluster::SetUp();
        server_ = std::make_unique<test_backend>(context_);
        server_->add_handler(respond_with(200));
        for (const auto* service : {"desk", "llm"}) {
            put("backends", service,
                std::string{service} + " 127.0.0.1:" + std::to_string(server_->port()));
        }
        settings_ = std::make_unique<host_settings>(context_, "g1", gateways_store_);
    }

    void TearDown() override {
        if (HasFailure()) {
            std::cout << read_file(output());
        }
        child_.reset();
        gateway_cluster::TearDown();
    }

    [[nodiscard]] std::filesystem::path output() const {
        return settings_->file().string() + ".log";
    }

    void start_process() {
        std::filesystem::remove(output());
        child_ = std::make_unique<child_process>(
            MAGNOLIA_TEST_HOST, std::vector<std::string>{"--settings", settings_->file().string()},
            output());
    }

    /// Starts the process by a command of the shell, in which $0 is the program and $1 its
    /// settings.
    void start_by_shell(const std::string& command) {
        std::filesystem::remove(output());
        child_ = std::make_unique<child_process>(
            "/bin/sh",
            std::vector<std::string>{"-c", command, MAGNOLIA_TEST_HOST, settings_->file().string()},
            output());
    }

    [[nodiscard]] unsigned readiness() {
        const auto answer = get(settings_->get().readiness.port, "/ready");
        return answer ? answer->status : 0;
    }

    void wait_until_ready() {
        poll([this] { return child_->end() || readiness() == 200; });
        ASSERT_EQ(child_->end(), std::nullopt);
    }

    void wait_for_output(const std::string& text) {
        poll([&] { return child_->end() || read_file(output()).find(text) != std::string::npos; });
        ASSERT_EQ(child_->end(), std::nullopt);
    }

    void expect_served() {
        const auto answer = get(settings_->get().listen.port, "/safe/");
        EXPECT_TRUE(answer && answer->status == 200);
    }

    void expect_clean_stop() {
        child_->send_signal(SIGTERM);
        poll([this] { return child_->end().has_value(); });
        EXPECT_EQ(child_->end(), clean_end);
    }

    std::unique_ptr<test_backend> server_;
    std::unique_ptr<host_settings> settings_;
    std::unique_ptr<child_process> child_;
};

/// A port that the process needs.
enum class needed_port : std::uint8_t { callers, readiness, peers, peers_udp, metrics };

class taken_port : public lone_process, public testing::WithParamInterface<needed_port> {
protected:
    /// Listens on the port as another process would.
    void take() {
        const auto address = boost::asio::ip::make_address("127.0.0.1");
        if (GetParam() == needed_port::peers_udp) {
            datagrams_.emplace(context_, udp::endpoint{address, settings_->get().peer_listen.port});
            return;
        }
        listener_.emplace(context_, tcp::endpoint{address, port()});
        if (GetParam() == needed_port::metrics) {
            auto text = settings_->text(gateways_store_);
            text.insert(text.find('{') + 1,
                        "metrics: {port: " + std::to_string(listener_->local_endpoint().port()) +
                            "}, ");
            settings_->write(text);
        }
    }

    void release() {
        datagrams_.reset();
        listener_.reset();
    }

private:
    [[nodiscard]] std::uint16_t port() const {
        switch (GetParam()) {
        case needed_port::callers:
            return settings_->get().listen.port;
        case needed_port::readiness:
            return settings_->get().readiness.port;
        case needed_port::peers:
        case needed_port::peers_udp:
            return settings_->get().peer_listen.port;
        case needed_port::metrics:
            return 0;
        }
        return 0;
    }

    std::optional<tcp::acceptor> listener_;
    std::optional<udp::socket> datagrams_;
};

INSTANTIATE_TEST_SUITE_P(each, taken_port,
                         testing::Values(needed_port::callers, needed_port::readiness,
                                         needed_port::peers, needed_port::peers_udp,
                                         needed_port::metrics));

// Incident FAULT: a process whose port was still taken at its start ended with exit code 1.
TEST_P(taken_port, delays_the_start) {
    take();
    start_process();
    wait_for_output("waits for the port");
    if (GetParam() != needed_port::readiness && GetParam() != needed_port::metrics) {
        EXPECT_EQ(readiness(), 503U);
    }
    release();
    wait_until_ready();
    expect_served();
}

// As above: a stop that is asked for meanwhile is carried out.
TEST_P(taken_port, does_not_delay_a_stop) {
    take();
    start_process();
    wait_for_output("waits for the port");
    expect_clean_stop();
}

// Incident FAULT: a failed read of the settings file, as of a directory or a broken disk, threw an
// exception out of the I/O loop.
TEST_F(lone_process, goes_on_with_its_settings_if_the_file_cannot_be_read) {
    start_process();
    wait_until_ready();
    std::filesystem::remove(settings_->file());
    std::filesystem::create_directory(settings_->file());
    wait_for_output("settings file cannot be read");
    child_->send_signal(SIGHUP);
    wait_for_output("settings not reloaded");
    std::filesystem::remove(settings_->file());
    settings_->write(settings_->text(gateways_store_));
    expect_served();
    expect_clean_stop();
}

// Incident FAULT: a node that contains itself was followed until the stack overflowed.
TEST_F(lone_process, refuses_settings_that_contain_themselves) {
    start_process();
    wait_until_ready();
    settings_->write("process: &loop\n  name: [*loop]\n");
    child_->send_signal(SIGHUP);
    wait_for_output("settings not reloaded");
    expect_served();
}

// Lines of the log went to whichever descriptor had the number of a closed standard output.
TEST_F(lone_process, runs_without_standard_output) {
    auto text = settings_->text(gateways_store_);
    text.insert(text.find('{') + 1, "log_to_output: true, ");
    settings_->write(text);
    start_by_shell("exec \"$0\" --settings \"$1\" 0<&- 1>&- 2>&-");
    wait_until_ready();
    const auto descriptors = std::filesystem::path{"/proc"} / std::to_string(child_->pid()) / "fd";
    for (const auto* number : {"0", "1", "2"}) {
        EXPECT_EQ(std::filesystem::read_symlink(descriptors / number), "/dev/null");
    }
    expect_served();
    expect_clean_stop();
}

// Few descriptors and a file of limited size for the log.
TEST_F(lone_process, runs_at_the_limits_of_descriptors_and_of_its_log_file) {
    auto text = settings_->text(gateways_store_);
    text.insert(text.find('{') + 1, "log_to_output: true, ");
    settings_->write(text);
    start_by_shell("ulimit -n 40; ulimit -f 1; exec \"$0\" --settings \"$1\"");
    wait_until_ready();
    std::vector<tcp::socket> connections;
    constexpr int more_than_descriptors = 80;
    for (int count = 0; count < more_than_descriptors; ++count) {
        connections.emplace_back(context_);
        connections.back().connect(
            {boost::asio::ip::make_address("127.0.0.1"), settings_->get().listen.port});
    }
    connections.clear();
    poll([this] {
        const auto answer = get(settings_->get().listen.port, "/safe/");
        return child_->end() || (answer && answer->status == 200);
    });
    expect_clean_stop();
}

} // namespace
} // namespace magnolia
