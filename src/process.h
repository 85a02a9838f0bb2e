/// Common frame of all programs: command line, validated settings, log, metrics, events and planned
/// stop (graceful shutdown).
#pragma once

#include "event_log.h"
#include "log.h"
#include "metrics.h"
#include "settings.h"
#include "signals.h"

#include <chrono>
#include <functional>
#include <memory>

namespace magnolia {

/// Exit codes of every program.
enum class exit_code : std::uint8_t {
    /// Planned stop, or success of an option such as --check-settings.
    ok = 0,
    /// An error after the settings were read.
    failed = 1,
    /// Invalid command line.
    usage = 2,
    /// Invalid settings.
    settings = 3,
};

/// Name and description of a program, shown by --help and --version.
struct program_info {
    std::string name;
    /// One sentence on what the program does.
    std::string summary;
};

/// Services of a running program: settings, metrics, event log, health endpoints and the planned
/// stop. Owns a thread that handles signals and serves the health endpoints. Safe to use from any
/// thread.
///
/// A planned stop goes through whatever signals follow: none cuts it short or begins it again.
class process {
public:
    /// @param settings_file  file that the settings were read from.
    explicit process(const process_settings& settings, std::filesystem::path settings_file = {});
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    [[nodiscard]] const process_settings& settings() const;
    /// File that the settings were read from.
    [[nodiscard]] const std::filesystem::path& settings_file() const;
    [[nodiscard]] metrics_registry& metrics();
    [[nodiscard]] event_log& events();
    /// Random number that identifies this run of the process.
    [[nodiscard]] std::uint64_t boot() const;

    /// Opens the listener for /metrics, /healthz and /readyz and starts the event sender, each only
    /// if its port in the settings is not 0. Errors: bad_settings, connection.
    [[nodiscard]] result<void> open();

    /// Sets the state reported by /readyz. The first change to ready emits the event
    /// process_started.
    void set_ready(bool is_ready);
    /// Sets a function that is called once, on the thread of this object, when a planned stop
    /// begins; at once, by this call, if one has begun. It must not block or call this object. An
    /// empty one withdraws it: no call is in progress when this returns.
    void on_stop(std::function<void()> handler);
    /// Starts the planned stop, as SIGTERM does. Idempotent.
    void request_stop();
    /// As on_stop(), for each SIGHUP; at once if one has come before.
    void on_reload(std::function<void()> handler);
    /// Handles the signals of the program, also those that came before: SIGTERM and SIGINT start
    /// the planned stop. Called once, for one object of the program.
    void handle_signals();
    /// Whether a planned stop has begun.
    [[nodiscard]] bool is_stopping() const;
    /// Blocks until a planned stop begins.
    void wait_for_stop();

private:
    class state;
    std::unique_ptr<state> state_;
    std::filesystem::path settings_file_;
};

/// Opens /dev/null in place of standard descriptors that are closed: otherwise a socket would get
/// the number, and the output of the log with it.
void open_standard_descriptors();

/// Result of parsing the command line.
struct command_line {
    enum class action : std::uint8_t { run, check_settings, print_settings, exit };

    action requested = action::exit;
    std::filesystem::path settings_file{};
    /// Time for which a program waits at its start until the settings are valid.
    std::chrono::milliseconds settings_wait{0};
    /// Exit code for action::exit.
    exit_code code = exit_code::ok;
};

/// Parses the common options. Prints the help, the version or a usage error, and returns
/// action::exit in these cases.
[[nodiscard]] command_line parse_command_line(int argc, const char* const* argv,
                                              const program_info& info);

/// Prints the error code and the lines of the error's subject to stderr.
void print_failure(const program_info& info, const error& failure);
/// Prints the document to stdout as YAML.
void print_document(const nlohmann::json& document);

/// Waits at the start of a program for settings that are missing, incomplete or invalid, as a file
/// that is being written.
class settings_wait {
public:
    settings_wait(const program_info& info, std::chrono::milliseconds longest);

    /// Waits a moment before the next attempt to read the settings. Returns false if the time is
    /// over or the program was told to stop. Prints the first failure to stderr.
    [[nodiscard]] bool wait_after(const error& failure);

private:
    const program_info& info_;
    std::chrono::milliseconds longest_;
    time_point begun_at_;
    bool is_reported_ = false;
};

/// Loads the settings with which a program starts. Errors: bad_settings.
template <class Settings>
[[nodiscard]] result<Settings> load_first_settings(const command_line& command,
                                                   const program_info& info) {
    settings_wait wait{info, command.requested == command_line::action::run
                                 ? command.settings_wait
                                 : std::chrono::milliseconds{0}};
    auto settings = load_settings<Settings>(command.settings_file);
    while (!settings && wait.wait_after(settings.error())) {
        settings = load_settings<Settings>(command.settings_file);
    }
    return settings;
}

/// Opens the log and a process object, runs `body` and returns the exit code. An error of open() or
/// the body is logged.
[[nodiscard]] exit_code run_process(const program_info& info, const process_settings& settings,
                                    const std::filesystem::path& settings_file,
                                    const std::function<result<void>(process&)>& body);

/// Implements main() of a program. The body starts its I/O threads, calls set_ready(true) and
/// wait_for_stop(), completes the work in progress and returns.
/// @tparam Settings generated struct with a field `process`.
template <class Settings>
[[nodiscard]] int run_program(int argc, const char* const* argv, const program_info& info,
                              const std::function<result<void>(process&, const Settings&)>& body) {
    record_signals();
    open_standard_descriptors();
    const auto command = parse_command_line(argc, argv, info);
    if (command.requested != command_line::action::run) {
        restore_signals();
    }
    if (command.requested == command_line::action::exit) {
        return static_cast<int>(command.code);
    }
    const auto settings = load_first_settings<Settings>(command, info);
    if (is_stop_recorded()) {
        return static_cast<int>(exit_code::ok); // Told to stop before anything was opened.
    }
    if (!settings) {
        print_failure(info, settings.error());
        return static_cast<int>(exit_code::settings);
    }
    if (command.requested == command_line::action::check_settings) {
        return static_cast<int>(exit_code::ok);
    }
    if (command.requested == command_line::action::print_settings) {
        print_document(nlohmann::json(*settings));
        return static_cast<int>(exit_code::ok);
    }
    return static_cast<int>(
        run_process(info, settings->process, command.settings_file,
                    [&](process& running) { return body(running, *settings); }));
}

} // namespace magnolia
