#include "signals.h"

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace magnolia {
namespace {

enum signal_bit : unsigned { stop_bit = 1U, reload_bit = 2U };

// Read and written by the signal handler.
std::atomic<unsigned> recorded{0};
std::atomic<int> wake_descriptor{-1};
static_assert(std::atomic<unsigned>::is_always_lock_free && std::atomic<int>::is_always_lock_free);

constexpr std::array recorded_signals{SIGTERM, SIGINT, SIGHUP};
// Standard output may be a closed pipe, or a file of limited size.
constexpr std::array ignored_signals{SIGPIPE, SIGXFSZ};

extern "C" void record_signal(int number) {
    const int previous_errno = errno;
    recorded.fetch_or(number == SIGHUP ? reload_bit : stop_bit);
    if (const int descriptor = wake_descriptor.load(); descriptor >= 0) {
        const char wake = 0;
        // A full pipe has woken the reader already.
        [[maybe_unused]] const auto written = ::write(descriptor, &wake, 1);
    }
    errno = previous_errno;
}

struct pipe_ends {
    int read = -1;
    int write = -1;
};

/// The pipe that the handler writes to. Never closed: a handler may be about to write.
pipe_ends wake_pipe() {
    static const pipe_ends ends = [] {
        std::array<int, 2> opened{};
        if (::pipe2(opened.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
            throw std::system_error{errno, std::generic_category(), "pipe of the signal handler"};
        }
        return pipe_ends{opened[0], opened[1]};
    }();
    return ends;
}

} // namespace

void record_signals() {
    for (const int number : ignored_signals) {
        std::signal(number, SIG_IGN);
    }
    struct sigaction action {};
    action.sa_handler = record_signal;
    action.sa_flags = SA_RESTART;
    for (const int number : recorded_signals) {
        ::sigaction(number, &action, nullptr);
    }
}

void restore_signals() {
    for (const int number : recorded_signals) {
        std::signal(number, SIG_DFL);
    }
    for (const int number : ignored_signals) {
        std::signal(number, SIG_DFL);
    }
    if (take_signals().stop) {
        std::raise(SIGTERM);
    }
}

received_signals take_signals() {
    const auto taken = recorded.exchange(0);
    return {.stop = (taken & stop_bit) != 0, .reload = (taken & reload_bit) != 0};
}

bool is_stop_recorded() {
    return (recorded.load() & stop_bit) != 0;
}

signal_watcher::signal_watcher(boost::asio::io_context& context,
                               std::function<void(received_signals)> on_signals)
    : on_signals_{std::move(on_signals)}, wake_pipe_{context} {
    const auto [read_end, write_end] = wake_pipe();
    wake_pipe_.assign(read_end);
    wake_descriptor.store(write_end);
    wait();
    // Signals from before wrote nothing into the pipe.
    const char wake = 0;
    [[maybe_unused]] const auto written = ::write(write_end, &wake, 1);
}

signal_watcher::~signal_watcher() {
    wake_pipe_.release();
}

void signal_watcher::wait() {
    wake_pipe_.async_read_some(boost::asio::buffer(wake_bytes_),
                               [this](const boost::system::error_code& failure, std::size_t) {
                                   if (failure) {
                                       return;
                                   }
                                   if (const auto taken = take_signals();
                                       taken.stop || taken.reload) {
                                       on_signals_(taken);
                                   }
                                   wait();
                               });
}

} // namespace magnolia
