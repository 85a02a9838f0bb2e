#include "http_client.h"

#include "http_p.h"
#include "log.h"
#include "response_parser_p.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <map>
#include <optional>
#include <unordered_map>

namespace magnolia {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using system_error = boost::system::error_code;
using steady_clock = std::chrono::steady_clock;

constexpr unsigned http_11 = 11;

const logger& log_of() {
    static const logger log{"http"};
    return log;
}

/// A pooled connection that was idle for longer is not reused. Shorter than the servers' idle
/// timeout, so that a server rarely closes a connection just as it is reused.
constexpr auto max_idle_time = std::chrono::seconds{20};

/// Maximum number of bytes that are kept until their meaning is complete: a header, the header of a
/// chunk with its extensions, the trailers.
constexpr std::size_t max_buffer_bytes = std::size_t{64} << 10U;

/// Number of responses to other calls and of interim (1xx) responses that are skipped before a call
/// fails.
constexpr std::size_t max_skipped_responses = 4;

/// A connection, with the bytes that were received after the end of the last response.
struct connection {
    explicit connection(const asio::any_io_executor& executor) : stream{executor} {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_buffer_bytes};
};

/// Connection in the pool.
struct idle_connection {
    std::unique_ptr<connection> conn;
    steady_clock::time_point idle_since;
};

/// Framing of the body of a response whose header was parsed.
template <class Parser>
body_framing framing_of(const Parser& parser) {
    if (parser.chunked()) {
        return body_framing::chunked;
    }
    if (parser.need_eof()) {
        return body_framing::until_close;
    }
    return parser.content_length().value_or(0) > 0 ? body_framing::content_length
                                                   : body_framing::none;
}

using peer_key = std::pair<std::string, std::uint16_t>;

peer_key pool_key(const endpoint& peer) {
    return {peer.address, peer.port};
}

/// Idle connections by peer. Those of a peer are ordered by the time of their last use, the most
/// recent last.
class connection_pool {
public:
    explicit connection_pool(std::size_t max_idle) : max_idle_{max_idle} {}

    /// Removes and returns the most recently used connection that is still usable; null if there is
    /// none. Discards connections that were idle for too long, that the peer has closed, or that
    /// have unexpected bytes to read.
    std::unique_ptr<connection> acquire(const endpoint& peer) {
        const auto found = idle_.find(pool_key(peer));
        while (found != idle_.end() && !found->second.empty()) {
            auto item = std::move(found->second.back());
            found->second.pop_back();
            const bool is_fresh = steady_clock::now() - item.idle_since < max_idle_time;
            if (is_fresh && peek_socket(item.conn->stream.socket()) == peer_state::idle) {
                return std::move(item.conn);
            }
        }
        return nullptr;
    }

    /// Closes the peer's idle connections.
    void discard(const endpoint& peer) { idle_.erase(pool_key(peer)); }

    /// Returns a connection to the pool; closes it if the peer's pool is full or unread bytes are
    /// left.
    void release(const endpoint& peer, std::unique_ptr<connection> conn) {
        auto& idle_list = idle_[pool_key(peer)];
        const auto now = steady_clock::now();
        std::erase_if(idle_list,
                      [now](const auto& item) { return now - item.idle_since >= max_idle_time; });
        if (idle_list.size() < max_idle_ && conn->buffer.size() == 0) {
            conn->stream.expires_never();
            idle_list.push_back({std::move(conn), now});
        }
    }

private:
    std::size_t max_idle_;
    std::map<peer_key, std::vector<idle_connection>> idle_;
};

} // namespace

/// One call. Referenced by its coroutines and the client's call table.
class http_exchange : public boost::intrusive_ref_counter<http_exchange> {
public:
    using client_state = http_client::state;

    http_exchange(std::shared_ptr<client_state> client, endpoint peer, http_request request,
                  const http_call_limits& limits, http_stream_handlers handlers);

    /// Performs the call and reports its end to the handlers.
    asio::awaitable<void> run(http_call_id id);
    /// Opens and closes a connection and reports the result to the handlers.
    asio::awaitable<void> check_connection();
    void cancel();
    void pause() { is_paused_ = true; }
    void resume();

private:
    /// Takes a connection from the pool or opens one.
    asio::awaitable<system_error> connect();
    /// Writes the request; runs concurrently with read_response(). An exception fails the call.
    asio::awaitable<void> write_request();
    asio::awaitable<void> write_message();
    /// Connects, and exchanges the messages of the call.
    asio::awaitable<system_error> perform();
    /// Reports the end of the call to its handlers.
    void report_end(const system_error& failure);
    /// Reads responses until one belongs to this call, at most max_skipped_responses + 1.
    asio::awaitable<system_error> read_response();
    /// Reads one response message and delivers its parts unless it is skipped.
    asio::awaitable<system_error> read_message(response_parser& parser);
    /// Whether the response is an interim (1xx) response or belongs to another call.
    [[nodiscard]] bool should_skip(const response_parser& parser) const;
    /// Decides whether the close of the connection was orderly, so that it ends the response.
    asio::awaitable<system_error> check_close();
    asio::awaitable<void> wait_while_paused();
    /// Waits until the writer has ended, or until the time.
    asio::awaitable<void> wait_for_writer(steady_clock::time_point until);
    void set_timeout(std::chrono::milliseconds timeout);
    /// Passes newly parsed parts of the response to the handlers.
    void deliver(response_parser& parser);
    /// Describes the failure of this call.
    [[nodiscard]] http_failure make_failure(const system_error& failure) const;

    std::shared_ptr<client_state> client_;
    endpoint peer_;
    http_request request_;
    http_call_limits limits_;
    http_stream_handlers handlers_;
    std::unique_ptr<connection> connection_;
    /// Cancelled to wake a waiting coroutine: by resume(), cancel() and the end of the writer.
    asio::steady_timer wake_timer_;
    steady_clock::time_point deadline_ = steady_clock::time_point::max();
    bool is_cancelled_ = false;
    bool is_withdrawn_ = false;
    bool is_paused_ = false;
    bool is_request_written_ = false;
    bool is_response_started_ = false;
    bool is_header_delivered_ = false;
    /// Whether the message that is being read is skipped.
    bool is_skipping_ = false;
    bool is_keep_alive_ = false;
    /// Whether only the close of the connection ended the message that was read.
    bool is_ended_by_close_ = false;
    /// Whether the writer is running. It runs concurrently with the reader, because the peer may
    /// respond before it has read the complete request.
    bool is_writing_ = false;
    system_error write_failure_;
};

/// Shared by the client and its calls; a call may outlive the client until its coroutine ends.
class http_client::state {
public:
    state(asio::io_context& io, std::size_t max_idle)
        : executor{io.get_executor()}, pool{max_idle} {}

    asio::any_io_executor executor;
    connection_pool pool;
    std::uint64_t next_id = 1;
    bool is_closed = false;
    std::unordered_map<std::uint64_t, boost::intrusive_ptr<http_exchange>> calls;
};

http_exchange::http_exchange(std::shared_ptr<client_state> client, endpoint peer,
                             http_request request, const http_call_limits& limits,
                             http_stream_handlers handlers)
    : client_{std::move(client)}, peer_{std::move(peer)}, request_{std::move(request)},
      limits_{limits}, handlers_{std::move(handlers)}, wake_timer_{client_->executor} {
    if (limits_.total_timeout.count() > 0) {
        deadline_ = steady_clock::now() + limits_.total_timeout;
    }
}

/// Sets the timeout of the next operation, bounded by the deadline of the call.
void http_exchange::set_timeout(std::chrono::milliseconds timeout) {
    connection_->stream.expires_at(std::min(steady_clock::now() + timeout, deadline_));
}

asio::awaitable<system_error> http_exchange::connect() {
    if (limits_.may_reuse_connection) {
        connection_ = client_->pool.acquire(peer_);
    }
    if (connection_) {
        co_return system_error{};
    }
    connection_ = std::make_unique<connection>(client_->executor);
    system_error failure;
    const auto address = asio::ip::make_address(peer_.address, failure);
    if (failure) {
        co_return failure;
    }
    set_timeout(limits_.connect_timeout);
    co_await connection_->stream.async_connect(tcp::endpoint{address, peer_.port},
                                               asio::redirect_error(asio::use_awaitable, failure));
    if (!failure) {
        system_error ignored;
        connection_->stream.socket().set_option(tcp::no_delay{true}, ignored);
    }
    co_return failure;
}

asio::awaitable<void> http_exchange::write_request() {
    const boost::intrusive_ptr<http_exchange> self{this};
    try {
        co_await write_message();
    } catch (const std::exception& failure) {
        log_of().error(std::string{"request not written because of an exception: "} +
                       failure.what());
        write_failure_ = asio::error::invalid_argument;
        if (connection_) {
            connection_->stream.close();
        }
    }
    is_writing_ = false;
    wake_timer_.cancel();
}

asio::awaitable<void> http_exchange::write_message() {
    http::request<http::string_body> message;
    message.version(http_11);
    message.method_string(request_.method);
    message.target(request_.target);
    for (const auto& field : request_.headers) {
        message.insert(field.name, field.value);
    }
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, peer_.address + ":" + std::to_string(peer_.port));
    }
    message.body() = std::move(request_.body);
    message.prepare_payload();
    http::request_serializer<http::string_body> serializer{message};
    while (!write_failure_ && !is_cancelled_ && connection_ && !serializer.is_done()) {
        set_timeout(limits_.inactivity_timeout);
        const auto count = co_await http::async_write_some(
            connection_->stream, serializer,
            asio::redirect_error(asio::use_awaitable, write_failure_));
        is_request_written_ = is_request_written_ || count > 0;
    }
}

asio::awaitable<void> http_exchange::wait_while_paused() {
    while (is_paused_ && !is_cancelled_) {
        system_error ignored;
        wake_timer_.expires_at(deadline_);
        co_await wake_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (steady_clock::now() >= deadline_) {
            co_return;
        }
    }
}

asio::awaitable<void> http_exchange::wait_for_writer(steady_clock::time_point until) {
    while (is_writing_ && steady_clock::now() < until) {
        system_error ignored;
        wake_timer_.expires_at(until);
        co_await wake_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<system_error> http_exchange::check_close() {
    // The system reports a reset to one operation only: after a write that failed, the reader finds
    // an end of the stream as after an orderly close.
    const auto until = std::min(steady_clock::now() + limits_.early_close_timeout, deadline_);
    co_await wait_for_writer(until);
    co_return write_failure_;
}

bool http_exchange::should_skip(const response_parser& parser) const {
    constexpr unsigned first_final_status = 200;
    if (parser.get().result_int() < first_final_status) {
        return true;
    }
    if (limits_.correlation_header.name.empty()) {
        return false;
    }
    const auto found = parser.get().find(limits_.correlation_header.name);
    return found != parser.get().end() && found->value() != limits_.correlation_header.value;
}

asio::awaitable<system_error> http_exchange::read_message(response_parser& parser) {
    parser.header_limit(max_header_bytes);
    parser.body_limit(limits_.max_body_bytes);
    if (request_.method == "HEAD") {
        parser.skip(true);
    }
    system_error failure;
    while (!failure && !is_cancelled_ && !parser.is_done()) {
        co_await wait_while_paused();
        set_timeout(limits_.inactivity_timeout);
        co_await http::async_read_some(connection_->stream, connection_->buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, failure));
        is_skipping_ = parser.is_header_done() && !is_header_delivered_ && should_skip(parser);
        if (!is_skipping_) {
            is_response_started_ = is_response_started_ || parser.got_some();
        }
        if (!is_cancelled_) {
            deliver(parser);
        }
    }
    is_keep_alive_ = parser.is_header_done() && parser.keep_alive();
    is_ended_by_close_ = parser.is_header_done() && parser.need_eof();
    co_return failure;
}

asio::awaitable<system_error> http_exchange::read_response() {
    system_error failure;
    for (std::size_t count = 0; count <= max_skipped_responses; ++count) {
        response_parser parser{connection_->buffer};
        failure = co_await read_message(parser);
        if (failure || is_cancelled_ || !is_skipping_) {
            break;
        }
        if (is_ended_by_close_) {
            // Nothing follows; another read would wait for bytes of a closed connection.
            failure = http::error::end_of_stream;
            break;
        }
        failure = http::error::unexpected_body;
    }
    co_return failure;
}

void http_exchange::deliver(response_parser& parser) {
    if (!parser.is_header_done()) {
        return;
    }
    if (is_skipping_) {
        parser.get().body().clear();
        return;
    }
    if (!is_header_delivered_) {
        is_header_delivered_ = true;
        if (handlers_.on_header) {
            handlers_.on_header(
                {parser.get().result_int(), copy_headers(parser.get().base()), framing_of(parser)});
        }
    }
    auto& body = parser.get().body();
    if (!body.empty()) {
        const auto text = std::exchange(body, {});
        handlers_.on_body(text);
    }
}

http_failure http_exchange::make_failure(const system_error& failure) const {
    http_failure result{{error_code::connection, peer_.address + ":" + std::to_string(peer_.port) +
                                                     ": " + failure.message()},
                        is_request_written_,
                        is_response_started_,
                        failure == beast::error::timeout,
                        failure == asio::error::connection_refused,
                        is_withdrawn_};
    if (is_withdrawn_) {
        result.failure = {error_code::caller_gone, "withdrawn before it was written"};
    } else if (is_cancelled_) {
        result.failure = {error_code::caller_gone, "cancelled"};
    } else if (failure == http::error::body_limit || failure == http::error::header_limit ||
               failure == http::error::buffer_overflow) {
        result.failure.code = error_code::too_large;
    } else if (failure.category() == http::make_error_code(http::error::bad_version).category() &&
               failure != http::error::end_of_stream && failure != http::error::partial_message) {
        result.failure.code = error_code::bad_request;
    }
    return result;
}

asio::awaitable<void> http_exchange::check_connection() {
    const boost::intrusive_ptr<http_exchange> self{this};
    const auto failure = co_await connect();
    connection_.reset();
    if (client_->is_closed) {
        co_return;
    }
    report_end(failure);
}

void http_exchange::report_end(const system_error& failure) {
    const auto error_report = make_failure(failure);
    try {
        handlers_.on_end(failure || is_cancelled_ ? &error_report : nullptr);
    } catch (const std::exception& problem) {
        log_of().error(std::string{"end of a call not handled because of an exception: "} +
                       problem.what());
    }
}

asio::awaitable<system_error> http_exchange::perform() {
    const boost::intrusive_ptr<http_exchange> self{this};
    auto failure =
        is_cancelled_ ? system_error{asio::error::operation_aborted} : co_await connect();
    if (!failure && !is_cancelled_ && limits_.may_write && !limits_.may_write()) {
        is_withdrawn_ = true;
        failure = asio::error::operation_aborted;
    }
    if (!failure && !is_cancelled_) {
        is_writing_ = true;
        asio::co_spawn(
            client_->executor, [self] { return self->write_request(); }, asio::detached);
        failure = co_await read_response();
        if (failure && write_failure_) {
            failure = write_failure_;
        } else if (!failure && is_ended_by_close_) {
            failure = co_await check_close();
        }
        const bool is_reusable =
            !failure && !is_writing_ && !write_failure_ && !is_cancelled_ && is_keep_alive_;
        if (is_reusable) {
            client_->pool.release(peer_, std::move(connection_));
        } else {
            connection_->stream.close();
        }
        if (failure == beast::error::timeout) {
            // Connections may go silent together, when a network path or the peer is lost.
            client_->pool.discard(peer_);
        }
    }
    co_return failure;
}

asio::awaitable<void> http_exchange::run(http_call_id id) {
    const boost::intrusive_ptr<http_exchange> self{this};
    system_error failure;
    try {
        failure = co_await perform();
    } catch (const std::exception& problem) {
        log_of().error(std::string{"call failed by an exception: "} + problem.what());
        failure = asio::error::invalid_argument;
        if (connection_) {
            connection_->stream.close();
        }
    }
    co_await wait_for_writer(steady_clock::time_point::max());
    client_->calls.erase(id.value);
    connection_.reset();
    if (!client_->is_closed) {
        report_end(failure);
    }
}

void http_exchange::cancel() {
    is_cancelled_ = true;
    wake_timer_.cancel();
    if (connection_) {
        connection_->stream.close();
    }
}

void http_exchange::resume() {
    is_paused_ = false;
    wake_timer_.cancel();
}

http_client::http_client(asio::io_context& context, std::size_t max_idle)
    : state_{std::make_shared<state>(context, max_idle)} {}

http_client::~http_client() {
    state_->is_closed = true;
    const auto calls = std::exchange(state_->calls, {});
    for (const auto& [id, exchange] : calls) {
        exchange->cancel();
    }
}

http_call_id http_client::call(const endpoint& peer, http_request request,
                               const http_call_limits& limits, http_response_handler done) {
    const auto response = std::make_shared<http_response>();
    http_stream_handlers handlers;
    handlers.on_header = [response](const http_response_head& head) {
        response->status = head.status;
        response->headers = head.headers;
    };
    handlers.on_body = [response](std::string_view text) { response->body += text; };
    handlers.on_end = [response, done = std::move(done)](const http_failure* failure) {
        if (failure != nullptr) {
            done(tl::unexpected{*failure});
        } else {
            done(std::move(*response));
        }
    };
    return stream(peer, std::move(request), limits, std::move(handlers));
}

void http_client::check_connection(const endpoint& peer, std::chrono::milliseconds timeout,
                                   std::function<void(const http_failure* failure)> done) {
    http_call_limits limits;
    limits.connect_timeout = timeout;
    limits.may_reuse_connection = false;
    const boost::intrusive_ptr<http_exchange> exchange{new http_exchange{
        state_, peer, {}, limits, {.on_header = {}, .on_body = {}, .on_end = std::move(done)}}};
    asio::co_spawn(
        state_->executor, [exchange] { return exchange->check_connection(); }, asio::detached);
}

http_call_id http_client::stream(const endpoint& peer, http_request request,
                                 const http_call_limits& limits, http_stream_handlers handlers) {
    const http_call_id id{state_->next_id++};
    const boost::intrusive_ptr<http_exchange> exchange{
        new http_exchange{state_, peer, std::move(request), limits, std::move(handlers)}};
    state_->calls.emplace(id.value, exchange);
    asio::co_spawn(
        state_->executor, [exchange, id] { return exchange->run(id); }, asio::detached);
    return id;
}

void http_client::cancel(http_call_id id) {
    if (const auto found = state_->calls.find(id.value); found != state_->calls.end()) {
        found->second->cancel();
    }
}

void http_client::pause(http_call_id id) {
    if (const auto found = state_->calls.find(id.value); found != state_->calls.end()) {
        found->second->pause();
    }
}

void http_client::resume(http_call_id id) {
    if (const auto found = state_->calls.find(id.value); found != state_->calls.end()) {
        found->second->resume();
    }
}

std::size_t http_client::active_calls() const {
    return state_->calls.size();
}

} // namespace magnolia
