/// The platform over HTTP, for fake-platform and for tests with sockets.
#pragma once

#include "http_server.h"
#include "platform_model.h"

#include <boost/asio/steady_timer.hpp>

#include <list>

namespace magnolia {

/// Serves a platform_model. All members are called on the context's thread.
class platform_server {
public:
    platform_server(boost::asio::io_context& context, std::uint64_t seed);
    ~platform_server();
    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;

    [[nodiscard]] result<void> listen(const endpoint& where);
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    [[nodiscard]] platform_model& model() { return model_; }

private:
    struct waiting_watch {
        object_watch call;
        http_responder responder;
        time_point end;
        time_point next_charge;
    };

    void handle(const http_request& request, const http_responder& responder);
    void handle_control(const http_request& request, const http_responder& responder);
    void answer(const platform_call& call, const http_responder& responder);
    void send_later(const http_responder& responder, http_response response,
                    std::chrono::milliseconds delay);
    void abort_later(const http_responder& responder, std::chrono::milliseconds delay);
    void serve_watches();
    bool serve(waiting_watch& watch, time_point now);
    void schedule_tick();

    boost::asio::io_context& context_;
    platform_model model_;
    http_server server_;
    std::list<waiting_watch> watches_;
    /// Calls that are never answered; kept so that their connections stay open.
    std::list<http_responder> hanging_;
    boost::asio::steady_timer tick_;
};

} // namespace magnolia
