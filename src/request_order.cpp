#include "request_order.h"

#include <algorithm>
#include <set>

namespace magnolia {
namespace {

std::set<std::uint32_t> urgencies_of(const route_info& route,
                                     const std::vector<workspace_info>& workspaces) {
    if (!route.needs_key || workspaces.empty()) {
        return {route.urgency};
    }
    std::set<std::uint32_t> urgencies;
    std::ranges::transform(
        workspaces, std::inserter(urgencies, urgencies.end()),
        [&](const auto& workspace) { return effective_urgency(route, &workspace); });
    return urgencies;
}

} // namespace

std::uint32_t effective_urgency(const route_info& route, const workspace_info* workspace) {
    return workspace != nullptr ? workspace->urgency.value_or(route.urgency) : route.urgency;
}

std::map<std::string, urgency_scale, std::less<>> urgency_scales(const routing_config& config) {
    std::map<std::string, std::set<std::uint32_t>, std::less<>> urgencies;
    for (const auto& service : config.services) {
        if (service.engine) {
            urgencies.try_emplace(service.name);
        }
    }
    for (const auto& route : config.routes) {
        const auto of_route = urgencies_of(route, config.workspaces);
        for (const auto& share : route.services) {
            if (const auto found = urgencies.find(share.service);
                found != urgencies.end() && share.weight > 0) {
                found->second.insert(of_route.begin(), of_route.end());
            }
        }
    }
    std::map<std::string, urgency_scale, std::less<>> scales;
    for (const auto& [service, values] : urgencies) {
        scales.emplace(service, urgency_scale{values.begin(), values.end()});
    }
    return scales;
}

std::string describe_urgencies(const routing_config& config) {
    std::string text;
    for (const auto& [service, scale] : urgency_scales(config)) {
        if (scale.size() < 2) {
            continue;
        }
        text += (text.empty() ? ", urgencies " : " ") + service;
        for (const auto urgency : scale) {
            text += (urgency == scale.front() ? ":" : "/") + std::to_string(urgency);
        }
    }
    return text;
}

} // namespace magnolia
