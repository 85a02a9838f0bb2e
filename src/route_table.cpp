#include "route_table.h"

#include <boost/algorithm/string/case_conv.hpp>

#include <algorithm>
#include <numeric>

namespace magnolia {
namespace {

/// Host name without its port, in lower case.
std::string host_key(std::string_view host) {
    return boost::to_lower_copy(std::string{host.substr(0, host.find(':'))});
}

} // namespace

route_table::route_table(routing_config config) : config_{std::move(config)} {
    for (const auto& route : config_.routes) {
        routes_[host_key(route.host)].push_back(&route);
    }
    for (auto& [host, routes] : routes_) {
        std::ranges::stable_sort(routes, std::ranges::greater{},
                                 [](const auto* route) { return route->path_prefix.size(); });
    }
    for (const auto& workspace : config_.workspaces) {
        for (const auto& key : workspace.keys) {
            workspaces_.emplace(key, &workspace);
        }
    }
    for (const auto& service : config_.services) {
        services_.emplace(service.name, &service);
    }
    urgencies_ = urgency_scales(config_);
}

const route_info* route_table::find_route(std::string_view host, std::string_view path) const {
    const auto found = routes_.find(host_key(host));
    if (found == routes_.end()) {
        return nullptr;
    }
    const auto match = std::ranges::find_if(
        found->second, [path](const auto* route) { return path.starts_with(route->path_prefix); });
    return match == found->second.end() ? nullptr : *match;
}

const workspace_info* route_table::find_workspace(std::string_view key) const {
    const auto found = workspaces_.find(std::string{key});
    return found == workspaces_.end() ? nullptr : found->second;
}

const routed_service* route_table::find_service(std::string_view name) const {
    const auto found = services_.find(std::string{name});
    return found == services_.end() ? nullptr : found->second;
}

const urgency_scale* route_table::find_urgencies(std::string_view service) const {
    const auto found = urgencies_.find(service);
    return found == urgencies_.end() ? nullptr : &found->second;
}

std::vector<std::string> route_table::weighted_service_order(const route_info& route,
                                                             std::mt19937_64& random) {
    std::vector<std::string> order;
    auto remaining = route.services;
    while (!remaining.empty()) {
        const auto total =
            std::accumulate(remaining.begin(), remaining.end(), std::uint64_t{0},
                            [](std::uint64_t sum, const auto& item) { return sum + item.weight; });
        if (total == 0) {
            // Only services of weight 0 remain; these get no requests.
            break;
        }
        auto draw = std::uniform_int_distribution<std::uint64_t>{0, total - 1}(random);
        const auto drawn = std::ranges::find_if(remaining, [&draw](const auto& item) {
            if (draw < item.weight) {
                return true;
            }
            draw -= item.weight;
            return false;
        });
        order.push_back(drawn->service);
        remaining.erase(drawn);
    }
    return order;
}

} // namespace magnolia
