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

} // namespace

void record_signals() {
    // SIGXFSZ: standard output may be a file of limited size.
    for (const int ignored : {SIGPIPE, SIGXFSZ}) {
        std::signal(ignored, SIG_IGN);
    }
    struct sigaction action {};
    action.sa_handler = record_signal;
    action.sa_flags = SA_RESTART;
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        ::sigaction(number, &action, nullptr);
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
    std::array<int, 2> pipe_ends{};
    if (::pipe2(pipe_ends.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
        throw std::system_error{errno, std::generic_category(), "pipe of the signal handler"};
    }
    wake_pipe_.assign(pipe_ends[0]);
    write_end_ = pipe_ends[1];
    wake_descriptor.store(write_end_);
    wait();
    // Signals from before wrote nothing into the pipe.
    const char wake = 0;
    [[maybe_unused]] const auto written = ::write(write_end_, &wake, 1);
}

signal_watcher::~signal_watcher() {
    wake_descriptor.store(-1);
    ::close(write_end_);
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
