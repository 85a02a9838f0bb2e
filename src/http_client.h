/// HTTP/1.1 client with keep-alive connection pools: complete and streamed responses, timeouts, and
/// a reliable report of whether any byte of a request was sent. Boost.Beast is used in the source
/// file only.
#pragma once

#include "http_types.h"

#include <magnolia/config.h>
#include <magnolia/error.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace magnolia {

/// Identifies a call, for cancel(), pause() and resume().
struct http_call_id {
    std::uint64_t value = 0;

    auto operator<=>(const http_call_id&) const = default;
};

/// Timeouts and limits of one call.
struct http_call_limits {
    std::chrono::milliseconds connect_timeout{2000};
    /// Maximum time of each write of a part of the request, of the wait for the first bytes of the
    /// response (which starts together with the first write), and between two reads of the
    /// response.
    std::chrono::milliseconds inactivity_timeout{10000};
    /// Maximum duration of the call, from its start to the end of the response; zero for no limit.
    std::chrono::milliseconds total_timeout{0};
    /// Maximum size of the response body, in bytes.
    std::size_t max_body_bytes = config::max_body_bytes;
    /// Header field that the peer repeats in its response. A response with a different value
    /// belongs to another call and is skipped. An empty name disables the check.
    http_header correlation_header{};
    /// Whether the call may use a pooled connection.
    bool may_reuse_connection = true;
    /// Asked once there is a connection, right before the first byte is written; the call fails as
    /// withdrawn if it returns false. None to write always.
    std::function<bool()> may_write{};
    /// How long the rest of the request is still written after the peer has closed its side of the
    /// connection, if only the close ends the response. The response is incomplete if a write fails
    /// by then.
    std::chrono::milliseconds early_close_timeout{1000};
};

/// Why a call ended without a complete response.
struct http_failure {
    /// connection: the connection could not be opened, broke or timed out; too_large: the header or
    /// body exceeds its limit; bad_request: the response is not valid HTTP; caller_gone: the call
    /// was cancelled or withdrawn.
    error failure;
    /// Whether at least one byte of the request was passed to the operating system. If not, the
    /// peer cannot have executed the request.
    bool is_request_written = false;
    /// Whether part of the response was received.
    bool is_response_started = false;
    /// Whether one of the call's timeouts expired.
    bool is_timeout = false;
    /// Whether the peer refused the connection: nothing listens at its address.
    bool is_refused = false;
    /// Whether the caller withdrew the request: may_write returned false.
    bool is_withdrawn = false;
};

/// Called once, with the complete response or the failure.
using http_response_handler = std::function<void(tl::expected<http_response, http_failure>)>;

/// Callbacks for a streamed response.
struct http_stream_handlers {
    /// Called at most once, before on_body; not called if the call fails before the header arrives.
    std::function<void(const http_response_head& head)> on_header;
    /// Called with the next bytes of the body.
    std::function<void(std::string_view text)> on_body;
    /// Called once, as the last callback; `failure` is null if the response is complete. A response
    /// that only the close of its connection ends is complete if the connection has had no error in
    /// either direction.
    std::function<void(const http_failure* failure)> on_end;
};

/// HTTP client with a pool of idle connections per peer. Not thread-safe: members are called, and
/// callbacks are made, on the context's thread. Callbacks are never made from inside call(),
/// stream() or cancel(). The destructor cancels all calls without calling back.
class http_client {
public:
    /// @param max_idle  maximum number of idle connections per peer.
    explicit http_client(boost::asio::io_context& context, std::size_t max_idle = 16);
    ~http_client();

    /// Sends a request; `done` receives the complete response.
    http_call_id call(const endpoint& peer, http_request request, const http_call_limits& limits,
                      http_response_handler done);
    /// Sends a request; the handlers receive the response as it arrives.
    http_call_id stream(const endpoint& peer, http_request request, const http_call_limits& limits,
                        http_stream_handlers handlers);
    /// Opens a connection and closes it without sending anything.
    /// @param done  called once; the failure is null if the peer accepted the connection.
    void check_connection(const endpoint& peer, std::chrono::milliseconds timeout,
                          std::function<void(const http_failure* failure)> done);
    /// Ends a call with caller_gone and closes its connection. No effect on a call that has ended.
    void cancel(http_call_id id);
    /// Stops reading a stream until resume(), so that TCP flow control slows down the peer.
    void pause(http_call_id id);
    /// Continues to read a paused stream.
    void resume(http_call_id id);
    /// Number of calls in progress.
    [[nodiscard]] std::size_t active_calls() const;

private:
    friend class http_exchange;
    class state;
    std::shared_ptr<state> state_;
};

} // namespace magnolia
