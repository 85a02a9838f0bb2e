/// A program that a test starts, signals and waits for. POSIX.
#pragma once

#include <magnolia/types.h>

#include <sys/types.h>

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace magnolia {

/// How a process ended: by its own exit code, or by a signal.
struct process_end {
    int exit_code = 0;
    /// 0 if the process was not ended by a signal.
    int signal = 0;

    friend bool operator==(const process_end&, const process_end&) = default;
};

std::ostream& operator<<(std::ostream& out, const process_end& end);

/// A child process. Its descriptors but the standard ones are closed, its output goes to a file.
/// Killed with the object.
class child_process {
public:
    /// @param output  file that gets standard output and standard error.
    child_process(const std::filesystem::path& program, const std::vector<std::string>& arguments,
                  const std::filesystem::path& output);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    [[nodiscard]] pid_t pid() const { return pid_; }
    /// Has no effect once the process was found to have ended.
    void send_signal(int number);
    /// Whether the process handles the signal by now; a program that has just started does not.
    [[nodiscard]] bool handles_signal(int number) const;
    /// How the process ended; empty while it runs.
    [[nodiscard]] std::optional<process_end> end();

private:
    pid_t pid_ = 0;
    std::optional<process_end> end_;
};

} // namespace magnolia
