/// Policies for choosing one engine. make_policy() returns the configured one as a variant.
#pragma once

#include "router_p.h"

#include <variant>

namespace magnolia {

/// Round robin over the engines whose memory can hold the prompt.
struct round_robin_policy {
    [[nodiscard]] candidate choose(router::state& state, const route_context& context) const;
};

/// Engine with the fewest outstanding requests.
struct least_outstanding_policy {
    [[nodiscard]] candidate choose(router::state& state, const route_context& context) const;
};

/// Engine with the earliest predicted first token; keeps longer prompts off the engines reserved
/// for short ones, and prefers engines that probably cache a prefix of the prompt.
struct length_aware_policy {
    [[nodiscard]] candidate choose(router::state& state, const route_context& context) const;
};

using any_route_policy =
    std::variant<round_robin_policy, least_outstanding_policy, length_aware_policy>;

/// Policy object for a configured policy.
[[nodiscard]] any_route_policy make_policy(route_policy policy);

} // namespace magnolia
