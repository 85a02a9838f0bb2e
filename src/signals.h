/// Signals of a program, recorded from its first line to its end: none ends the process, and none
/// is forgotten. Asio's signal_set would leave the default action in force before and after it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>

#include <array>
#include <functional>

namespace magnolia {

/// Signals that arrived, each any number of times.
struct received_signals {
    /// SIGTERM or SIGINT.
    bool stop = false;
    /// SIGHUP.
    bool reload = false;
};

/// Records SIGTERM, SIGINT and SIGHUP from now on, and ignores the signals of failed writes.
/// Idempotent. The first statement of a program; may run before main().
void record_signals();

/// Restores the default actions; a signal to stop that was recorded takes effect now. For a program
/// that handles no signals after all.
void restore_signals();

/// The signals since the last call, which are forgotten. Safe to call from any thread.
[[nodiscard]] received_signals take_signals();

/// Whether a signal to stop was recorded and not taken.
[[nodiscard]] bool is_stop_recorded();

/// Calls a function on the thread of an I/O context whenever signals were recorded: also those from
/// before it was constructed. At most one object exists at a time.
class signal_watcher {
public:
    signal_watcher(boost::asio::io_context& context,
                   std::function<void(received_signals)> on_signals);
    ~signal_watcher();
    signal_watcher(const signal_watcher&) = delete;
    signal_watcher& operator=(const signal_watcher&) = delete;

private:
    void wait();

    std::function<void(received_signals)> on_signals_;
    boost::asio::posix::stream_descriptor wake_pipe_;
    std::array<char, 16> wake_bytes_{};
};

} // namespace magnolia
