/// Signals of the platform in series, at each part of the life of a gateway's process.
#include "child_process.h"
#include "gateway_cluster.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <iterator>

namespace magnolia {
namespace {

constexpr process_end clean_end{};

/// A gateway that runs as a process of its own, before one server of each service.
class host_process : public gateway_cluster {
protected:
    static constexpr std::uint64_t answer_parts = 10;
    static constexpr milliseconds part_interval{100};

    /// Answers by their callers; status 0 if the connection ended without a complete one.
    struct pending_answers {
        std::size_t sent = 0;
        std::vector<http_response> received;

        [[nodiscard]] bool are_all_received() const { return received.size() == sent; }
        [[nodiscard]] std::ptrdiff_t count(unsigned status) const {
            return std::ranges::count(received, status, &http_response::status);
        }
    };

    void SetUp() override {
        gateway_cluster::SetUp();
        server_ = std::make_unique<test_backend>(context_);
        server_->add_handler([this](const http_request& request, const http_responder& responder) {
            answer(request, responder);
        });
        for (const auto* service : {"desk", "llm"}) {
            put("backends", service,
                std::string{service} + " 127.0.0.1:" + std::to_string(server_->port()));
        }
        settings_ = std::make_unique<host_settings>(context_, "g1", gateways_store_);
    }

    void TearDown() override {
        if (HasFailure()) {
            std::ifstream log{output()};
            std::cout << std::string{std::istreambuf_iterator<char>{log}, {}};
        }
        child_.reset();
        std::filesystem::remove(output());
        gateway_cluster::TearDown();
    }

    void answer(const http_request& request, const http_responder& responder) {
        if (request.target == "/probe") {
            return respond_with(200)(request, responder);
        }
        const bool is_stream = request.target.starts_with("/stream/");
        responder.start(200, {{"signature", "s"},
                              {"Content-Type", is_stream ? "text/event-stream" : "text/plain"}});
        write_parts(responder, is_stream, 1);
    }

    /// Writes a part of an answer now and the others later.
    void write_parts(const http_responder& responder, bool is_stream, std::uint64_t part) {
        responder.write(is_stream ? event_text(part) : "x");
        if (part == answer_parts) {
            return responder.finish();
        }
        const auto next = std::make_shared<boost::asio::steady_timer>(context_, part_interval);
        next->async_wait([this, next, responder, is_stream, part](const auto& /*failure*/) {
            write_parts(responder, is_stream, part + 1);
        });
    }

    [[nodiscard]] std::filesystem::path output() const {
        return settings_->file().string() + ".log";
    }

    void start_process(const std::vector<std::string>& options = {}) {
        std::filesystem::remove(output());
        std::vector<std::string> arguments{"--settings", settings_->file().string()};
        std::ranges::copy(options, std::back_inserter(arguments));
        child_ = std::make_unique<child_process>(MAGNOLIA_TEST_HOST, arguments, output());
    }

    [[nodiscard]] bool is_ready() {
        const auto answer = get(settings_->get().readiness.port, "/ready");
        return answer && answer->status == 200;
    }

    void wait_until_ready() {
        poll([this] { return child_->end() || is_ready(); });
        ASSERT_EQ(child_->end(), std::nullopt);
    }

    void wait_until_ended() {
        poll([this] { return child_->end().has_value(); });
    }

    void wait(milliseconds span) {
        bool has_expired = false;
        boost::asio::steady_timer timer{context_, span};
        timer.async_wait([&](const auto& /*failure*/) { has_expired = true; });
        run_until([&] { return has_expired; });
    }

    void send(const std::string& target, pending_answers& answers) {
        ++answers.sent;
        caller_.call(
            {"127.0.0.1", settings_->get().listen.port},
            {"GET",
             target,
             {{"Host", "shop.example"},
              {"attempt", "a" + std::to_string(answers.sent)},
              {"key", "k1"}},
             {},
             {}},
            {}, [&answers](const auto& received) {
                answers.received.push_back(received ? *received : http_response{0, {}, {}});
            });
    }

    /// Sends streams and requests that may not be repeated, and waits until the server has them.
    void send_some(pending_answers& answers) {
        const auto before = server_->requests().size();
        constexpr int streams = 2;
        constexpr int other_calls = 6;
        for (int call = 0; call < streams; ++call) {
            send("/stream/", answers);
        }
        for (int call = 0; call < other_calls; ++call) {
            send("/unsafe/", answers);
        }
        poll([&] { return server_->requests().size() >= before + streams + other_calls; });
    }

    std::unique_ptr<test_backend> server_;
    std::unique_ptr<host_settings> settings_;
    std::unique_ptr<child_process> child_;
};

/// A signal that follows the first SIGTERM after some time.
struct later_signal {
    int number;
    milliseconds delay;

    friend std::ostream& operator<<(std::ostream& out, const later_signal& signal) {
        return out << ::sigabbrev_np(signal.number) << "_" << signal.delay.count();
    }
};

class signal_in_a_stop : public host_process, public testing::WithParamInterface<later_signal> {};

INSTANTIATE_TEST_SUITE_P(each, signal_in_a_stop,
                         testing::Values(later_signal{SIGTERM, milliseconds{0}},
                                         later_signal{SIGTERM, milliseconds{30}},
                                         later_signal{SIGTERM, milliseconds{700}},
                                         later_signal{SIGINT, milliseconds{30}},
                                         later_signal{SIGHUP, milliseconds{30}},
                                         later_signal{SIGHUP, milliseconds{700}}),
                         testing::PrintToStringParamName());

// Incident LOST: a second SIGTERM ended the process at once, and requests that servers were working
// on were closed without an answer.
TEST_P(signal_in_a_stop, cuts_no_answer) {
    start_process();
    wait_until_ready();
    pending_answers answers;
    send_some(answers);
    child_->send_signal(SIGTERM);
    wait(GetParam().delay);
    child_->send_signal(GetParam().number);
    poll([&] { return answers.are_all_received(); });
    EXPECT_EQ(answers.count(200), answers.sent);
    wait_until_ended();
    EXPECT_EQ(child_->end(), clean_end);
}

// Incident LOST: as above, with signals of all kinds until the process has ended.
TEST_F(host_process, signals_without_end_do_not_cut_a_stop_short) {
    start_process();
    wait_until_ready();
    pending_answers answers;
    send_some(answers);
    poll([&, signals = 0]() mutable {
        constexpr std::array numbers{SIGTERM, SIGHUP, SIGINT};
        child_->send_signal(numbers[signals++ % numbers.size()]);
        return child_->end().has_value();
    });
    EXPECT_EQ(answers.count(200), answers.sent);
    EXPECT_EQ(child_->end(), clean_end);
}

// Incident LOST: settings that name a shorter time for a stop, read during it, may not shorten it.
TEST_F(host_process, a_reload_does_not_cut_a_stop_short) {
    start_process();
    wait_until_ready();
    pending_answers answers;
    send_some(answers);
    child_->send_signal(SIGTERM);
    wait(milliseconds{30});
    settings_->write(settings_->text(gateways_store_, 1));
    child_->send_signal(SIGHUP);
    poll([&] { return answers.are_all_received(); });
    EXPECT_EQ(answers.count(200), answers.sent);
    wait_until_ended();
    EXPECT_EQ(child_->end(), clean_end);
}

// Incident LOST: connections that were made while a stopping process was frozen were reset when its
// listener closed.
TEST_F(host_process, a_freeze_in_a_stop_cuts_no_answer) {
    start_process();
    wait_until_ready();
    pending_answers answers;
    send_some(answers);
    child_->send_signal(SIGTERM);
    wait(milliseconds{100});
    child_->send_signal(SIGSTOP);
    pending_answers late_answers;
    constexpr int late_calls = 4;
    for (int call = 0; call < late_calls; ++call) {
        send("/unsafe/", late_answers);
    }
    // Until the host accepts no more requests.
    wait(milliseconds{900});
    child_->send_signal(SIGCONT);
    poll([&] { return answers.are_all_received() && late_answers.are_all_received(); });
    EXPECT_EQ(answers.count(200), answers.sent);
    EXPECT_EQ(late_answers.count(503), late_answers.sent);
    wait_until_ended();
    EXPECT_EQ(child_->end(), clean_end);
}
/// Opens a pipe for writing once a process reads it.
class held_pipe {
public:
    explicit held_pipe(std::filesystem::path file) : file_{std::move(file)} {
        std::filesystem::remove(file_);
        EXPECT_EQ(::mkfifo(file_.c_str(), S_IRUSR | S_IWUSR), 0);
    }
    ~held_pipe() {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
        }
    }
    held_pipe(const held_pipe&) = delete;
    held_pipe& operator=(const held_pipe&) = delete;

    [[nodiscard]] bool is_read() {
        descriptor_ = ::open(file_.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        return descriptor_ >= 0;
    }
    /// Writes the content and its end.
    void write(const std::string& content) {
        EXPECT_EQ(::write(descriptor_, content.data(), content.size()),
                  static_cast<ssize_t>(content.size()));
        ::close(std::exchange(descriptor_, -1));
    }

private:
    std::filesystem::path file_;
    int descriptor_ = -1;
};

/// The process waits for the content of its settings file, a pipe, before it handles signals.
class start_of_a_process : public host_process {
protected:
    void SetUp() override {
        host_process::SetUp();
        content_ = settings_->text(gateways_store_);
        pipe_ = std::make_unique<held_pipe>(settings_->file());
        start_process();
        poll([this] { return pipe_->is_read(); });
        // Later reads find a regular file.
        settings_->write(content_);
    }

    std::string content_;
    std::unique_ptr<held_pipe> pipe_;
};

// Incident FAULT: SIGHUP ended a process that had not registered its handler yet.
TEST_F(start_of_a_process, survives_a_change_of_the_settings) {
    child_->send_signal(SIGHUP);
    pipe_->write(content_);
    wait_until_ready();
    pending_answers answers;
    send("/unsafe/", answers);
    poll([&] { return answers.are_all_received(); });
    EXPECT_EQ(answers.count(200), 1);
}

// As above, for SIGTERM: it has to be carried out, as a planned stop.
TEST_F(start_of_a_process, is_followed_by_the_stop_that_was_asked_for_meanwhile) {
    child_->send_signal(SIGTERM);
    child_->send_signal(SIGHUP);
    child_->send_signal(SIGTERM);
    pipe_->write(content_);
    wait_until_ended();
    EXPECT_EQ(child_->end(), clean_end);
}

// Found in the review of the incident: settings that changed without a signal while the process
// started were never applied, so that its planned stop took the time of the old ones.
TEST_F(start_of_a_process, applies_settings_that_changed_meanwhile) {
    constexpr double old_stop_timeout_s = 30;
    pipe_->write(settings_->text(gateways_store_, old_stop_timeout_s));
    wait_until_ready();
    child_->send_signal(SIGTERM);
    wait_until_ended();
    std::ifstream log{output()};
    const std::string lines{std::istreambuf_iterator<char>{log}, {}};
    EXPECT_NE(lines.find("timeout_ms=2000"), std::string::npos) << lines;
}

// Incident FAULT: signals before main(), while the constructors of static objects run.
TEST_F(host_process, records_signals_before_its_first_statement) {
    held_pipe pipe{settings_->file().string() + ".hold"};
    ::setenv("MAGNOLIA_TEST_HOLD", (settings_->file().string() + ".hold").c_str(), 1);
    start_process();
    ::unsetenv("MAGNOLIA_TEST_HOLD");
    poll([&] { return pipe.is_read(); });
    child_->send_signal(SIGHUP);
    child_->send_signal(SIGTERM);
    pipe.write("x");
    wait_until_ended();
    EXPECT_EQ(child_->end(), clean_end);
}

// Incident FAULT: a process whose settings file was being written ended with exit code 3.
TEST_F(host_process, waits_for_settings_that_are_being_written) {
    const auto content = settings_->text(gateways_store_);
    settings_->write("");
    start_process({"--settings-wait", "10"});
    // The first failure is reported.
    poll([this] { return std::filesystem::file_size(output()) > 0; });
    for (const auto size : {std::size_t{0}, content.size() / 4, content.size() / 2}) {
        settings_->write(content.substr(0, size));
        wait(milliseconds{150});
        ASSERT_EQ(child_->end(), std::nullopt) << size << " bytes";
    }
    settings_->write(content);
    wait_until_ready();
}

TEST_F(host_process, can_be_stopped_while_it_waits_for_settings) {
    settings_->write("");
    start_process({"--settings-wait", "10"});
    // The first failure is reported.
    poll([this] { return std::filesystem::file_size(output()) > 0; });
    child_->send_signal(SIGTERM);
    wait_until_ended();
    EXPECT_EQ(child_->end(), clean_end);
}

TEST_F(host_process, reports_settings_that_stay_invalid) {
    settings_->write("listen: {port: 70000}\n");
    start_process({"--settings-wait", "0.3"});
    wait_until_ended();
    EXPECT_EQ(child_->end(), process_end{.exit_code = static_cast<int>(exit_code::settings)});
}

} // namespace
} // namespace magnolia
