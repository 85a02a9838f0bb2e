#include "route_policies.h"

#include <algorithm>
#include <limits>

namespace magnolia {
namespace {

/// Share of the time to the first-token deadline that a prompt may wait before it spills over to
/// engines reserved for short prompts.
constexpr double spill_share = 0.4;
/// Range of the tie break between equal engines, seconds. The order differs between entries, so
/// that entries that see the same idle engines do not all choose the same one.
constexpr double tie_break_span_s = 0.010;

/// An engine and the length, in tokens, of the longest prefix of the prompt that was sent to it.
struct cached_prefix {
    engine_handle engine;
    double tokens = 0;
};

/// Engines that were sent a prefix of the prompt, longest prefix first.
struct cached_prefixes {
    std::array<cached_prefix, 2 * prefix_table::ways> found{};
    std::size_t count = 0;

    [[nodiscard]] double tokens_on(engine_handle engine) const {
        const auto end = found.begin() + static_cast<std::ptrdiff_t>(count);
        const auto position = std::find_if(found.begin(), end, [engine](const cached_prefix& item) {
            return item.engine == engine;
        });
        return position == end ? 0 : position->tokens;
    }
};

/// Looks up the prefixes of the prompt, longest first.
cached_prefixes look_up(const prefix_table& table, const route_context& context) {
    cached_prefixes prefixes;
    const auto hashes = context.query.prefix_hashes;
    for (std::size_t index = hashes.size(); index-- > 0;) {
        const double tokens =
            static_cast<double>(prefix_bytes(index)) * context.model.tokens_per_byte;
        for (const auto engine : table.find(hashes[index]).engines) {
            if (!engine.is_valid() || prefixes.tokens_on(engine) > 0) {
                continue;
            }
            if (prefixes.count == prefixes.found.size()) {
                return prefixes;
            }
            prefixes.found[prefixes.count++] = {engine, tokens};
        }
    }
    return prefixes;
}

void keep_lower_score(candidate& best, const candidate& other) {
    if (!best.engine.is_valid() || other.score < best.score) {
        best = other;
    }
}

} // namespace

any_route_policy make_policy(route_policy policy) {
    switch (policy) {
    case route_policy::round_robin:
        return round_robin_policy{};
    case route_policy::least_outstanding:
        return least_outstanding_policy{};
    case route_policy::length_aware:
        break;
    }
    return length_aware_policy{};
}

candidate round_robin_policy::choose(router::state& state, const route_context& context) const {
    const auto& engines = context.model.engines;
    for (std::size_t tried = 0; tried < engines.size(); ++tried) {
        const auto handle = engines[context.model.next_index++ % engines.size()];
        const auto& engine = state.at(handle);
        if (state.is_usable(engine, context.query, context.now) &&
            engine.info.memory_tokens >= context.memory_tokens) {
            return state.predict(context, handle, 0);
        }
    }
    return {};
}

candidate least_outstanding_policy::choose(router::state& state,
                                           const route_context& context) const {
    candidate best;
    for (const auto handle : context.model.engines) {
        const auto& engine = state.at(handle);
        if (!state.is_usable(engine, context.query, context.now) ||
            engine.info.memory_tokens < context.memory_tokens) {
            continue;
        }
        auto item = state.predict(context, handle, 0);
        item.score = engine.outstanding;
        keep_lower_score(best, item);
    }
    return best;
}

candidate length_aware_policy::choose(router::state& state, const route_context& context) const {
    const auto& settings = state.settings_;
    const bool has_affinity = settings.prefix_affinity && !context.query.prefix_hashes.empty();
    const auto prefixes = has_affinity ? look_up(state.prefixes_, context) : cached_prefixes{};
    const auto home_prefix = has_affinity ? context.query.prefix_hashes.front() : 0;
    const double tokens = context.query.prompt_tokens;
    const double home_bonus_s =
        has_affinity
            ? context.model.costs.prefill_seconds(0, context.model.home_cached_share * tokens)
            : 0;
    const bool avoids_reserved =
        settings.length_classes && context.length != length_class::short_prompt;
    candidate preferred;
    candidate best_overall;
    candidate home;
    std::uint64_t home_weight = 0;
    auto index = context.sample_start;
    for (const auto handle : context.model.engines) {
        const auto& engine = state.at(handle);
        const bool is_sampled = engine.zone == 0 || index++ % context.stride == 0;
        if (!is_sampled || !state.is_usable(engine, context.query, context.now) ||
            engine.info.memory_tokens < context.memory_tokens) {
            continue;
        }
        auto item = state.predict(context, handle, prefixes.tokens_on(handle));
        const auto order = rendezvous_weight(state.entry_hash_, engine.name_hash);
        item.score += tie_break_span_s * static_cast<double>(order >> 32U) / 4294967296.0;
        keep_lower_score(best_overall, item);
        if (avoids_reserved && engine.is_reserved_for_short) {
            continue;
        }
        keep_lower_score(preferred, item);
        const auto weight =
            has_affinity && engine.zone == 0 ? rendezvous_weight(home_prefix, engine.name_hash) : 0;
        if (weight > home_weight) {
            home_weight = weight;
            home = item;
        }
    }
    // The home engine of the prefix gets a bonus for the tokens that it has probably cached.
    if (home.engine.is_valid()) {
        home.score -= home_bonus_s;
        keep_lower_score(preferred, home);
    }
    const bool fits_preferred =
        preferred.engine.is_valid() &&
        preferred.first_token_s <= spill_share * context.first_token_budget_s;
    return fits_preferred || best_overall.first_token_s >= preferred.first_token_s ? preferred
                                                                                   : best_overall;
}

} // namespace magnolia
