/// HTTP/1.1 server that delivers complete requests and sends complete or streamed responses.
/// Boost.Beast is used in the source files only.
#pragma once

#include "http_types.h"

#include <magnolia/config.h>
#include <magnolia/error.h>

#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <functional>
#include <memory>

namespace magnolia {

class http_session;
void intrusive_ptr_add_ref(const http_session* session) noexcept;
void intrusive_ptr_release(const http_session* session) noexcept;

/// Timeouts and limits of a server.
struct http_server_limits {
    /// Maximum size of a request header, in bytes; a larger one, or one of 64 KB, is refused with
    /// header_too_large.
    std::uint32_t max_header_bytes = 32U << 10U;
    /// Maximum size of a request body, in bytes; a larger one is refused with too_large.
    std::size_t max_body_bytes = config::max_body_bytes;
    /// Maximum total size of the bodies of all requests in progress, in bytes; a request that would
    /// exceed it is refused with overloaded.
    std::size_t max_total_body_bytes = std::size_t{256} << 20U;
    /// Maximum number of connections; further ones are closed right after they are accepted.
    std::size_t max_connections = 10000;
    /// Maximum time from the first byte of a request to the end of its header; a slower request is
    /// refused with slow_body.
    std::chrono::milliseconds header_timeout{15000};
    /// Maximum time from the end of the header to the end of the body; a slower request is refused
    /// with slow_body.
    std::chrono::milliseconds body_timeout{15000};
    /// Maximum time that a connection waits for its next request before it is closed.
    std::chrono::milliseconds idle_timeout{60000};
    /// Maximum duration of one write; limits how long the peer may leave the response unread.
    std::chrono::milliseconds write_timeout{30000};
};

/// Why a connection closed before the response to a request on it was sent completely.
enum class cut_cause : std::uint8_t {
    /// The peer closed or reset it.
    peer_closed,
    write_failed,
    /// The peer left the response unread for the write timeout.
    write_timeout,
    /// http_responder::abort() was called, or an exception ended the connection.
    aborted,
    /// http_server::close_least_read() was called.
    memory,
    /// http_server::close() was called.
    server_closed,
    /// The server was destroyed.
    server_destroyed,
};

/// Name of the cause in metrics.
[[nodiscard]] std::string_view to_string(cut_cause cause);

/// A request that got no complete response.
struct unanswered_request {
    cut_cause cause = cut_cause::peer_closed;
    /// Set by http_responder::set_request_id(); empty if it was not.
    std::string id;
    /// Whether it was received to its end, or refused before.
    bool is_received = false;
    /// Whether a part of the response was passed to the operating system.
    bool is_response_started = false;
    /// Bytes of the response that the operating system has not accepted.
    std::size_t pending_bytes = 0;
    /// Time since the first byte of the request.
    duration age{0};
};

/// Sends the response to one request. The handler has to call either send() or start(), once.
/// Copies refer to the same request. Calls have no effect after the response has ended or the peer
/// has disconnected. Not thread-safe; used on the context's thread.
class http_responder {
public:
    http_responder(boost::intrusive_ptr<http_session> session, std::uint64_t exchange);

    /// Sends a complete response.
    void send(http_response response) const;
    /// Starts a streamed response: chunked, or ended by the close of the connection if the peer
    /// speaks HTTP/1.0.
    void start(unsigned status, const http_headers& headers) const;
    /// Appends a chunk to the stream.
    /// @param on_written  called once the operating system has accepted the chunk; not called if
    ///                    the connection breaks before.
    void write(std::string_view text, std::function<void()> on_written = {}) const;
    /// Ends the streamed response.
    void finish() const;
    /// Closes the connection after what was written, without the end of the response, so that the
    /// peer detects that it is incomplete.
    void abort() const;
    /// Sets the function that is called if the peer disconnects before the response has ended.
    void on_disconnect(std::function<void()> handler) const;
    /// Names the request in the report of an unanswered one.
    void set_request_id(std::string id) const;
    /// Whether the response has ended or the peer has disconnected.
    [[nodiscard]] bool is_closed() const;
    /// Number of response bytes that the operating system has not accepted yet. Producers use it
    /// for back-pressure.
    [[nodiscard]] std::size_t pending_bytes() const;

private:
    boost::intrusive_ptr<http_session> session_;
    std::uint64_t exchange_;
};

/// Called with each complete request, on the context's thread. If it throws, the request is
/// answered with `internal`; what has been written of an answer is aborted.
using http_handler = std::function<void(http_request request, http_responder responder)>;

/// Makes the response to a request that the server refuses by itself. Errors: bad_request,
/// header_too_large, too_large, slow_body, overloaded, stopping; internal if the request may have
/// been handled.
using http_error_formatter = std::function<http_response(const error& failure)>;

/// Makes a response with the HTTP status of the error and a JSON body with its type, subject and,
/// if it has one, retry delay.
[[nodiscard]] http_response error_response(const error& failure);

/// Owns a listener and its connections. Not thread-safe: members are called on the context's
/// thread, or before the context runs.
class http_server {
public:
    http_server(boost::asio::io_context& context, http_server_limits limits, http_handler handler,
                http_error_formatter error_formatter = error_response);
    ~http_server();

    /// Closes each new connection from an address for which the function returns false. Without a
    /// filter all are served.
    void set_peer_filter(std::function<bool(const std::string& address)> is_admitted);
    /// Sets the function that is told of each request whose connection closes before its response
    /// was sent completely.
    void on_unanswered(std::function<void(const unanswered_request&)> handler);
    /// Opens the listener; with port 0 the operating system chooses the port. Errors: connection,
    /// with a retry delay if another socket has the port.
    [[nodiscard]] result<void> listen(const endpoint& local);
    /// Port that the listener is bound to.
    [[nodiscard]] std::uint16_t port() const;
    /// Changes the limits. Those of memory and connections apply at once. Timeouts apply from their
    /// next start, size limits of header and body to requests that a connection starts to wait for
    /// after the call.
    void set_limits(const http_server_limits& limits);
    /// Starts to drain: closes idle connections that have served a request. New connections are
    /// still accepted; every connection closes after its next response.
    void begin_drain();
    /// Drains and closes the listener. Requests in progress continue; connections close after their
    /// next response, or with the server.
    void stop_accepting();
    /// Refuses the requests that have not been received completely, with `stopping`.
    void refuse_partial_requests();
    /// Closes the listener and all connections at once, without calling the on_disconnect
    /// functions.
    void close();
    /// Number of requests in progress.
    [[nodiscard]] std::size_t active_requests() const;
    /// Number of requests of which a part was received.
    [[nodiscard]] std::size_t partial_requests() const;
    /// Bytes of responses that the operating system has not accepted, over all connections.
    [[nodiscard]] std::size_t unread_bytes() const;
    /// Closes the connection that has the most of unread_bytes(); returns its bytes, or 0 if there
    /// are none.
    std::size_t close_least_read();

private:
    friend class http_session;
    class state;
    std::shared_ptr<state> state_;
};

} // namespace magnolia
