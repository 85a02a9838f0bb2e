/// Connections of the HTTP server and the state that they share; included by the server's source
/// files only.
#pragma once

#include "http_server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>

#include <atomic>
#include <optional>

namespace magnolia {

/// Hook for the server's list of connections.
using session_list_hook =
    boost::intrusive::list_base_hook<boost::intrusive::tag<struct session_tag>>;

/// State shared by the listener and its connections.
class http_server::state : public std::enable_shared_from_this<http_server::state> {
public:
    state(boost::asio::io_context& io, http_server_limits bounds, http_handler request_handler,
          http_error_formatter refusal_formatter)
        : context{io}, limits{bounds}, handler{std::move(request_handler)},
          error_formatter{std::move(refusal_formatter)}, acceptor{io} {}

    /// Accepts connections until the listener closes.
    boost::asio::awaitable<void> accept();
    void open_session(boost::asio::ip::tcp::socket socket);
    /// Closes the listener, once the connections that wait there are accepted: they may have
    /// brought requests, and would be reset with it.
    void close_listener();
    /// Closes the listener and all connections.
    void shut_down(cut_cause cause);

    boost::asio::io_context& context;
    http_server_limits limits;
    http_handler handler;
    http_error_formatter error_formatter;
    boost::asio::ip::tcp::acceptor acceptor;
    /// See http_server::set_peer_filter(); empty if all are served.
    std::function<bool(const std::string& address)> is_admitted;
    /// See http_server::on_unanswered(); may be empty.
    std::function<void(const unanswered_request&)> on_unanswered;
    /// Memory reserved for the bodies of requests in progress, in bytes.
    std::size_t body_bytes = 0;
    /// See http_server::unread_bytes().
    std::size_t unread_bytes = 0;
    /// Number of requests in progress.
    std::size_t active = 0;
    bool is_draining = false;
    /// Connections that are accepted from now on have no server.
    bool is_shut_down = false;
    boost::intrusive::list<http_session, boost::intrusive::base_hook<session_list_hook>,
                           boost::intrusive::constant_time_size<false>>
        sessions;
    std::size_t session_count = 0;
};

/// One connection, which serves one request at a time. An exchange is one request with its
/// response. Reference-counted by its coroutine, pending operations and responders, which may
/// outlive the server.
class http_session : public session_list_hook {
public:
    using server_state = http_server::state;

    http_session(boost::asio::ip::tcp::socket socket, server_state& server)
        : stream_{std::move(socket)}, wake_timer_{stream_.get_executor()},
          timeout_timer_{stream_.get_executor()}, server_{&server} {}

    /// Serves requests until the connection closes. An exception ends this connection only.
    boost::asio::awaitable<void> run();
    /// Closes the connection without calling on_disconnect.
    /// @param cause  whether the server is being closed or destroyed.
    void detach(cut_cause cause);
    /// Closes the connection if it has served a request: now if it waits for another one of which
    /// nothing has arrived, else after the response.
    void close_if_reused();
    /// Ends the response in progress and closes the connection, as memory is short.
    void give_up_output() { handle_disconnect(cut_cause::memory); }
    /// Refuses the request that is being received, if there is one, with `stopping`.
    void refuse_partial_request();
    [[nodiscard]] bool has_partial_request() const { return is_receiving_; }

    // Used by http_responder.
    /// Adds the header to the output. Without a length, the body is sent in chunks, or ends with
    /// the connection if the peer speaks HTTP/1.0.
    void start(unsigned status, http_headers headers, std::optional<std::size_t> length);
    /// Adds part of a body with a known length to the output.
    void append(std::string_view text);
    /// Adds a chunk to the output and starts to write.
    void append_chunk(std::string_view text, std::function<void()> on_written);
    /// Ends the response and writes the remaining output.
    void finish();
    /// Writes the remaining output for a bounded time, then closes the connection.
    void abort();
    void on_disconnect(std::function<void()> handler) { on_disconnect_ = std::move(handler); }
    void set_request_id(std::string id) { request_id_ = std::move(id); }
    /// Whether the exchange is in progress.
    [[nodiscard]] bool is_current(std::uint64_t exchange) const {
        return exchange == exchange_ && is_open_exchange_;
    }
    /// Whether the exchange is in progress and its response has not been finished.
    [[nodiscard]] bool is_writable(std::uint64_t exchange) const {
        return is_current(exchange) && !is_finished_;
    }
    [[nodiscard]] std::size_t pending_bytes() const { return output_.size() + in_flight_.size(); }
    /// Bytes that the server counts for this connection; see http_server::unread_bytes().
    [[nodiscard]] std::size_t unread_bytes() const { return unread_bytes_; }

    /// Count for intrusive_ptr.
    mutable std::atomic<std::uint32_t> references{0};

private:
    using body_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<void> serve_requests();
    /// Passes a request to the server's handler; answers it with `internal` if that throws.
    void handle(http_request request);
    /// Ends the response in progress, after an exception in the middle of it.
    void fail_exchange(const http_responder& responder);
    /// Reads one request. Returns false if the connection has to close; a request that violates a
    /// limit or the protocol has been refused then.
    boost::asio::awaitable<bool> read_request(http_request& request);
    /// Waits for the first bytes of a request, and takes those that have arrived when the wait ends
    /// otherwise.
    boost::asio::awaitable<boost::system::error_code> read_first_bytes();
    /// Whether the connection closes instead of waiting for a request.
    [[nodiscard]] bool closes_when_idle() const { return server_->is_draining && has_served_; }
    boost::asio::awaitable<boost::system::error_code> read_header(body_parser& parser);
    boost::asio::awaitable<boost::system::error_code> read_body(body_parser& parser);
    /// Sends an error response and closes the connection for writing.
    boost::asio::awaitable<void> refuse(const error& failure);
    /// Closes the connection for writing and discards input for a bounded time: closing with unread
    /// input would reset the connection before the peer has the response.
    boost::asio::awaitable<void> linger();
    /// Maps an error of the parser or the timeout to a typed error.
    error read_error(const boost::system::error_code& failure) const;
    void start_timeout(std::chrono::milliseconds timeout);
    void cancel_timeout();
    boost::asio::awaitable<void> wait_for_response_end();
    [[nodiscard]] std::size_t max_body_memory(const body_parser& parser) const;
    /// Reserves memory for the body of a request; false if this would exceed the server's total
    /// limit.
    bool reserve_body_memory(std::size_t bytes);
    void release_body_memory();
    void open_exchange();
    void close_exchange();
    /// Waits for the peer to disconnect while the request is in progress. The watch ends if the
    /// peer sends bytes of a further request; a later disconnect is then noticed by a failed write
    /// only.
    void watch_peer();
    /// Updates the server's sum of unread bytes.
    void count_unread();
    void flush_output();
    void on_written(const boost::system::error_code& failure);
    /// Ends the exchange, which has no complete response, and closes the connection.
    void handle_disconnect(cut_cause cause);
    void report_unanswered(cut_cause cause) const;
    void close();
    /// Closes the connection; with a reset if an orderly close would complete a response of which a
    /// part is missing.
    void close_socket();

    boost::beast::tcp_stream stream_;
    /// Cancelled at the end of an exchange to wake the coroutine that waits for it.
    boost::asio::steady_timer wake_timer_;
    boost::asio::steady_timer timeout_timer_;
    bool is_timed_out_ = false;
    /// Number of the timeout that is set. The handler of an earlier one may run after it was
    /// cancelled, if it had expired before.
    std::uint64_t timeout_number_ = 0;
    /// Null after detach().
    server_state* server_;
    boost::beast::flat_buffer buffer_;
    /// Number of the current exchange; responders of earlier exchanges have no effect.
    std::uint64_t exchange_ = 0;
    bool is_open_exchange_ = false;
    bool is_finished_ = false;
    bool is_response_started_ = false;
    bool is_idle_ = true;
    /// A part of a request was received, and neither its end nor an error.
    bool is_receiving_ = false;
    /// The request is not received to its end, as the server stops.
    bool is_cut_by_stop_ = false;
    bool has_served_ = false;
    time_point received_at_{};
    /// Name of the request in reports; empty if it has none.
    std::string request_id_;
    bool has_written_ = false;
    bool keep_alive_ = true;
    /// Whether the response has no body: to a HEAD request, or with status 204 or 304.
    bool omits_body_ = false;
    /// Framing of the response in progress; none once it was sent completely.
    body_framing framing_ = body_framing::none;
    /// Whether the peer understands the chunked coding.
    bool accepts_chunks_ = true;
    /// Whether the response in progress was aborted.
    bool is_aborted_ = false;
    bool is_writing_ = false;
    std::size_t reserved_body_bytes_ = 0;
    /// Bytes to send with the next write, and bytes of the write in progress.
    std::string output_;
    std::string in_flight_;
    /// Bytes of both that the server counts.
    std::size_t unread_bytes_ = 0;
    std::vector<std::function<void()>> output_callbacks_;
    std::vector<std::function<void()>> in_flight_callbacks_;
    std::function<void()> on_disconnect_;
};

} // namespace magnolia
