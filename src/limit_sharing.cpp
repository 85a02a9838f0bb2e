#include "limit_sharing.h"

#include "rendezvous.h"

#include <algorithm>
#include <cmath>

namespace magnolia {
namespace {

/// Rate at which a backend server that wants no requests is tried, per second.
constexpr double min_limit = 0.1;

/// Equal parts of the rate for the users; 0 if the host is none of them.
double part_of(double rate, std::size_t users, std::string_view backend, std::string_view host,
               std::span<const std::string> hosts) {
    const auto chosen = rendezvous_choose(backend, hosts, users);
    const bool is_user = std::ranges::find(chosen, host) != chosen.end();
    return is_user ? rate / static_cast<double>(users) : 0;
}

/// Whole users for a wish, at least one and at most all hosts.
std::size_t users_for(double wish, std::size_t hosts) {
    const auto most = static_cast<double>(std::max<std::size_t>(hosts, 1));
    return static_cast<std::size_t>(std::clamp(std::floor(wish), 1.0, most));
}

} // namespace

double limit_share(double limit, std::string_view backend, std::string_view host,
                   std::span<const std::string> hosts) {
    const auto rate = std::max(limit, min_limit);
    return hosts.empty() ? rate
                         : part_of(rate, users_for(rate, hosts.size()), backend, host, hosts);
}

double bounded_share(const bounded_rate& rate, std::string_view backend, std::string_view host,
                     std::span<const std::string> hosts) {
    const auto users = users_for((rate.most_in_a_second - rate.requests_per_s) / 2, hosts.size());
    // A part and the request at once of each user stay within the bound.
    const auto most_rate =
        std::max(rate.most_in_a_second - static_cast<double>(users), rate.most_in_a_second / 2);
    return part_of(std::min(rate.requests_per_s, most_rate), users, backend, host, hosts);
}

} // namespace magnolia
