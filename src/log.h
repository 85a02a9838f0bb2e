/// Log lines of the form `time level [component] host=… req=… message`.
#pragma once

#include <magnolia/types.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace magnolia {

/// Severity of a log line.
enum class log_level : std::uint8_t { debug, info, warn, error };

/// Level with the given name in the settings; info if the name is unknown.
[[nodiscard]] log_level parse_log_level(std::string_view name);

/// Destination of log lines.
enum class log_target : std::uint8_t {
    /// For programs whose standard output carries results for people or scripts.
    standard_error,
    /// For servers whose log is collected by a platform. Writing never blocks: lines are dropped
    /// and counted while the pipe is full.
    standard_output,
};

/// Configures the log of this process. Call it once, before the first line is written.
/// @param host       name of the process, written in every line.
/// @param min_level  lines below this level are discarded.
void open_log(std::string_view host, log_level min_level,
              log_target target = log_target::standard_error);

/// Limits the rate of log lines with a fixed window of one second, and counts the lines over the
/// limit. Not thread-safe.
class log_rate_limiter {
public:
    /// @param lines_per_second  maximum number of lines per window, and so the largest burst in it.
    explicit log_rate_limiter(std::uint32_t lines_per_second) : capacity_{lines_per_second} {}

    /// Returns true and counts the line against the window if it may be written at `now`.
    [[nodiscard]] bool try_acquire(time_point now);
    /// Returns the number of lines refused since the last call and resets it.
    [[nodiscard]] std::uint64_t take_dropped();

private:
    std::uint32_t capacity_;
    std::uint32_t used_ = 0;
    time_point window_start_{};
    std::uint64_t dropped_ = 0;
};

/// The texts, separated by commas.
[[nodiscard]] std::string join(std::span<const std::string> texts);

/// Message as it is written to the log: control characters are replaced by spaces, and a message
/// longer than config::max_log_message_bytes is cut off and marked with an ellipsis.
[[nodiscard]] std::string sanitize_message(std::string_view message);

/// Writes the log lines of one component. All loggers of a process share one rate limit. Cheap to
/// copy; safe to use from any thread.
class logger {
public:
    /// @param component  name written in every line; names of up to 10 characters are aligned.
    explicit logger(std::string component) : component_{std::move(component)} {}

    void debug(std::string_view message) const { write(log_level::debug, "-", message); }
    void info(std::string_view message) const { write(log_level::info, "-", message); }
    void warn(std::string_view message) const { write(log_level::warn, "-", message); }
    void error(std::string_view message) const { write(log_level::error, "-", message); }

    /// Lines about a request, with its id.
    void debug(const request_id& id, std::string_view message) const {
        write(log_level::debug, to_string(id), message);
    }
    void info(const request_id& id, std::string_view message) const {
        write(log_level::info, to_string(id), message);
    }
    void warn(const request_id& id, std::string_view message) const {
        write(log_level::warn, to_string(id), message);
    }
    void error(const request_id& id, std::string_view message) const {
        write(log_level::error, to_string(id), message);
    }

    /// Lines about a request that is identified by an id of its caller.
    void info(std::string_view request, std::string_view message) const {
        write(log_level::info, request, message);
    }
    void warn(std::string_view request, std::string_view message) const {
        write(log_level::warn, request, message);
    }

private:
    void write(log_level level, std::string_view request, std::string_view message) const;

    std::string component_;
};

} // namespace magnolia
