#include "log.h"

#include <magnolia/config.h>

#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <memory>
#include <mutex>
#include <utility>

namespace magnolia {
namespace {

log4cplus::LogLevel to_log4cplus_level(log_level level) {
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

std::string line_pattern(std::string_view host) {
    std::string name{host};
    std::ranges::replace(name, '%', '_');
    return "%d{%Y-%m-%dT%H:%M:%S.%q}Z %-5p [%-10c] host=" + name + " %m%n";
}

/// Writes lines to standard output if that does not block; otherwise drops and counts them.
class nonblocking_stdout_appender final : public log4cplus::Appender {
public:
    ~nonblocking_stdout_appender() override { destructorImpl(); }
    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override {
        auto line = formatEvent(event);
        if (dropped_ > 0) {
            line.insert(line.size() - 1, " (" + std::to_string(dropped_) +
                                             " lines dropped before this one: output blocked)");
        }
        // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        const bool is_writable = ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        const bool is_written =
            is_writable &&
            ::write(STDOUT_FILENO, line.data(), std::min<std::size_t>(line.size(), PIPE_BUF)) > 0;
        dropped_ = is_written ? 0 : dropped_ + 1;
    }

private:
    std::uint64_t dropped_ = 0;
};

/// Rate limiter that all loggers of the process share.
struct shared_rate_limiter {
    std::mutex mutex;
    log_rate_limiter limiter{config::log_lines_per_second};
};

shared_rate_limiter& process_rate_limiter() {
    static shared_rate_limiter shared;
    return shared;
}

} // namespace

log_level parse_log_level(std::string_view name) {
    if (name == "debug") {
        return log_level::debug;
    }
    if (name == "warn") {
        return log_level::warn;
    }
    return name == "error" ? log_level::error : log_level::info;
}

void open_log(std::string_view host, log_level min_level, log_target target) {
    static log4cplus::Initializer initializer;
    constexpr bool to_stderr = true;
    constexpr bool flush_each_line = true;
    log4cplus::SharedAppenderPtr appender{
        target == log_target::standard_output
            ? static_cast<log4cplus::Appender*>(new nonblocking_stdout_appender)
            : new log4cplus::ConsoleAppender{to_stderr, flush_each_line}};
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(line_pattern(host)));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(to_log4cplus_level(min_level));
}

bool log_rate_limiter::try_acquire(time_point now) {
    if (now - window_start_ >= std::chrono::seconds{1}) {
        window_start_ = now;
        used_ = 0;
    }
    if (used_ >= capacity_) {
        ++dropped_;
        return false;
    }
    ++used_;
    return true;
}

std::uint64_t log_rate_limiter::take_dropped() {
    return std::exchange(dropped_, 0);
}

std::string join(std::span<const std::string> texts) {
    std::string list;
    for (const auto& text : texts) {
        list += (list.empty() ? "" : ",") + text;
    }
    return list;
}

std::string sanitize_message(std::string_view message) {
    std::string line{message.substr(0, config::max_log_message_bytes)};
    std::ranges::replace_if(
        line, [](unsigned char character) { return character < 0x20 || character == 0x7F; }, ' ');
    if (line.size() < message.size()) {
        line += "…";
    }
    return line;
}

void logger::write(log_level level, std::string_view request, std::string_view message) const {
    const auto target = log4cplus::Logger::getInstance(component_);
    if (!target.isEnabledFor(to_log4cplus_level(level))) {
        return;
    }
    std::uint64_t dropped = 0;
    {
        auto& shared = process_rate_limiter();
        const std::scoped_lock lock{shared.mutex};
        if (!shared.limiter.try_acquire(steady_now())) {
            return;
        }
        dropped = shared.limiter.take_dropped();
    }
    auto line = "req=" + std::string{request} + " " + sanitize_message(message);
    if (dropped > 0) {
        line += " (" + std::to_string(dropped) + " lines dropped before this one: rate limit)";
    }
    target.log(to_log4cplus_level(level), line);
}

} // namespace magnolia
