/// Log lines: `time level [component      ] host=… req=… message`.
#pragma once

#include <magnolia/types.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace magnolia {

/// Weight of a log line.
enum class log_level : std::uint8_t { debug, info, warn, error };

/// Level by its name in the settings; info for an unknown name.
[[nodiscard]] log_level parse_log_level(std::string_view name);

/// Where log lines go.
enum class log_target : std::uint8_t {
    /// For programs whose standard output is read by people or scripts.
    standard_error,
    /// For servers whose log a platform collects. Lines that a full pipe does not take are dropped
    /// and counted; writing never blocks.
    standard_output,
};

/// Opens the log of this process; call once, before the first line.
/// @param host   name of the process, which stands in every line.
/// @param min_level  lines below this level are not written.
void open_log(std::string_view host, log_level min_level,
              log_target target = log_target::standard_error);

/// Limits lines to a rate and counts the ones it refuses.
class log_rate_limiter {
public:
    /// @param lines_per_second  also the burst.
    explicit log_rate_limiter(std::uint32_t lines_per_second) : capacity_{lines_per_second} {}

    /// Whether a line may be written at `now`.
    [[nodiscard]] bool try_acquire(time_point now);
    /// Lines refused since the last call.
    [[nodiscard]] std::uint64_t take_dropped();

private:
    std::uint32_t capacity_;
    std::uint32_t used_ = 0;
    time_point window_start_{};
    std::uint64_t dropped_ = 0;
};

/// Sentence as it stands in a line: control characters replaced, cut to
/// config::max_log_message_bytes.
[[nodiscard]] std::string sanitize_message(std::string_view message);

/// Writes the lines of one component of a program. Cheap to copy; safe from any thread.
class logger {
public:
    /// @param component  fixed prefix; at most 10 characters line up.
    explicit logger(std::string component) : component_{std::move(component)} {}

    void debug(std::string_view message) const { write(log_level::debug, "-", message); }
    void info(std::string_view message) const { write(log_level::info, "-", message); }
    void warn(std::string_view message) const { write(log_level::warn, "-", message); }
    void error(std::string_view message) const { write(log_level::error, "-", message); }

    /// Lines about one request.
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

    /// Lines about a request that its caller has named.
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
