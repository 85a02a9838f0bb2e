/// Lookups in one version of the configuration.
#pragma once

#include "forward_types.h"

#include <map>
#include <random>
#include <unordered_map>

namespace magnolia {

/// Index over a configuration; immutable.
class route_table {
public:
    explicit route_table(routing_config config);

    [[nodiscard]] std::uint64_t version() const { return config_.version; }
    [[nodiscard]] const routing_config& config() const { return config_; }

    /// Route of the host (in any case, a port is ignored) with the longest prefix of the path; null
    /// if there is none.
    [[nodiscard]] const route_info* find_route(std::string_view host, std::string_view path) const;
    /// Workspace that holds the key; null if none does.
    [[nodiscard]] const workspace_info* find_workspace(std::string_view key) const;
    [[nodiscard]] const routed_service* find_service(std::string_view name) const;
    /// Services of the route in the order in which they are tried: the first one drawn by weight.
    [[nodiscard]] static std::vector<std::string> weighted_service_order(const route_info& route,
                                                                         std::mt19937_64& random);

private:
    routing_config config_;
    /// Routes by host in lower case, the longest prefix first.
    std::unordered_map<std::string, std::vector<const route_info*>> routes_;
    std::unordered_map<std::string, const workspace_info*> workspaces_;
    std::unordered_map<std::string, const routed_service*> services_;
};

} // namespace magnolia
