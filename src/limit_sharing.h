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

} // namespace magnolia
