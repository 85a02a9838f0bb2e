/// HTTP interface of an entry towards callers: parses requests and sends complete answers or
/// server-sent events. docs/operators/caller-api.md specifies paths, headers and bodies.
#pragma once

#include "caller_port.h"
#include "http_server.h"

#include <functional>
#include <memory>

namespace magnolia {

/// Passes a caller event to the decision thread. Errors: ring_full.
using caller_sink = std::function<result<void>(caller_event)>;

/// HTTP listener for callers. Owned by entry_server. All members are called on the thread of the
/// I/O context, or before it runs.
class caller_http {
public:
    caller_http(boost::asio::io_context& context, http_server_limits limits, caller_sink sink);
    ~caller_http();

    /// Opens the listener. Errors: connection.
    [[nodiscard]] result<void> listen(const endpoint& address);
    /// Port of the listener.
    [[nodiscard]] std::uint16_t port() const;
    /// Sends a command to its caller; commands for callers that have left are ignored.
    void deliver(const caller_command& command);
    /// Closes the listener; calls in progress continue.
    void stop_accepting();
    /// Number of calls in progress.
    [[nodiscard]] std::size_t open_calls() const;

private:
    class state;
    std::shared_ptr<state> state_;
};

/// Parses an idempotency key. Its creation time, in ms since 1970, is read from a UUID of version
/// 7, else from `time_header`. Errors: key_without_time.
[[nodiscard]] result<idempotency_key> read_idempotency_key(std::string_view key,
                                                           std::string_view time_header);

} // namespace magnolia
