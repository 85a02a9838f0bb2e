/// HTTP/1.1 server: whole requests in, whole responses or streams out. Boost.Beast stays inside the
/// source file.
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

/// Bounds of a server.
struct http_server_limits {
    /// Longest header of a request, bytes; a longer one is refused with header_too_large.
    std::uint32_t max_header_bytes = 32U << 10U;
    /// Longest request body, bytes; a longer one is refused with too_large.
    std::size_t max_body_bytes = config::max_body_bytes;
    /// Memory for the bodies of all requests under way, bytes; more is refused with overloaded.
    std::size_t max_total_body_bytes = std::size_t{256} << 20U;
    /// Connections at once; more are closed.
    std::size_t max_connections = 10000;
    /// Longest time for a header to arrive, from its first byte; refused with slow_body.
    std::chrono::milliseconds header_timeout{15000};
    /// Longest time for a body to arrive, from the end of its header; refused with slow_body.
    std::chrono::milliseconds body_timeout{15000};
    /// Longest time that a connection waits for its next request.
    std::chrono::milliseconds idle_timeout{60000};
    /// Longest time that the peer may leave on_written bytes unread.
    std::chrono::milliseconds write_timeout{30000};
};

/// Answers one request. Copies refer to the same request. After the answer has ended, or the peer
/// has handler, every call does nothing. Used on the context's thread only; exactly one of send()
/// and start() has to be called.
class http_responder {
public:
    http_responder(boost::intrusive_ptr<http_session> session, std::uint64_t exchange);

    /// Sends a whole response.
    void send(http_response response) const;
    /// Starts a stream of chunks.
    void start(unsigned status, const http_headers& headers) const;
    /// Adds text to the stream. @param on_written  called once the system took the text.
    void write(std::string_view text, std::function<void()> on_written = {}) const;
    /// Ends the stream.
    void finish() const;
    /// Breaks the connection off, so that the peer sees an incomplete answer.
    void abort() const;
    /// Sets the function that is called if the peer goes before the answer has ended.
    void on_disconnect(std::function<void()> handler) const;
    /// Whether the answer has been given or the peer has handler.
    [[nodiscard]] bool is_closed() const;
    /// Bytes that the system has not taken yet; the measure for back-pressure.
    [[nodiscard]] std::size_t pending_bytes() const;

private:
    boost::intrusive_ptr<http_session> session_;
    std::uint64_t exchange_;
};

/// Called with each request, on the context's thread.
using http_handler = std::function<void(http_request request, http_responder responder)>;

/// Makes the response to a request that the server itself refuses: bad_request, too_large,
/// slow_body, overloaded.
using http_error_formatter = std::function<http_response(const error& failure)>;

/// Response with the error's status and a JSON body that names its type.
[[nodiscard]] http_response error_response(const error& failure);

/// Listener with its connections. All members are called on the context's thread, or before it
/// runs.
class http_server {
public:
    http_server(boost::asio::io_context& context, http_server_limits limits, http_handler handler,
                http_error_formatter error_formatter = error_response);
    ~http_server();

    /// Opens the listener; port 0 lets the system choose. Errors: connection.
    [[nodiscard]] result<void> listen(const endpoint& local);
    /// Port of the listener.
    [[nodiscard]] std::uint16_t port() const;
    /// Bounds of requests that begin from now on; those of memory and connections hold at once.
    void set_limits(const http_server_limits& limits);
    /// Closes connections that have served a request and wait for the next one. New connections
    /// are taken as before; each closes after its first answer.
    void begin_drain();
    /// Closes the listener and idle connections; requests under way go on, and their connections
    /// close after the answer.
    void stop_accepting();
    /// Closes the listener and every connection at once; handlers are not told.
    void close();
    /// Requests under way.
    [[nodiscard]] std::size_t active_requests() const;

private:
    friend class http_session;
    class state;
    std::shared_ptr<state> state_;
};

} // namespace magnolia
