#include "http_p.h"
#include "http_session_p.h"

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
/// Bytes taken from a socket at a time while a header is awaited.
constexpr std::size_t read_bytes = 4096;
constexpr auto linger_time = std::chrono::milliseconds{1000};
constexpr auto overload_retry = std::chrono::milliseconds{500};

/// Whether a message's end depends on a coding that this server does not know; a backend server
/// might see another end.
bool has_unknown_coding(const http::fields& fields) {
    const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
    return std::any_of(first, last,
                       [](const auto& field) { return !beast::iequals(field.value(), "chunked"); });
}

std::string header_text(unsigned status, const http_headers& headers, bool keep_alive) {
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
    while (server_ != nullptr && keep_alive_ && stream_.socket().is_open()) {
        http_request request;
        is_idle_ = true;
        const bool is_read = co_await read_request(request);
        if (!is_read || server_ == nullptr) {
            break;
        }
        is_head_ = request.method == "HEAD";
        has_served_ = true;
        open_exchange();
        watch_peer();
        server_->handler(std::move(request), http_responder{self, exchange_});
        co_await wait_for_end();
    }
    close();
    if (server_ != nullptr) {
        server_->sessions.erase(server_->sessions.iterator_to(*this));
        --server_->session_count;
        server_ = nullptr;
    }
}

/// Cancels the reads under way when the time is over; the connection stays open for the refusal.
void http_session::arm(std::chrono::milliseconds timeout) {
    is_late_ = false;
    deadline_.expires_after(timeout);
    deadline_.async_wait([self = boost::intrusive_ptr<http_session>{this}](const auto& failure) {
        if (!failure) {
            self->is_late_ = true;
            self->stream_.cancel();
        }
    });
}

void http_session::disarm() {
    deadline_.cancel();
}

error http_session::reason(const system_error& failure) const {
    if (failure == http::error::header_limit) {
        return {error_code::header_too_large, failure.message()};
    }
    if (failure == http::error::body_limit) {
        return {error_code::too_large, failure.message()};
    }
    if (is_late_) {
        return {error_code::slow_body, "body"};
    }
    return {error_code::bad_request, failure.message()};
}

asio::awaitable<system_error> http_session::read_header(body_parser& parser) {
    system_error failure;
    if (buffer_.size() == 0) {
        arm(server_->limits.idle_timeout);
        const auto count = co_await stream_.async_read_some(
            buffer_.prepare(read_bytes), asio::redirect_error(asio::use_awaitable, failure));
        buffer_.commit(count);
        disarm();
    }
    if (failure || server_ == nullptr) {
        co_return http::error::end_of_stream;
    }
    is_idle_ = false;
    received_ = steady_now();
    arm(server_->limits.header_timeout);
    co_await http::async_read_header(stream_, buffer_, parser,
                                     asio::redirect_error(asio::use_awaitable, failure));
    co_return failure;
}

asio::awaitable<system_error> http_session::read_body(body_parser& parser) {
    system_error failure;
    arm(server_->limits.read_timeout);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const std::string proceed = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(stream_, asio::buffer(proceed),
                                   asio::redirect_error(asio::use_awaitable, failure));
    }
    if (!failure) {
        co_await http::async_read(stream_, buffer_, parser,
                                  asio::redirect_error(asio::use_awaitable, failure));
    }
    co_return failure;
}

/// Bytes that the body may take: its length, or the bound if it comes in chunks.
std::size_t http_session::body_bound(const body_parser& parser) const {
    return parser.chunked() ? server_->limits.max_body_bytes : parser.content_length().value_or(0);
}

asio::awaitable<bool> http_session::read_request(http_request& request) {
    body_parser parser;
    parser.header_limit(server_->limits.max_header_bytes);
    parser.body_limit(server_->limits.max_body_bytes);
    stream_.expires_never();
    auto failure = co_await read_header(parser);
    if (server_ == nullptr || failure == http::error::end_of_stream) {
        co_return false;
    }
    if (!failure && has_unknown_coding(parser.get())) {
        failure = http::error::bad_transfer_encoding;
    }
    if (!failure && !take_body_memory(body_bound(parser))) {
        // g++ 12 destroys temporaries in the arguments of an awaited call twice.
        const error refusal{error_code::overloaded, "memory for bodies", overload_retry};
        co_await refuse(refusal);
        co_return false;
    }
    if (!failure) {
        failure = co_await read_body(parser);
    }
    disarm();
    if (server_ == nullptr) {
        co_return false;
    }
    if (failure) {
        const auto refusal = reason(failure);
        co_await refuse(refusal);
        co_return false;
    }
    keep_alive_ = parser.keep_alive() && !server_->is_stopping;
    request.method = std::string{parser.get().method_string()};
    request.target = std::string{parser.get().target()};
    request.headers = copy_headers(parser.get().base());
    request.body = std::move(parser.get().body());
    request.received = received_;
    co_return true;
}

/// Answers a request that could not be read, and lets the peer read the answer before the close.
asio::awaitable<void> http_session::refuse(const error& failure) {
    disarm();
    if (server_ == nullptr) {
        co_return;
    }
    keep_alive_ = false;
    open_exchange();
    const http_responder responder{this, exchange_};
    responder.send(server_->refuser(failure));
    co_await wait_for_end();
    system_error ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    arm(linger_time);
    std::array<char, 4096> rest{};
    while (!ignored) {
        co_await stream_.async_read_some(asio::buffer(rest),
                                         asio::redirect_error(asio::use_awaitable, ignored));
    }
    disarm();
}

bool http_session::take_body_memory(std::size_t bytes) {
    if (bytes > server_->limits.max_body_bytes) {
        return true; // The parser refuses it.
    }
    if (server_->body_bytes + bytes > server_->limits.max_total_body_bytes) {
        return false;
    }
    body_bytes_ = bytes;
    server_->body_bytes += bytes;
    return true;
}

void http_session::release_body_memory() {
    if (server_ != nullptr) {
        server_->body_bytes -= body_bytes_;
    }
    body_bytes_ = 0;
}

void http_session::open_exchange() {
    ++exchange_;
    is_open_exchange_ = true;
    is_finished_ = false;
    wake_.expires_at(asio::steady_timer::time_point::max());
    ++server_->active;
}

asio::awaitable<void> http_session::wait_for_end() {
    while (is_open_exchange_) {
        system_error ignored;
        co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void http_session::close_exchange() {
    if (!is_open_exchange_) {
        return;
    }
    is_open_exchange_ = false;
    gone_ = nullptr;
    wire_.clear();
    written_.clear();
    release_body_memory();
    if (server_ != nullptr) {
        --server_->active;
    }
    wake_.cancel();
}

void http_session::watch_peer() {
    stream_.socket().async_wait(tcp::socket::wait_read,
                                [self = boost::intrusive_ptr<http_session>{this},
                                 exchange = exchange_](const system_error& failure) {
                                    if (!failure && self->is_current(exchange) &&
                                        peek_socket(self->stream_.socket()) == peer_state::gone) {
                                        self->peer_gone();
                                    }
                                });
}

void http_session::peer_gone() {
    keep_alive_ = false;
    const auto gone = std::move(gone_);
    close_exchange();
    stream_.close();
    if (gone) {
        gone();
    }
}

void http_session::close() {
    keep_alive_ = false;
    disarm();
    if (is_open_exchange_) {
        peer_gone();
    }
    stream_.close();
}

void http_session::close_if_idle() {
    keep_alive_ = false;
    if (is_idle_) {
        close();
    }
}

void http_session::close_if_kept() {
    if (has_served_) {
        close_if_idle();
    }
}

void http_session::detach() {
    gone_ = nullptr;
    close();
    server_ = nullptr;
}

void http_session::start(unsigned status, http_headers headers, std::optional<std::size_t> length) {
    const bool has_no_body = status == status_no_content || status == status_not_modified;
    if (has_no_body) {
        is_head_ = true;
    } else if (length) {
        headers.push_back({"Content-Length", std::to_string(*length)});
    } else {
        headers.push_back({"Transfer-Encoding", "chunked"});
    }
    keep_alive_ = keep_alive_ && server_ != nullptr && !server_->is_stopping;
    wire_ += header_text(status, headers, keep_alive_);
}

void http_session::append(std::string_view text) {
    if (!is_head_) {
        wire_ += text;
    }
}

void http_session::append_chunk(std::string_view text, std::function<void()> written) {
    if (!is_head_ && !text.empty()) {
        wire_ += beast::buffers_to_string(http::make_chunk(asio::buffer(text)));
    }
    if (written) {
        written_.push_back(std::move(written));
    }
    pump();
}

void http_session::finish(bool is_chunked) {
    if (is_chunked && !is_head_) {
        wire_ += beast::buffers_to_string(http::make_chunk_last());
    }
    is_finished_ = true;
    pump();
}

/// Writes all that has gathered since the last write.
void http_session::pump() {
    if (is_writing_ || !is_open_exchange_) {
        return;
    }
    if (wire_.empty() && written_.empty()) {
        if (is_finished_) {
            close_exchange();
        }
        return;
    }
    is_writing_ = true;
    writing_.swap(wire_);
    writing_callbacks_.swap(written_);
    stream_.expires_after(server_->limits.write_timeout);
    asio::async_write(stream_, asio::buffer(writing_),
                      [self = boost::intrusive_ptr<http_session>{this}](
                          const system_error& failure, std::size_t) { self->on_written(failure); });
}

void http_session::on_written(const system_error& failure) {
    is_writing_ = false;
    stream_.expires_never();
    writing_.clear();
    const auto callbacks = std::exchange(writing_callbacks_, {});
    if (failure) {
        if (is_open_exchange_) {
            peer_gone();
        }
        return;
    }
    std::ranges::for_each(callbacks, [](const auto& written) { written(); });
    pump();
}

} // namespace magnolia
