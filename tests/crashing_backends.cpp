#include "crashing_backends.h"

namespace magnolia {
namespace {

/// Time for which a backend server runs a request before it ends. Crashes at the same moment count
/// as one.
constexpr milliseconds run_time{60};

} // namespace

void crashing_backends::add_backends(const std::string& service, std::size_t count,
                                     std::function<bool(const http_request&)> is_crashing) {
    service_ = service;
    is_crashing_ = std::move(is_crashing);
    for (std::size_t backend = 0; backend < count; ++backend) {
        add_backend();
    }
}

void crashing_backends::add_backend() {
    const auto id = "b" + std::to_string(backends_.size());
    auto& added = backends_.emplace_back(backend{id, std::make_unique<test_backend>(context_)});
    const auto index = backends_.size() - 1;
    added.server->add_handler(
        [this, index](const http_request& request, const http_responder& responder) {
            on_request(index, request, responder);
        });
    write({"backends", id}, service_ + " 127.0.0.1:" + std::to_string(added.server->port()));
}

void crashing_backends::on_request(std::size_t index, const http_request& request,
                                   const http_responder& responder) {
    if (request.target == "/probe") {
        return responder.send({200, {}, {}});
    }
    if (!is_crashing_(request)) {
        return answer(request, responder);
    }
    ++crashing_requests_;
    if (service_ == "llm") {
        responder.start(200, {{"signature", "s"}, {"Content-Type", "text/event-stream"}});
    }
    const auto run = std::make_shared<boost::asio::steady_timer>(context_, run_time);
    run->async_wait([this, index, run, responder](const auto& /*failure*/) {
        backends_[index].server->close();
        // The entry of a backend server that has ended names a service that no route uses.
        write({"backends", backends_[index].id}, "none 127.0.0.1:1");
        add_backend();
    });
}

void crashing_backends::answer(const http_request& request, const http_responder& responder) const {
    const std::string attempt{find_header(request.headers, "attempt")};
    if (service_ != "llm") {
        return responder.send({200, {{"signature", "s"}, {"attempt", attempt}}, "ok"});
    }
    responder.start(200, {{"signature", "s"}, {"Content-Type", "text/event-stream"}});
    responder.write(event_text(1));
    responder.finish();
}

} // namespace magnolia
