/// Frame of every program: command line, checked settings, logs, metrics, events, planned stop.
#pragma once

#include "event_log.h"
#include "log.h"
#include "metrics.h"
#include "settings.h"

#include <functional>
#include <memory>

namespace magnolia {

/// Exit codes of every program.
enum class exit_code : std::uint8_t {
    /// Planned stop, or a check or print that was asked for.
    ok = 0,
    /// Ended by a failure after the settings were read.
    failed = 1,
    /// The command line is wrong.
    usage = 2,
    /// The settings are wrong.
    settings = 3,
    /// A second SIGTERM or SIGINT cut the planned stop short.
    forced = 4,
};

/// What --help and --version show.
struct program_info {
    std::string name;
    /// One sentence.
    std::string summary;
};

/// What a running program has in common with all others. Safe from any thread.
class process {
public:
    /// @param settings_file  file that the settings came from.
    explicit process(const process_settings& settings, std::filesystem::path settings_file = {});
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    [[nodiscard]] const process_settings& settings() const;
    /// File that the settings came from.
    [[nodiscard]] const std::filesystem::path& settings_file() const;
    [[nodiscard]] metrics_registry& metrics();
    [[nodiscard]] event_log& events();
    /// Random number of this start.
    [[nodiscard]] std::uint64_t boot() const;

    /// Opens the listener of /metrics, /healthz and /readyz, and the sender of events, as far as
    /// the settings turn them on. Errors: connection.
    [[nodiscard]] result<void> open();

    /// Sets what /readyz answers; the first time is also the event process_started.
    void set_ready(bool is_ready);
    /// Sets a function that is called once, on the process's own thread, when a planned stop
    /// begins.
    void on_stop(std::function<void()> begin);
    /// Begins the planned stop, as SIGTERM does. Idempotent.
    void request_stop();
    [[nodiscard]] bool is_stopping() const;
    /// Blocks until a planned stop begins.
    void wait_for_stop();

private:
    class state;
    std::unique_ptr<state> state_;
    std::filesystem::path settings_file_;
};

/// What the command line asked for.
struct command_line {
    enum class action : std::uint8_t { run, check_settings, print_settings, exit };

    action requested = action::exit;
    std::filesystem::path settings_file{};
    /// Exit code, if the action is exit.
    exit_code code = exit_code::ok;
};

/// Reads the common options. Prints help, the version or the fault itself.
[[nodiscard]] command_line parse_command_line(int argc, const char* const* argv,
                                              const program_info& info);

/// Prints the failure to stderr, a line for each error in its subject.
void print_failure(const program_info& info, const error& failure);
/// Prints the document as YAML to stdout.
void print_document(const nlohmann::json& document);

/// Runs a body between open() and the end of the process. Errors of the body end up in the log.
[[nodiscard]] exit_code run_process(const program_info& info, const process_settings& settings,
                                    const std::filesystem::path& settings_file,
                                    const std::function<result<void>(process&)>& body);

/// Whole main() of a program. The body starts the duties, calls set_ready(true) and
/// wait_for_stop(), finishes what is under way, and returns.
/// @param Settings  generated structure with a field `process`.
template <class Settings>
[[nodiscard]] int run_program(int argc, const char* const* argv, const program_info& info,
                              const std::function<result<void>(process&, const Settings&)>& body) {
    const auto command = parse_command_line(argc, argv, info);
    if (command.requested == command_line::action::exit) {
        return static_cast<int>(command.code);
    }
    const auto settings = load_settings<Settings>(command.settings_file);
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
