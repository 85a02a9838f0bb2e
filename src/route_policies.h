/// Ways to choose one engine; held in a variant by the router.
#pragma once

#include "router_p.h"

#include <variant>

namespace magnolia {

/// Next engine in turn that has memory for the prompt.
struct round_robin_policy {
    [[nodiscard]] candidate choose(router::state& state, const route_context& context) const;
};

/// Engine with the fewest requests under way.
struct least_outstanding_policy {
    [[nodiscard]] candidate choose(router::state& state, const route_context& context) const;
};

/// Engine with the earliest predicted first token, with short prompts kept apart from long ones.
struct length_aware_policy {
    [[nodiscard]] candidate choose(router::state& state, const route_context& context) const;
};

using any_route_policy =
    std::variant<round_robin_policy, least_outstanding_policy, length_aware_policy>;

[[nodiscard]] any_route_policy make_policy(route_policy policy);

} // namespace magnolia
