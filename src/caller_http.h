/// Callers' side of an entry: HTTP requests in, whole answers or server-sent events out.
/// docs/operators/caller-api.md states paths, headers and bodies.
#pragma once

#include "caller_port.h"
#include "http_server.h"

#include <functional>
#include <memory>

namespace magnolia {

/// Hands a caller's event to the decisions. Errors: ring_full.
using caller_sink = std::function<result<void>(caller_event)>;

/// Listener towards callers. All members are called on the context's thread, or before it runs.
class caller_http {
public:
    caller_http(boost::asio::io_context& context, http_server_limits limits, caller_sink sink);
    ~caller_http();

    /// Opens the listener. Errors: connection.
    [[nodiscard]] result<void> listen(const endpoint& where);
    /// Port of the listener.
    [[nodiscard]] std::uint16_t port() const;
    /// Tells a caller what the decisions say; unknown callers are ignored.
    void deliver(const caller_command& command);
    /// Closes the listener; calls under way go on.
    void stop_accepting();
    /// Calls under way.
    [[nodiscard]] std::size_t open_calls() const;

private:
    class state;
    std::shared_ptr<state> state_;
};

/// Creation of an idempotency key in ms since 1970: from a UUID of version 7, else from
/// `time_header`. Errors: key_without_time.
[[nodiscard]] result<idempotency_key> read_idempotency_key(std::string_view key,
                                                           std::string_view time_header);

} // namespace magnolia
