#include "linked_hosts.h"

namespace magnolia {
namespace {

/// Time between two requests of the test's callers.
constexpr milliseconds request_interval{10};

void answer(const http_request& request, const http_responder& responder) {
    if (!request.target.starts_with("/stream/")) {
        return respond_with(200)(request, responder);
    }
    stream_events({1, 2}, true)(request, responder);
}

} // namespace

result<backend_info> linked_codec::read_backend(const std::string& id,
                                                std::string_view value) const {
    auto backend = test_codec::read_backend(id, value);
    if (backend && links_.contains(backend->address.port)) {
        backend->address.port = links_.at(backend->address.port);
    }
    return backend;
}

linked_hosts::linked_hosts() : handler_{answer} {}

std::size_t linked_hosts::request_count(const std::string& service) const {
    std::size_t count = 0;
    for (const auto& [id, server] : servers_) {
        count += server.service == service ? server.backend->requests().size() : 0;
    }
    return count;
}

void linked_hosts::cut_first_host(fakes::link_fault fault) {
    set_links(0, fault);
    poll([this] {
        static_cast<void>(get(gateways_.front()->settings().listen.port, "/safe/"));
        return gateways_.front()->metrics().find("magnolia_unreachable_services 2\n") !=
               std::string::npos;
    });
}

void linked_hosts::start_hosts(std::size_t count) {
    for (const auto* service : {"desk", "llm"}) {
        for (std::size_t index = 1; index <= servers_per_service; ++index) {
            const auto id = service + std::to_string(index);
            auto backend = std::make_unique<test_backend>(context_);
            backend->add_handler(
                [this](const http_request& request, const http_responder& responder) {
                    handler_(request, responder);
                });
            put("backends", id,
                std::string{service} + " 127.0.0.1:" + std::to_string(backend->port()));
            servers_.emplace(id, linked_server{service, std::move(backend)});
        }
    }
    for (std::size_t index = 1; index <= count; ++index) {
        auto& added = hosts_.emplace_back();
        std::map<std::uint16_t, std::uint16_t> ports;
        for (const auto& [id, server] : servers_) {
            const endpoint target{"127.0.0.1", server.backend->port()};
            auto link = std::make_unique<fakes::delay_link>(
                context_, fakes::delay_link_settings{.listen = {}, .target = target});
            ASSERT_TRUE(link->listen());
            ports.emplace(target.port, link->port());
            added.links.emplace(id, std::move(link));
        }
        added.codec = std::make_unique<linked_codec>(std::move(ports));
        start_gateway("g" + std::to_string(index), store_codec_, added.codec.get());
    }
    wait_for_peers();
}

void linked_hosts::set_links(std::size_t host, fakes::link_fault fault,
                             const std::string& service) {
    const auto set_all = [&](fakes::link_fault next) {
        for (auto& [id, link] : hosts_.at(host).links) {
            if (service.empty() || servers_.at(id).service == service) {
                ASSERT_TRUE(link->set_fault(next));
            }
        }
    };
    if (fault == fakes::link_fault::reset) {
        // The gateway runs meanwhile: a request whose connection is reset must not find a link that
        // is still whole, as one cut takes them all.
        set_all(fakes::link_fault::refuse_new);
    }
    set_all(fault);
}

std::size_t linked_hosts::unserved(duration span) {
    std::size_t count = 0;
    for (const auto* target : {"/safe/", "/unsafe/", "/stream/"}) {
        const auto load = send_until(steady_now() + span, request_interval, target);
        count += load.sent - load.served;
    }
    return count;
}

void linked_hosts::pass_time(duration span) {
    constexpr int rounds = 3;
    for (int round = 0; round < rounds; ++round) {
        static_cast<void>(unserved(span / (rounds * 3)));
    }
}

} // namespace magnolia
