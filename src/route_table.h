/// Lookup of routes, workspaces and services in one version of the configuration.
#pragma once

#include "request_order.h"

#include <map>
#include <random>
#include <unordered_map>

namespace magnolia {

/// Index over one version of the configuration. The gateway replaces the table when a new version
/// arrives; each request uses the version with which it started. Immutable, therefore thread-safe.
/// Returned pointers are valid as long as the table.
class route_table {
public:
    explicit route_table(routing_config config);

    [[nodiscard]] std::uint64_t version() const { return config_.version; }
    [[nodiscard]] const routing_config& config() const { return config_; }

    /// Route of the host with the longest path prefix that matches; null if there is none. The case
    /// and the port of the host are ignored.
    [[nodiscard]] const route_info* find_route(std::string_view host, std::string_view path) const;
    /// Workspace that owns the API key; null if there is none.
    [[nodiscard]] const workspace_info* find_workspace(std::string_view key) const;
    /// Null if the configuration has no such service.
    [[nodiscard]] const routed_service* find_service(std::string_view name) const;
    /// Urgencies of the requests for the engines of the service; null if it has no engines.
    [[nodiscard]] const urgency_scale* find_urgencies(std::string_view service) const;
    /// Services of the route in a random order weighted by their shares; services of weight 0 are
    /// left out. A request uses the first one in this order that has a live backend server.
    [[nodiscard]] static std::vector<std::string> weighted_service_order(const route_info& route,
                                                                         std::mt19937_64& random);

private:
    routing_config config_;
    /// Routes by host in lower case; longest prefix first.
    std::unordered_map<std::string, std::vector<const route_info*>> routes_;
    /// By API key.
    std::unordered_map<std::string, const workspace_info*> workspaces_;
    std::unordered_map<std::string, const routed_service*> services_;
    std::map<std::string, urgency_scale, std::less<>> urgencies_;
};

} // namespace magnolia
