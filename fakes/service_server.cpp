#include "service_server.h"

#include "fake_control.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

namespace magnolia::fakes {

/// A service with its listener.
struct service_server::served_service {
    service_model model;
    std::unique_ptr<http_server> server;
    /// Stays the same after a crash and restart.
    std::uint16_t port = 0;
    bool is_up = true;
};

service_server::service_server(boost::asio::io_context& context, service_server_settings settings)
    : context_{context}, settings_{std::move(settings)} {
    for (std::uint32_t index = 0; index < settings_.services; ++index) {
        auto& added = *services_.emplace_back(std::make_unique<served_service>());
        added.server = std::make_unique<http_server>(
            context, http_server_limits{},
            [this, &added](const http_request& request, const auto& reply) {
                handle(added, request, reply);
            });
    }
    control_ = std::make_unique<http_server>(
        context, http_server_limits{},
        [this](const http_request& request, const auto& reply) { handle_control(request, reply); });
}

service_server::~service_server() = default;

result<void> service_server::listen() {
    for (std::size_t index = 0; index < services_.size(); ++index) {
        const auto port = settings_.first_port == 0 ? 0 : settings_.first_port + index;
        const endpoint where{settings_.address, static_cast<std::uint16_t>(port)};
        if (auto opened = services_[index]->server->listen(where); !opened) {
            return opened;
        }
        services_[index]->port = services_[index]->server->port();
    }
    return control_->listen({settings_.address, settings_.control_port});
}

std::uint16_t service_server::port(std::size_t service) const {
    return services_.at(service)->port;
}

std::uint16_t service_server::control_port() const {
    return control_->port();
}

service_model& service_server::model(std::size_t service) {
    return services_.at(service)->model;
}

void service_server::handle(served_service& service, const http_request& request,
                            const http_responder& responder) {
    if (!service.is_up) {
        responder.abort();
        return;
    }
    const std::string key{find_header(request.headers, "idempotency-key")};
    auto reply = service.model.call(target_path(request.target), request.body, key);
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, reply.delay);
    timer->async_wait([timer, reply = std::move(reply), responder](const auto&) {
        if (reply.status) {
            responder.send(json_response(*reply.status, reply.body));
        } else {
            responder.abort();
        }
    });
}

result<void> service_server::apply_fault(std::size_t service, std::string_view fault,
                                         std::uint32_t count) {
    if (service >= services_.size()) {
        return fail(error_code::not_found, std::to_string(service));
    }
    auto& target = *services_[service];
    auto faults = target.model.faults();
    if (fault == "crashes_before") {
        faults.crashes_before = count;
    } else if (fault == "lost_answers") {
        faults.lost_answers = count;
    } else if (fault == "vague_refusals") {
        faults.vague_refusals = count;
    } else if (fault == "refusals") {
        faults.refusals = count;
    } else if (fault == "delay") {
        target.model.set_delay(std::chrono::milliseconds{count});
    } else if (fault == "drain" || fault == "undrain") {
        target.model.set_draining(fault == "drain");
    } else if (fault == "crash") {
        target.is_up = false;
        target.server->close();
    } else if (fault == "restart") {
        target.is_up = true;
        return target.server->listen({settings_.address, target.port});
    } else {
        return fail(error_code::not_found, std::string{fault});
    }
    target.model.set_faults(faults);
    return {};
}

void service_server::handle_control(const http_request& request, const http_responder& responder) {
    if (request.method == "GET") {
        auto list = nlohmann::json::array();
        for (const auto& service : services_) {
            list.push_back({{"executions", service->model.executions()}});
        }
        responder.send(json_response(200, list.dump()));
        return;
    }
    const auto injection = parse_fault(request, "service");
    const auto applied = apply_fault(injection.target, injection.fault, injection.count);
    responder.send(applied ? json_response(200, "{}") : error_response(applied.error()));
}

} // namespace magnolia::fakes
