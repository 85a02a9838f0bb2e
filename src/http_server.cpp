#include "http_server.h"

#include "http_session_p.h"
#include "log.h"
#include "port_wait.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace magnolia {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using system_error = boost::system::error_code;

/// Delay before the next accept after a failed one.
constexpr auto accept_retry_delay = std::chrono::milliseconds{50};

const logger& log_of() {
    static const logger log{"http"};
    return log;
}

} // namespace

http_responder::http_responder(boost::intrusive_ptr<http_session> session, std::uint64_t exchange)
    : session_{std::move(session)}, exchange_{exchange} {}

bool http_responder::is_closed() const {
    return !session_->is_writable(exchange_);
}

void http_responder::send(http_response response) const {
    if (is_closed()) {
        return;
    }
    const auto length = response.body.size();
    session_->start(response.status, std::move(response.headers), length);
    session_->append(response.body);
    session_->finish();
}

void http_responder::start(unsigned status, const http_headers& headers) const {
    if (!is_closed()) {
        session_->start(status, headers, std::nullopt);
        session_->append_chunk({}, {});
    }
}

void http_responder::write(std::string_view text, std::function<void()> on_written) const {
    if (!is_closed()) {
        session_->append_chunk(text, std::move(on_written));
    }
}

void http_responder::finish() const {
    if (!is_closed()) {
        session_->finish();
    }
}

void http_responder::abort() const {
    if (!is_closed()) {
        session_->abort();
    }
}

void http_responder::on_disconnect(std::function<void()> handler) const {
    if (!is_closed()) {
        session_->on_disconnect(std::move(handler));
    }
}

void http_responder::set_request_id(std::string id) const {
    if (!is_closed()) {
        session_->set_request_id(std::move(id));
    }
}

std::size_t http_responder::pending_bytes() const {
    return is_closed() ? 0 : session_->pending_bytes();
}

std::string_view to_string(cut_cause cause) {
    switch (cause) {
    case cut_cause::peer_closed:
        return "peer_closed";
    case cut_cause::write_failed:
        return "write_failed";
    case cut_cause::write_timeout:
        return "write_timeout";
    case cut_cause::aborted:
        return "aborted";
    case cut_cause::memory:
        return "memory";
    case cut_cause::server_closed:
        return "server_closed";
    case cut_cause::server_destroyed:
        return "server_destroyed";
    }
    return "invalid";
}

http_response error_response(const error& failure) {
    nlohmann::json body{{"type", to_string(failure.code)}, {"subject", failure.subject}};
    if (failure.retry_after.count() > 0) {
        body["retry_after_ms"] = failure.retry_after.count();
    }
    const auto text = nlohmann::json{{"error", body}}.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
    return json_response(http_status(failure.code), text);
}

asio::awaitable<void> http_server::state::accept() {
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        system_error failure;
        tcp::socket socket{context};
        co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, failure));
        if (!failure) {
            try {
                open_session(std::move(socket));
            } catch (const std::exception& problem) {
                log_of().error(std::string{"connection not served: "} + problem.what());
            }
        } else if (acceptor.is_open()) {
            // Most likely the process is out of file descriptors. Retry after a delay, in which
            // connections may close and free some.
            asio::steady_timer retry_timer{context, accept_retry_delay};
            co_await retry_timer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
        }
    }
}

void http_server::state::open_session(tcp::socket socket) {
    if (is_shut_down || session_count >= limits.max_connections) {
        return;
    }
    system_error ignored;
    const auto peer = socket.remote_endpoint(ignored);
    if (is_admitted && !is_admitted(peer.address().to_string())) {
        return;
    }
    socket.set_option(tcp::no_delay{true}, ignored);
    const boost::intrusive_ptr<http_session> session{new http_session{std::move(socket), *this}};
    asio::co_spawn(
        context, [session] { return session->run(); }, asio::detached);
    sessions.push_back(*session);
    ++session_count;
}

void http_server::state::close_listener() {
    system_error failure;
    acceptor.non_blocking(true, failure);
    for (int accepted = 0; !failure && accepted < asio::socket_base::max_listen_connections;
         ++accepted) {
        tcp::socket socket{context};
        acceptor.accept(socket, failure);
        if (!failure) {
            open_session(std::move(socket));
        }
    }
    acceptor.close(failure);
}

void http_server::state::shut_down(cut_cause cause) {
    system_error ignored;
    is_shut_down = true;
    acceptor.close(ignored);
    while (!sessions.empty()) {
        auto& session = sessions.front();
        sessions.pop_front();
        session.detach(cause);
    }
    session_count = 0;
}

http_server::http_server(asio::io_context& context, http_server_limits limits, http_handler handler,
                         http_error_formatter error_formatter)
    : state_{std::make_shared<state>(context, limits, std::move(handler),
                                     std::move(error_formatter))} {}

http_server::~http_server() {
    state_->shut_down(cut_cause::server_destroyed);
}

result<void> http_server::listen(const endpoint& local) {
    system_error failure;
    const auto address = asio::ip::make_address(local.address, failure);
    const tcp::endpoint target{address, local.port};
    auto& acceptor = state_->acceptor;
    if (!failure) {
        acceptor.open(target.protocol(), failure);
    }
    if (!failure) {
        acceptor.set_option(tcp::acceptor::reuse_address{true}, failure);
        acceptor.bind(target, failure);
    }
    if (!failure) {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
        system_error ignored;
        acceptor.close(ignored);
        return tl::unexpected{
            listen_failure(local.address + ":" + std::to_string(local.port), failure)};
    }
    asio::co_spawn(state_->context, state_->accept(), asio::detached);
    return {};
}

std::uint16_t http_server::port() const {
    system_error ignored;
    return state_->acceptor.local_endpoint(ignored).port();
}

void http_server::set_limits(const http_server_limits& limits) {
    state_->limits = limits;
}

void http_server::begin_drain() {
    state_->is_draining = true;
    for (auto& session : state_->sessions) {
        session.close_if_reused();
    }
}

void http_server::stop_accepting() {
    if (state_->acceptor.is_open()) {
        state_->close_listener();
    }
    begin_drain();
}

void http_server::refuse_partial_requests() {
    for (auto& session : state_->sessions) {
        session.refuse_partial_request();
    }
}

void http_server::close() {
    state_->shut_down(cut_cause::server_closed);
}

void http_server::on_unanswered(std::function<void(const unanswered_request&)> handler) {
    state_->on_unanswered = std::move(handler);
}

void http_server::set_peer_filter(std::function<bool(const std::string& address)> is_admitted) {
    state_->is_admitted = std::move(is_admitted);
}

std::size_t http_server::active_requests() const {
    return state_->active;
}

std::size_t http_server::unread_bytes() const {
    return state_->unread_bytes;
}

std::size_t http_server::close_least_read() {
    auto& sessions = state_->sessions;
    const auto most = std::ranges::max_element(
        sessions, {}, [](const auto& session) { return session.unread_bytes(); });
    const auto bytes = most == sessions.end() ? 0 : most->unread_bytes();
    if (bytes > 0) {
        const boost::intrusive_ptr<http_session> session{&*most};
        session->give_up_output();
    }
    return bytes;
}

std::size_t http_server::partial_requests() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        state_->sessions, [](const auto& session) { return session.has_partial_request(); }));
}

} // namespace magnolia
