/// Simulated platform over HTTP, for fake-platform and for tests with sockets.
#pragma once

#include "http_server.h"
#include "platform_model.h"

#include <boost/asio/steady_timer.hpp>

#include <list>

namespace magnolia {

/// HTTP server of a platform_model, with /control/ requests that change its faults and hosts. Used
/// on the thread of the context only.
class platform_server {
public:
    platform_server(boost::asio::io_context& context, std::uint64_t seed);
    ~platform_server();
    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;

    [[nodiscard]] result<void> listen(const endpoint& listen_address);
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    [[nodiscard]] platform_model& model() { return model_; }

private:
    /// A watch without changes yet.
    struct pending_watch {
        object_watch call;
        http_responder responder;
        time_point end;
        time_point next_charge;
    };

    void handle(const http_request& request, const http_responder& responder);
    /// Encodes a reply with the epoch of the store.
    [[nodiscard]] http_response encode(const result<platform_reply>& reply);
    /// Handles a /control/ request.
    void handle_control(const http_request& request, const http_responder& responder);
    /// Executes a call and sends its reply as the model decides.
    void answer(const platform_call& call, const http_responder& responder);
    void send_after(const http_responder& responder, http_response response,
                    std::chrono::milliseconds delay);
    /// Closes the connection after the delay without a response.
    void abort_after(const http_responder& responder, std::chrono::milliseconds delay);
    void poll_watches();
    bool try_finish(pending_watch& watch, time_point now);
    void schedule_poll();

    boost::asio::io_context& context_;
    platform_model model_;
    http_server server_;
    std::list<pending_watch> watches_;
    /// Responders of calls that get no response; kept so that their connections stay open.
    std::list<http_responder> unanswered_calls_;
    /// Copy of the store that /control/restore returns to.
    object_store copy_;
    boost::asio::steady_timer poll_timer_;
};

} // namespace magnolia
