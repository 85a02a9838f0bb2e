/// Divides the limit that a backend server states for all hosts together. Pure.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace magnolia {

/// Requests per second that this host may send to the backend server. A part of less than one a
/// second for each host would be exceeded by the first request of each, so that no more hosts than
/// the limit has whole requests use the backend server, in equal parts; the others send none. Hosts
/// with the same list agree without communication.
/// @param limit  requests per second of all hosts together. Below a small rate it counts as that
///               rate, as only answers tell the end of a limit.
/// @param hosts  names of all hosts, this one included.
[[nodiscard]] double limit_share(double limit, std::string_view backend, std::string_view host,
                                 std::span<const std::string> hosts);

/// Rate that all hosts together may send to a backend server, kept within each second.
struct bounded_rate {
    double requests_per_s = 0;
    /// Most requests in any second.
    double most_in_a_second = 0;
};

/// As limit_share(), for a rate that has to hold in any second. Each user may send one request at
/// once besides its part, so that there are fewer users the nearer the bound is to the rate; half
/// of the distance is left to hosts with another list.
[[nodiscard]] double bounded_share(const bounded_rate& rate, std::string_view backend,
                                   std::string_view host, std::span<const std::string> hosts);

} // namespace magnolia
