#include "child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <ostream>
#include <system_error>

namespace magnolia {

std::ostream& operator<<(std::ostream& out, const process_end& end) {
    return end.signal != 0 ? out << "signal " << end.signal : out << "exit code " << end.exit_code;
}

child_process::child_process(const std::filesystem::path& program,
                             const std::vector<std::string>& arguments,
                             const std::filesystem::path& output) {
    std::vector<std::string> texts{program.string()};
    texts.insert(texts.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(texts.size() + 1);
    for (auto& text : texts) {
        argv.push_back(text.data());
    }
    argv.push_back(nullptr);
    constexpr mode_t owner_only = 0600;
    posix_spawn_file_actions_t files{};
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, owner_only);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    const int failure =
        ::posix_spawn(&pid_, texts.front().c_str(), &files, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (failure != 0) {
        throw std::system_error{failure, std::generic_category(), program.string()};
    }
}

child_process::~child_process() {
    if (!end()) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
}

void child_process::send_signal(int number) {
    if (!end()) {
        ::kill(pid_, number);
    }
}

bool child_process::handles_signal(int number) const {
    std::ifstream status{"/proc/" + std::to_string(pid_) + "/status"};
    std::string field;
    while (status >> field && field != "SigCgt:") {
    }
    // Bit 0 stands for signal 1.
    std::uint64_t handled = 0;
    status >> std::hex >> handled;
    return ((handled >> static_cast<unsigned>(number - 1)) & 1U) != 0;
}

std::optional<process_end> child_process::end() {
    int status = 0;
    if (!end_ && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        end_ = WIFSIGNALED(status) ? process_end{.signal = WTERMSIG(status)}
                                   : process_end{.exit_code = WEXITSTATUS(status)};
    }
    return end_;
}

} // namespace magnolia
