/// HTTP/1.1 client with kept connections: whole responses and streams, timeouts, and exact
/// knowledge of whether a request can have reached the peer. Boost.Beast stays inside the source
/// file.
#pragma once

#include "http_types.h"

#include <magnolia/config.h>
#include <magnolia/error.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace magnolia {

/// Number of a call; cancels it.
struct http_call_id {
    std::uint64_t value = 0;

    auto operator<=>(const http_call_id&) const = default;
};

/// Bounds of one call.
struct http_call_limits {
    std::chrono::milliseconds connect_timeout{2000};
    /// Longest silence: until the request is written, until the header, between two chunks.
    std::chrono::milliseconds inactivity_timeout{10000};
    /// Longest time of the whole call; zero for none.
    std::chrono::milliseconds total_timeout{0};
    /// Longest body of the response, bytes.
    std::size_t max_body_bytes = config::max_body_bytes;
    /// Header field that the peer repeats in its response; a response in which it differs belongs
    /// to another call and is passed over. No check if the name is empty.
    http_header correlation_header{};
    /// Whether a connection of the pool may be used.
    bool may_reuse_connection = true;
};

/// Why a call ended without its whole response.
struct http_failure {
    /// connection: could not be opened, broke or timed out; too_large: body over its bound;
    /// bad_request: the peer does not speak HTTP; caller_gone: cancelled.
    error failure;
    /// Whether at least one byte of the request was handed to the system. If not, the peer cannot
    /// have run anything.
    bool is_request_written = false;
    /// Whether the peer's response had begun.
    bool is_response_started = false;
    /// Whether a timeout of the call's limits ended it.
    bool is_timeout = false;
};

/// Called once with the whole response or the failure.
using http_response_handler = std::function<void(tl::expected<http_response, http_failure>)>;

/// Receiver of a streamed response.
struct http_stream_handlers {
    /// Status and header fields; may be absent if the call fails before.
    std::function<void(unsigned status, const http_headers& headers)> on_header;
    /// Next bytes of the body.
    std::function<void(std::string_view text)> on_body;
    /// Called once, last; null if the body is whole.
    std::function<void(const http_failure* failure)> on_end;
};

/// Client with a pool of kept connections per peer. All members are called on the context's thread;
/// callbacks come on it and never from inside call(), stream() or cancel().
class http_client {
public:
    /// @param max_idle  kept connections per peer.
    explicit http_client(boost::asio::io_context& context, std::size_t max_idle = 16);
    ~http_client();

    http_call_id call(const endpoint& peer, http_request request, const http_call_limits& limits,
                      http_response_handler done);
    http_call_id stream(const endpoint& peer, http_request request, const http_call_limits& limits,
                        http_stream_handlers handlers);
    /// Ends a call with caller_gone and closes its connection; does nothing if it has ended.
    void cancel(http_call_id id);
    /// Stops reading a stream until resume(); the peer is slowed down by its full buffers.
    void pause(http_call_id id);
    void resume(http_call_id id);
    /// Calls under way.
    [[nodiscard]] std::size_t active_calls() const;

private:
    friend class http_exchange;
    class state;
    std::shared_ptr<state> state_;
};

} // namespace magnolia
