#include "process.h"

#include "http_server.h"
#include "io_thread.h"
#include "port_wait.h"

#include <magnolia/config.h>

#include <boost/asio/ip/address.hpp>
#include <cxxopts.hpp>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <future>
#include <iostream>
#include <random>
#include <thread>

namespace magnolia {
namespace {

constexpr std::size_t max_health_connections = 32;
/// Time between two attempts to read settings that are not valid yet.
constexpr std::chrono::milliseconds settings_poll_interval{20};
constexpr double max_settings_wait_s = 3600;

/// Random number that identifies this run of the process.
std::uint64_t make_boot_number() {
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

cxxopts::Options common_options(const program_info& info) {
    cxxopts::Options options{info.name, info.summary};
    auto add = options.add_options();
    add("settings", "YAML file with the settings", cxxopts::value<std::string>(), "FILE");
    add("settings-wait",
        "longest time to wait at the start until the settings are valid, in seconds",
        cxxopts::value<double>()->default_value("0"), "S");
    add("check-settings", "check the settings file, report all errors, and exit");
    add("print-settings", "print the settings including defaults, and exit");
    add("version", "print the version and exit");
    add("help", "print this help and exit");
    return options;
}

constexpr std::string_view exit_code_help = R"(
Exit codes: 0 planned stop, 1 error, 2 invalid command line, 3 invalid settings.
SIGTERM and SIGINT start the planned stop; further ones have no effect. SIGHUP
reloads the settings where the program supports it. SIGKILL ends the process
immediately.
)";

command_line usage_error(const program_info& info, const std::string& problem) {
    std::cerr << info.name << ": " << problem << "; see --help\n";
    return {.code = exit_code::usage};
}

command_line::action parse_action(const cxxopts::ParseResult& parsed) {
    if (parsed.count("check-settings") > 0) {
        return command_line::action::check_settings;
    }
    return parsed.count("print-settings") > 0 ? command_line::action::print_settings
                                              : command_line::action::run;
}

} // namespace

/// Implementation of process. Signals, health requests and the start of a planned stop are handled
/// on one I/O thread.
class process::state {
public:
    explicit state(const process_settings& from) : settings{from} { io_thread_.start(); }

    ~state() {
        events.emit(event_kind::process_stopped);
        sender_.reset();
        io_thread_.stop();
        health_server_.reset();
    }

    state(const state&) = delete;
    state& operator=(const state&) = delete;

    result<void> open() {
        boost::system::error_code bad_address;
        boost::asio::ip::make_address(settings.timeline.address, bad_address);
        if (bad_address) {
            return fail(error_code::bad_settings, "process.timeline.address is " +
                                                      settings.timeline.address +
                                                      "; allowed: an IP address");
        }
        if (settings.timeline.port != 0) {
            sender_.emplace(events, settings.timeline, metrics);
        }
        if (settings.metrics.port != 0) {
            return open_health_server();
        }
        return {};
    }

    void set_ready(bool is_ready) {
        is_ready_.store(is_ready);
        if (is_ready && !was_ready_.exchange(true)) {
            events.emit(event_kind::process_started);
            logger_.info("Ready.");
        }
    }

    void on_stop(std::function<void()> handler) {
        const std::scoped_lock lock{mutex_};
        on_stop_ = std::move(handler);
        if (on_stop_ && is_stopping()) {
            on_stop_();
        }
    }

    void request_stop() {
        boost::asio::post(io_thread_.context(), [this] { begin_stop(); });
    }

    void on_reload(std::function<void()> handler) {
        const std::scoped_lock lock{mutex_};
        on_reload_ = std::move(handler);
        if (on_reload_ && std::exchange(is_reload_pending_, false)) {
            on_reload_();
        }
    }

    void handle_signals() {
        boost::asio::post(io_thread_.context(), [this] {
            signals_.emplace(io_thread_.context(),
                             [this](received_signals received) { on_signals(received); });
        });
    }

    bool is_stopping() const { return is_stopping_.load(); }

    void wait_for_stop() {
        std::unique_lock lock{mutex_};
        stop_began_.wait(lock, [this] { return is_stopping(); });
    }

    process_settings settings;
    std::uint64_t boot = make_boot_number();
    metrics_registry metrics;
    event_log events{settings.name, settings.zone, boot, config::max_queued_events};

private:
    /// Opens the listener once its port is free. Has no effect if a stop began meanwhile.
    result<void> open_health_server() {
        const auto opened = open_when_free(
            logger_, [this] { return try_open_health_server(); },
            [this](std::chrono::milliseconds delay) {
                std::unique_lock lock{mutex_};
                return !stop_began_.wait_for(lock, delay, [this] { return is_stopping(); });
            });
        return is_stopping() ? result<void>{} : opened;
    }

    /// Opens the listener on the I/O thread and waits for the result.
    result<void> try_open_health_server() {
        std::promise<result<void>> opened;
        boost::asio::post(io_thread_.context(), [this, &opened] {
            http_server_limits limits;
            limits.max_body_bytes = 0;
            limits.max_connections = max_health_connections;
            health_server_.emplace(
                io_thread_.context(), limits,
                [this](const http_request& request, const http_responder& responder) {
                    responder.send(health_response(target_path(request.target)));
                });
            opened.set_value(health_server_->listen(settings.metrics));
        });
        return opened.get_future().get();
    }

    /// Response of the health listener for a path.
    http_response health_response(std::string_view path) const {
        const auto text = [](unsigned status, std::string body) {
            return http_response{
                status, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(body)};
        };
        if (path == "/metrics") {
            return text(200, metrics.text());
        }
        if (path == "/healthz") {
            return text(200, "ok\n");
        }
        if (path == "/readyz") {
            return is_ready_.load() ? text(200, "ready\n") : text(503, "not ready\n");
        }
        return error_response(
            {error_code::not_found, "unknown path; available: /metrics, /healthz, /readyz"});
    }

    void on_signals(received_signals received) {
        if (received.reload) {
            reload();
        }
        if (!received.stop) {
            return;
        }
        if (is_stopping()) {
            return logger_.info("Received another signal to stop; the planned stop goes on.");
        }
        logger_.info("Received a signal to stop; starting the planned stop.");
        begin_stop();
    }

    void reload() {
        logger_.info(std::string{"Received SIGHUP"} +
                     (is_stopping() ? " during the planned stop." : "."));
        const std::scoped_lock lock{mutex_};
        is_reload_pending_ = !on_reload_;
        if (on_reload_) {
            on_reload_();
        }
    }

    /// Starts the planned stop on its first call; later calls have no effect.
    void begin_stop() {
        {
            const std::scoped_lock lock{mutex_};
            if (is_stopping_.exchange(true)) {
                return;
            }
            is_ready_.store(false);
            events.emit(event_kind::process_stopping);
            if (on_stop_) {
                on_stop_();
            }
        }
        stop_began_.notify_all();
    }

    logger logger_{"process"};
    io_thread io_thread_{"process"};
    std::optional<signal_watcher> signals_;
    std::optional<event_sender> sender_;
    std::optional<http_server> health_server_;
    /// Held while a handler is called, so that it can be withdrawn together with what it refers to.
    std::mutex mutex_;
    std::condition_variable stop_began_;
    std::function<void()> on_stop_;
    std::function<void()> on_reload_;
    bool is_reload_pending_ = false;
    std::atomic<bool> is_ready_{false};
    std::atomic<bool> was_ready_{false};
    std::atomic<bool> is_stopping_{false};
};

process::process(const process_settings& settings, std::filesystem::path settings_file)
    : state_{std::make_unique<state>(settings)}, settings_file_{std::move(settings_file)} {}

process::~process() = default;

const process_settings& process::settings() const {
    return state_->settings;
}

const std::filesystem::path& process::settings_file() const {
    return settings_file_;
}

metrics_registry& process::metrics() {
    return state_->metrics;
}

event_log& process::events() {
    return state_->events;
}

std::uint64_t process::boot() const {
    return state_->boot;
}

result<void> process::open() {
    return state_->open();
}

void process::set_ready(bool is_ready) {
    state_->set_ready(is_ready);
}

void process::on_stop(std::function<void()> handler) {
    state_->on_stop(std::move(handler));
}

void process::request_stop() {
    state_->request_stop();
}

void process::on_reload(std::function<void()> handler) {
    state_->on_reload(std::move(handler));
}

void process::handle_signals() {
    state_->handle_signals();
}

bool process::is_stopping() const {
    return state_->is_stopping();
}

void process::wait_for_stop() {
    state_->wait_for_stop();
}

void open_standard_descriptors() {
    constexpr std::array descriptors{STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO};
    // The lowest free number is used, so that each closed one is filled.
    const auto is_closed = [](int number) { return ::fcntl(number, F_GETFD) < 0; };
    while (std::ranges::any_of(descriptors, is_closed) && ::open("/dev/null", O_RDWR) >= 0) {
    }
}

command_line parse_command_line(int argc, const char* const* argv, const program_info& info) {
    auto options = common_options(info);
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << exit_code_help;
            return {};
        }
        if (parsed.count("version") > 0) {
            std::cout << info.name << ' ' << config::program_release << '\n';
            return {};
        }
        if (!parsed.unmatched().empty()) {
            return usage_error(info, "unknown argument " + parsed.unmatched().front());
        }
        if (parsed.count("settings") == 0) {
            return usage_error(info, "--settings FILE is required");
        }
        const auto wait_s = parsed["settings-wait"].as<double>();
        if (!(wait_s >= 0 && wait_s <= max_settings_wait_s)) {
            return usage_error(info, "--settings-wait is not between 0 and 3600 s");
        }
        return {.requested = parse_action(parsed),
                .settings_file = parsed["settings"].as<std::string>(),
                .settings_wait = std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::duration<double>{wait_s})};
    } catch (const cxxopts::exceptions::exception& problem) {
        return usage_error(info, problem.what());
    }
}

settings_wait::settings_wait(const program_info& info, std::chrono::milliseconds longest)
    : info_{info}, longest_{longest}, begun_at_{steady_now()} {}

bool settings_wait::wait_after(const error& failure) {
    if (is_stop_recorded() || steady_now() - begun_at_ >= longest_) {
        return false;
    }
    if (!std::exchange(is_reported_, true)) {
        print_failure(info_, failure);
        std::cerr << info_.name << ": waits up to " << longest_.count()
                  << " ms for valid settings\n";
    }
    std::this_thread::sleep_for(settings_poll_interval);
    return true;
}

void print_failure(const program_info& info, const error& failure) {
    std::cerr << info.name << ": " << to_string(failure.code) << '\n' << failure.subject;
    if (!failure.subject.ends_with('\n')) {
        std::cerr << '\n';
    }
}

void print_document(const nlohmann::json& document) {
    std::cout << print_yaml(document) << '\n';
}

exit_code run_process(const program_info& info, const process_settings& settings,
                      const std::filesystem::path& settings_file,
                      const std::function<result<void>(process&)>& body) {
    open_log(settings.name, parse_log_level(settings.log_level),
             settings.log_to_output ? log_target::standard_output : log_target::standard_error);
    const logger log{"process"};
    log.info(info.name + " " + std::string{config::program_release} + " is starting in zone " +
             settings.zone + ".");
    process running{settings, settings_file};
    running.handle_signals();
    const auto completed = running.open().and_then([&] { return body(running); });
    if (!completed) {
        log.error("Exiting because of an error: " + to_string(completed.error()) + ".");
        return exit_code::failed;
    }
    log.info("The planned stop is complete.");
    return exit_code::ok;
}

} // namespace magnolia
