/// Member-wise arithmetic on amounts of requests, prompt tokens and generated tokens.
#pragma once

#include <magnolia/schema.h>

#include <algorithm>

namespace magnolia {

/// Applies `combine_one` to each pair of members.
template <class Combine>
[[nodiscard]] limit_amounts combine(const limit_amounts& a, const limit_amounts& b,
                                    Combine combine_one) {
    return {combine_one(a.requests, b.requests), combine_one(a.prompt, b.prompt),
            combine_one(a.generated, b.generated)};
}

[[nodiscard]] inline limit_amounts sum(const limit_amounts& a, const limit_amounts& b) {
    return combine(a, b, [](double x, double y) { return x + y; });
}

/// Returns max(0, a - b) for each member.
[[nodiscard]] inline limit_amounts excess(const limit_amounts& a, const limit_amounts& b) {
    return combine(a, b, [](double x, double y) { return std::max(0.0, x - y); });
}

[[nodiscard]] inline limit_amounts minimum(const limit_amounts& a, const limit_amounts& b) {
    return combine(a, b, [](double x, double y) { return std::min(x, y); });
}

[[nodiscard]] inline limit_amounts scaled(const limit_amounts& a, double factor) {
    return {a.requests * factor, a.prompt * factor, a.generated * factor};
}

/// Whether every member of `a` is at least that of `b`, with a tolerance for rounding errors of
/// sums.
[[nodiscard]] inline bool covers(const limit_amounts& a, const limit_amounts& b) {
    constexpr double tolerance = 1e-6;
    return a.requests + tolerance >= b.requests && a.prompt + tolerance >= b.prompt &&
           a.generated + tolerance >= b.generated;
}

[[nodiscard]] inline bool is_zero(const limit_amounts& a) {
    return covers({}, a);
}

} // namespace magnolia
