#include "http_p.h"
#include "http_session_p.h"
#include "log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>

#include <algorithm>
#include <sstream>

namespace magnolia {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using system_error = boost::system::error_code;

constexpr unsigned http_11 = 11;
constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;
/// Minimum of the number of bytes that are kept until their meaning is complete: a header, the
/// header of a chunk with its extensions, the trailers.
constexpr std::size_t min_buffer_bytes = std::size_t{64} << 10U;
/// Read size while waiting for a request header, in bytes.
constexpr std::size_t read_bytes = 4096;
/// Beast stores the length of a field in 16 bits and throws out of the I/O loop at a longer one.
constexpr std::uint32_t max_parsed_header_bytes = UINT16_MAX - 2;
/// Maximum time that the connection of a refused request, an aborted response or a response with
/// further requests behind it is kept open for the peer to read what was sent.
constexpr auto lingering_close_timeout = std::chrono::milliseconds{1000};
constexpr auto overload_retry_after = std::chrono::milliseconds{500};

const logger& log_of() {
    static const logger log{"http"};
    return log;
}

/// Whether the message uses a transfer coding other than chunked. Such a message is refused,
/// because a backend server might determine another end of its body (request smuggling).
bool has_unsupported_transfer_coding(const http::fields& fields) {
    const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
    return std::any_of(first, last,
                       [](const auto& field) { return !beast::iequals(field.value(), "chunked"); });
}

std::string serialize_header(unsigned status, const http_headers& headers, bool keep_alive) {
    http::response_header<> header;
    header.version(http_11);
    header.result(status);
    for (const auto& field : headers) {
        header.insert(field.name, field.value);
    }
    if (!keep_alive) {
        header.set(http::field::connection, "close");
    }
    std::ostringstream text;
    text << header;
    return std::move(text).str();
}

} // namespace

void intrusive_ptr_add_ref(const http_session* session) noexcept {
    session->references.fetch_add(1, std::memory_order_relaxed);
}

void intrusive_ptr_release(const http_session* session) noexcept {
    if (session->references.fetch_sub(1, std::memory_order_acq_rel) == 1) {
        delete session;
    }
}

asio::awaitable<void> http_session::run() {
    const boost::intrusive_ptr<http_session> self{this};
    try {
        co_await serve_requests();
    } catch (const std::exception& failure) {
        log_of().error(std::string{"connection closed after an exception: "} + failure.what());
        if (is_open_exchange_) {
            handle_disconnect(cut_cause::aborted);
        }
    }
    close();
    if (server_ != nullptr) {
        server_->sessions.erase(server_->sessions.iterator_to(*this));
        --server_->session_count;
        server_ = nullptr;
    }
}

asio::awaitable<void> http_session::serve_requests() {
    while (server_ != nullptr && keep_alive_ && stream_.socket().is_open()) {
        http_request request;
        is_idle_ = true;
        const bool is_read = co_await read_request(request);
        if (!is_read || server_ == nullptr) {
            break;
        }
        omits_body_ = request.method == "HEAD";
        has_served_ = true;
        open_exchange();
        watch_peer();
        handle(std::move(request));
        co_await wait_for_response_end();
    }
    // Bytes after the last request.
    const bool has_unread_bytes =
        framing_ == body_framing::none &&
        (buffer_.size() > 0 || peek_socket(stream_.socket()) == peer_state::has_data);
    if (server_ != nullptr && has_unread_bytes) {
        co_await linger();
    }
}

void http_session::handle(http_request request) {
    const http_responder responder{this, exchange_};
    try {
        server_->handler(std::move(request), responder);
    } catch (const std::exception& failure) {
        log_of().error(std::string{"request failed by an exception: "} + failure.what());
        fail_exchange(responder);
    }
}

void http_session::fail_exchange(const http_responder& responder) {
    if (responder.is_closed()) {
        return;
    }
    const auto on_disconnect = std::exchange(on_disconnect_, nullptr);
    if (is_response_started_ || server_ == nullptr) {
        responder.abort();
    } else {
        responder.send(server_->error_formatter({error_code::internal, "request handler"}));
    }
    if (on_disconnect) {
        on_disconnect();
    }
}

/// Cancels pending reads when the timeout expires. The connection stays open, so that the refusal
/// can be sent.
void http_session::start_timeout(std::chrono::milliseconds timeout) {
    is_timed_out_ = false;
    timeout_timer_.expires_after(timeout);
    timeout_timer_.async_wait([self = boost::intrusive_ptr<http_session>{this},
                               number = ++timeout_number_](const auto& failure) {
        if (!failure && self->timeout_number_ == number) {
            self->is_timed_out_ = true;
            self->stream_.cancel();
        }
    });
}

void http_session::cancel_timeout() {
    ++timeout_number_;
    timeout_timer_.cancel();
}

error http_session::read_error(const system_error& failure) const {
    if (failure == http::error::header_limit) {
        return {error_code::header_too_large, failure.message()};
    }
    if (failure == http::error::body_limit || failure == http::error::buffer_overflow) {
        return {error_code::too_large, failure.message()};
    }
    if (is_cut_by_stop_) {
        return {error_code::stopping, "request was not received within the stop"};
    }
    if (is_timed_out_) {
        return {error_code::slow_body, "body"};
    }
    return {error_code::bad_request, failure.message()};
}

asio::awaitable<system_error> http_session::read_first_bytes() {
    system_error failure;
    if (!closes_when_idle()) {
        start_timeout(server_->limits.idle_timeout);
        const auto count = co_await stream_.async_read_some(
            buffer_.prepare(read_bytes), asio::redirect_error(asio::use_awaitable, failure));
        buffer_.commit(count);
        cancel_timeout();
    }
    const bool has_unread_bytes = server_ != nullptr && buffer_.size() == 0 &&
                                  peek_socket(stream_.socket()) == peer_state::has_data;
    if (has_unread_bytes) {
        const auto count = co_await stream_.async_read_some(
            buffer_.prepare(read_bytes), asio::redirect_error(asio::use_awaitable, failure));
        buffer_.commit(count);
    }
    co_return failure;
}

asio::awaitable<system_error> http_session::read_header(body_parser& parser) {
    system_error failure;
    if (buffer_.size() == 0) {
        failure = co_await read_first_bytes();
    }
    if (failure || server_ == nullptr || buffer_.size() == 0) {
        co_return http::error::end_of_stream;
    }
    is_idle_ = false;
    is_receiving_ = true;
    received_at_ = steady_now();
    start_timeout(server_->limits.header_timeout);
    co_await http::async_read_header(stream_, buffer_, parser,
                                     asio::redirect_error(asio::use_awaitable, failure));
    co_return failure;
}

asio::awaitable<system_error> http_session::read_body(body_parser& parser) {
    system_error failure;
    start_timeout(server_->limits.body_timeout);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const std::string continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(stream_, asio::buffer(continue_response),
                                   asio::redirect_error(asio::use_awaitable, failure));
    }
    if (!failure) {
        co_await http::async_read(stream_, buffer_, parser,
                                  asio::redirect_error(asio::use_awaitable, failure));
    }
    co_return failure;
}

/// Maximum size of the request body in bytes: its Content-Length, or the server's limit if it is
/// chunked.
std::size_t http_session::max_body_memory(const body_parser& parser) const {
    return parser.chunked() ? server_->limits.max_body_bytes : parser.content_length().value_or(0);
}

asio::awaitable<bool> http_session::read_request(http_request& request) {
    body_parser parser;
    parser.header_limit(std::min(server_->limits.max_header_bytes, max_parsed_header_bytes));
    parser.body_limit(server_->limits.max_body_bytes);
    buffer_.max_size(std::max<std::size_t>(min_buffer_bytes, server_->limits.max_header_bytes));
    stream_.expires_never();
    auto failure = co_await read_header(parser);
    if (server_ == nullptr || failure == http::error::end_of_stream) {
        is_receiving_ = false;
        co_return false;
    }
    if (!failure && has_unsupported_transfer_coding(parser.get())) {
        failure = http::error::bad_transfer_encoding;
    }
    if (!failure && !reserve_body_memory(max_body_memory(parser))) {
        // A named variable, because g++ 12 destroys temporaries in the arguments of an awaited call
        // twice.
        const error refusal{error_code::overloaded, "memory limit for request bodies",
                            overload_retry_after};
        is_receiving_ = false;
        co_await refuse(refusal);
        co_return false;
    }
    if (!failure) {
        failure = co_await read_body(parser);
    }
    cancel_timeout();
    is_receiving_ = false;
    if (server_ == nullptr) {
        co_return false;
    }
    if (failure) {
        const auto refusal = read_error(failure);
        co_await refuse(refusal);
        co_return false;
    }
    accepts_chunks_ = parser.get().version() >= http_11;
    keep_alive_ = parser.keep_alive() && !server_->is_draining;
    request.method = std::string{parser.get().method_string()};
    request.target = std::string{parser.get().target()};
    request.headers = copy_headers(parser.get().base());
    request.body = std::move(parser.get().body());
    request.received = received_at_;
    co_return true;
}

asio::awaitable<void> http_session::refuse(const error& failure) {
    cancel_timeout();
    if (server_ == nullptr) {
        co_return;
    }
    keep_alive_ = false;
    open_exchange();
    const http_responder responder{this, exchange_};
    responder.send(server_->error_formatter(failure));
    co_await wait_for_response_end();
    co_await linger();
}

asio::awaitable<void> http_session::linger() {
    system_error ignored;
    buffer_.clear();
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    start_timeout(lingering_close_timeout);
    std::array<char, 4096> discarded{};
    while (!ignored) {
        co_await stream_.async_read_some(asio::buffer(discarded),
                                         asio::redirect_error(asio::use_awaitable, ignored));
    }
    cancel_timeout();
}

bool http_session::reserve_body_memory(std::size_t bytes) {
    if (bytes > server_->limits.max_body_bytes) {
        return true; // The parser refuses the body.
    }
    if (server_->body_bytes + bytes > server_->limits.max_total_body_bytes) {
        return false;
    }
    reserved_body_bytes_ = bytes;
    server_->body_bytes += bytes;
    return true;
}

void http_session::release_body_memory() {
    if (server_ != nullptr) {
        server_->body_bytes -= reserved_body_bytes_;
    }
    reserved_body_bytes_ = 0;
}

void http_session::open_exchange() {
    ++exchange_;
    request_id_.clear();
    has_written_ = false;
    is_open_exchange_ = true;
    is_finished_ = false;
    is_aborted_ = false;
    is_response_started_ = false;
    wake_timer_.expires_at(asio::steady_timer::time_point::max());
    ++server_->active;
}

asio::awaitable<void> http_session::wait_for_response_end() {
    while (is_open_exchange_) {
        system_error ignored;
        co_await wake_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void http_session::close_exchange() {
    if (!is_open_exchange_) {
        return;
    }
    is_open_exchange_ = false;
    on_disconnect_ = nullptr;
    output_.clear();
    output_callbacks_.clear();
    count_unread();
    release_body_memory();
    if (server_ != nullptr) {
        --server_->active;
    }
    wake_timer_.cancel();
}

void http_session::watch_peer() {
    stream_.socket().async_wait(tcp::socket::wait_read,
                                [self = boost::intrusive_ptr<http_session>{this},
                                 exchange = exchange_](const system_error& failure) {
                                    if (!failure && self->is_current(exchange) &&
                                        peek_socket(self->stream_.socket()) == peer_state::closed) {
                                        self->handle_disconnect(cut_cause::peer_closed);
                                    }
                                });
}

void http_session::report_unanswered(cut_cause cause) const {
    if (server_ != nullptr && server_->on_unanswered) {
        server_->on_unanswered({.cause = is_aborted_ ? cut_cause::aborted : cause,
                                .id = request_id_,
                                .is_received = is_open_exchange_,
                                .is_response_started = has_written_,
                                .pending_bytes = pending_bytes(),
                                .age = steady_now() - received_at_});
    }
}

void http_session::handle_disconnect(cut_cause cause) {
    keep_alive_ = false;
    report_unanswered(cause);
    const auto on_disconnect = std::move(on_disconnect_);
    close_exchange();
    close_socket();
    if (on_disconnect) {
        on_disconnect();
    }
}

void http_session::close() {
    keep_alive_ = false;
    cancel_timeout();
    close_socket();
}

void http_session::close_socket() {
    if (framing_ == body_framing::until_close) {
        system_error ignored;
        stream_.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
    }
    stream_.close();
}

void http_session::close_if_reused() {
    if (has_served_ && is_idle_) {
        stream_.cancel();
    }
}

void http_session::refuse_partial_request() {
    if (is_receiving_) {
        is_cut_by_stop_ = true;
        stream_.cancel();
    }
}

void http_session::detach(cut_cause cause) {
    on_disconnect_ = nullptr;
    if (is_open_exchange_) {
        handle_disconnect(cause);
    } else if (is_receiving_) {
        report_unanswered(cause);
    }
    close();
    server_ = nullptr;
}

void http_session::start(unsigned status, http_headers headers, std::optional<std::size_t> length) {
    is_response_started_ = true;
    const bool has_no_body = status == status_no_content || status == status_not_modified;
    if (has_no_body) {
        omits_body_ = true;
        framing_ = body_framing::none;
    } else if (length) {
        headers.push_back({"Content-Length", std::to_string(*length)});
        framing_ = body_framing::content_length;
    } else if (accepts_chunks_) {
        headers.push_back({"Transfer-Encoding", "chunked"});
        framing_ = body_framing::chunked;
    } else {
        keep_alive_ = false;
        framing_ = body_framing::until_close;
    }
    keep_alive_ = keep_alive_ && server_ != nullptr && !server_->is_draining;
    output_ += serialize_header(status, headers, keep_alive_);
}

void http_session::append(std::string_view text) {
    if (!omits_body_) {
        output_ += text;
    }
}

void http_session::append_chunk(std::string_view text, std::function<void()> on_written) {
    if (framing_ != body_framing::chunked) {
        append(text);
    } else if (!omits_body_ && !text.empty()) {
        output_ += beast::buffers_to_string(http::make_chunk(asio::buffer(text)));
    }
    if (on_written) {
        output_callbacks_.push_back(std::move(on_written));
    }
    flush_output();
}

void http_session::finish() {
    if (framing_ == body_framing::chunked && !omits_body_) {
        output_ += beast::buffers_to_string(http::make_chunk_last());
    }
    is_finished_ = true;
    flush_output();
}

void http_session::abort() {
    on_disconnect_ = nullptr;
    keep_alive_ = false;
    is_aborted_ = true;
    is_finished_ = true;
    flush_output();
    if (is_open_exchange_) {
        start_timeout(lingering_close_timeout);
    }
}

void http_session::count_unread() {
    const auto counted = std::exchange(unread_bytes_, is_open_exchange_ ? pending_bytes() : 0);
    if (server_ != nullptr) {
        server_->unread_bytes += unread_bytes_;
        server_->unread_bytes -= counted;
    }
}

/// Writes all output that has accumulated since the last write.
void http_session::flush_output() {
    count_unread();
    if (is_writing_ || !is_open_exchange_) {
        return;
    }
    if (output_.empty() && output_callbacks_.empty()) {
        if (is_finished_) {
            framing_ = is_aborted_ ? framing_ : body_framing::none;
            if (is_aborted_) {
                report_unanswered(cut_cause::aborted);
            }
            close_exchange();
        }
        return;
    }
    is_writing_ = true;
    in_flight_.swap(output_);
    in_flight_callbacks_.swap(output_callbacks_);
    stream_.expires_after(server_->limits.write_timeout);
    asio::async_write(stream_, asio::buffer(in_flight_),
                      [self = boost::intrusive_ptr<http_session>{this}](const system_error& failure,
                                                                        std::size_t count) {
                          self->has_written_ = self->has_written_ || count > 0;
                          self->on_written(failure);
                      });
}

void http_session::on_written(const system_error& failure) {
    is_writing_ = false;
    stream_.expires_never();
    const auto callbacks = std::exchange(in_flight_callbacks_, {});
    if (failure) {
        if (is_open_exchange_) {
            handle_disconnect(failure == beast::error::timeout ? cut_cause::write_timeout
                                                               : cut_cause::write_failed);
        }
        in_flight_.clear();
        return;
    }
    in_flight_.clear();
    count_unread();
    std::ranges::for_each(callbacks, [](const auto& on_written) { on_written(); });
    flush_output();
}

} // namespace magnolia
