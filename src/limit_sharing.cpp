#include "limit_sharing.h"

#include "rendezvous.h"

#include <algorithm>
#include <cmath>

namespace magnolia {
namespace {

/// Rate at which a backend server that wants no requests is tried, per second.
constexpr double min_limit = 0.1;

} // namespace

double limit_share(double limit, std::string_view backend, std::string_view host,
                   std::span<const std::string> hosts) {
    const auto rate = std::max(limit, min_limit);
    const auto most = static_cast<double>(std::max<std::size_t>(hosts.size(), 1));
    const auto users = static_cast<std::size_t>(std::clamp(std::floor(rate), 1.0, most));
    if (hosts.empty()) {
        return rate;
    }
    const auto chosen = rendezvous_choose(backend, hosts, users);
    const bool is_user = std::ranges::find(chosen, host) != chosen.end();
    return is_user ? rate / static_cast<double>(users) : 0;
}

} // namespace magnolia
