/// Order of the requests that compete for the engines of a service: urgency first, where the
/// configuration states urgencies that differ. Pure; used by forward_call.
#pragma once

#include "forward_types.h"

#include <map>
#include <string>
#include <vector>

namespace magnolia {

/// Urgency of a request: that of its workspace if it states one, else that of its route. 0 is the
/// most urgent.
/// @param workspace  null if the request has none.
[[nodiscard]] std::uint32_t effective_urgency(const route_info& route,
                                              const workspace_info* workspace);

/// The urgencies that requests for the engines of one service can have, the most urgent first.
using urgency_scale = std::vector<std::uint32_t>;

/// Scales by service, of services with engines only. A scale of one urgency orders nothing.
[[nodiscard]] std::map<std::string, urgency_scale, std::less<>>
urgency_scales(const routing_config& config);

/// For the log: the scales that order requests, as ", urgencies SERVICE:URGENCY/URGENCY ..."; empty
/// if there are none.
[[nodiscard]] std::string describe_urgencies(const routing_config& config);

} // namespace magnolia
