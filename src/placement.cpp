#include "placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <numeric>
#include <optional>
#include <ranges>

namespace magnolia {
namespace {

/// Numbers of engines to consider for a split prefill. A backend server accepts at most 15 helpers.
constexpr std::array<std::size_t, 8> split_counts{1, 2, 3, 4, 6, 8, 12, 16};
/// Shorter prefills are not split, as a share costs each helper a pass.
constexpr double min_split_prefill_ms = 100;

// Costs are in units of value; a short request is worth 1.

/// Latency and traffic charges of another zone.
constexpr double other_zone_cost = 0.03;
/// Cost of the call to each engine that takes part.
constexpr double engine_call_cost = 0.01;
/// Cost of an engine whose slots are all in use; grows with the square of the load.
constexpr double load_cost = 0.15;
/// Cost of one of the last free slots: the next request waits until one is free and is late. It is
/// charged in full when no slot is free, from zero when this share of the slots is free.
constexpr double scarce_slots_cost = 0.5;
constexpr double scarce_slots_share = 0.2;
/// Cost of the last slot of an engine, which another gateway may take at the same time.
constexpr double last_slot_race_cost = 0.1;
/// Predicted times deviate by up to about this share in either direction.
constexpr double prediction_spread = 0.2;
/// Share of an engine's memory to fill. The rest is for answers that get longer than expected.
constexpr double max_memory_fill = 0.95;
/// Memory that a reservation leaves free for other requests on each engine.
constexpr std::int64_t reservation_headroom_tokens = 45'000;
/// Cost of placing a short prompt on an engine reserved for long ones, where it will be delayed.
constexpr double long_engine_penalty = 0.4;
/// Cost of each share of a long prompt on an engine for short ones, as it delays those that follow.
constexpr double short_engine_penalty = 0.15;
/// Cost of an engine whose short prompts are not known; for a long prompt they are estimated.
constexpr double unknown_load_cost = 0.06;
constexpr double estimated_load_cost = 0.01;
/// Random cost that breaks near ties, so that hosts do not all choose the same engine.
constexpr double jitter_cost = 0.01;

constexpr double ms_per_second = 1000;

double to_seconds(duration span) {
    return std::chrono::duration<double>{span}.count();
}

/// Suggests to retry when capacity is expected at `free_at`, at least 50 ms from now.
error no_capacity(time_point free_at, time_point now) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(free_at - now);
    return {error_code::no_capacity, "no backend server has capacity",
            std::max(wait, std::chrono::milliseconds{50})};
}

/// Load of a candidate, in units of its slots; lower is better.
double outstanding_score(const placement_candidate& candidate) {
    constexpr double other_zone_load = 0.5;
    return static_cast<double>(candidate.open_calls) / std::max(1U, candidate.slots) +
           (candidate.is_own_zone ? 0 : other_zone_load) + candidate.failure_rate;
}

/// Probability of missing a target whose predicted time is `ratio` times the target.
double miss_probability(double ratio) {
    return std::clamp((ratio - (1 - prediction_spread)) / (2 * prediction_spread), 0.0, 1.0);
}

/// Cost of one engine that prefills one share.
struct engine_cost {
    const placement_candidate* candidate = nullptr;
    double cost = 0;
    /// Additional cost if the engine also decodes the answer.
    double decode_cost = 0;
    time_point prefill_end{};
    /// It has the memory and a free slot to decode the answer.
    bool can_decode = false;
};

/// One run of pause_aware_placement: searches the cheapest set of engines for a request.
///
/// The cost of a set is the expected loss of the request's own value by latency, plus the decode
/// cost of the engine that decodes, plus the cost of each engine: the loss that the prefill imposes
/// on its other jobs, and penalties for calls, other zones, failures and the wrong partition. A
/// long prompt is also charged for the short requests that it displaces. Net value is the remaining
/// value minus this cost.
class placement_search {
public:
    placement_search(const placement_query& query, std::span<const placement_candidate> candidates,
                     time_point now, std::mt19937_64& random)
        : query_{query}, candidates_{candidates}, now_{now}, random_{random} {}

    [[nodiscard]] result<placement_choice> run();

private:
    /// Costs of all engines if `count` of them prefill a share each, cheapest first.
    [[nodiscard]] std::vector<engine_cost> score_engines(const prefill_share& share,
                                                         std::size_t count) const;
    /// Value that the request can still gain.
    [[nodiscard]] double remaining_value() const;
    /// Expected loss of the request's own value if its first event is at this time.
    [[nodiscard]] double latency_loss(time_point first_event) const;
    /// Cost of decoding there: load, scarce slots, and the risk that passes exceed the pause
    /// target.
    [[nodiscard]] double decode_cost(const placement_candidate& candidate) const;
    /// Expected loss of other requests by one slot less.
    [[nodiscard]] double slot_scarcity_cost() const;
    /// Expected loss of short requests while `engines` of their engines prefill a share each.
    [[nodiscard]] double displacement_loss(std::size_t engines, const prefill_share& share) const;
    /// KV memory for prompt and answer, tokens.
    [[nodiscard]] std::uint32_t required_memory() const;
    /// Considers `count` engines that split the prefill, one of which holds and decodes everything.
    void evaluate_split(std::size_t count);
    /// Considers `count` engines that split the prefill and hold the memory together.
    void evaluate_reserved_split(std::size_t count);
    /// Makes these engines, the first of which decodes, the best choice if they are the cheapest so
    /// far.
    bool accept_if_cheaper(std::span<const engine_cost> costs, const prefill_share& share);
    /// Time at which the first request on any engine is expected to be complete.
    [[nodiscard]] time_point earliest_capacity() const;

    const placement_query& query_;
    std::span<const placement_candidate> candidates_;
    time_point now_;
    std::mt19937_64& random_;
    double slot_scarcity_cost_ = slot_scarcity_cost();
    double best_cost_ = std::numeric_limits<double>::infinity();
    placement_choice best_;
};

std::uint32_t placement_search::required_memory() const {
    return query_.demand.prompt_tokens + query_.demand.answer_tokens;
}

double placement_search::remaining_value() const {
    return query_.demand.value * (query_.demand.is_late ? 1 - late_loss_share : 1);
}

double placement_search::latency_loss(time_point first_event) const {
    const auto& demand = query_.demand;
    const auto wait = first_event - now_;
    if (wait > query_.time_left) {
        return remaining_value();
    }
    if (demand.is_late) {
        return 0;
    }
    const double target = std::max(to_seconds(demand.target_latency), 0.001);
    const double ratio = to_seconds(wait) / target;
    return demand.value *
           (late_loss_share * miss_probability(ratio) + delay_loss(wait, demand.target_latency));
}

double placement_search::slot_scarcity_cost() const {
    double slots = 0;
    double free = 0;
    for (const auto& candidate : candidates_) {
        if (!candidate.is_reserved_for_long) {
            slots += candidate.slots;
            free +=
                candidate.slots - std::min(candidate.slots, candidate.forecast->request_count());
        }
    }
    return slots > 0
               ? scarce_slots_cost * std::clamp(1 - free / (slots * scarce_slots_share), 0.0, 1.0)
               : 0;
}

double placement_search::displacement_loss(std::size_t engines, const prefill_share& share) const {
    const auto takes_short_prompts = [](const placement_candidate& candidate) {
        return !candidate.is_reserved_for_long && !candidate.forecast->has_long_prefill();
    };
    const auto available =
        static_cast<double>(std::ranges::count_if(candidates_, takes_short_prompts));
    const auto used = static_cast<double>(engines);
    const double missing = std::clamp(query_.short_load.engines - (available - used), 0.0, used);
    const double prefill_seconds =
        engine_forecast::prefill_ms(candidates_.front().forecast->profile(), share) / ms_per_second;
    return missing * prefill_seconds * query_.short_load.value_per_engine_second * late_loss_share;
}

double placement_search::decode_cost(const placement_candidate& candidate) const {
    const auto& forecast = *candidate.forecast;
    const double load =
        static_cast<double>(forecast.request_count()) / std::max(1U, candidate.slots);
    const double pause =
        query_.demand.is_late
            ? 0
            : std::chrono::duration<double, std::milli>{query_.demand.target_pause}.count();
    const double pass = forecast.decode_pass_ms(query_.demand.prompt_tokens);
    const double ratio = pause > 0 ? pass / pause : 0;
    const bool is_last_slot = forecast.request_count() + 1 >= candidate.slots;
    return load_cost * load * load + (candidate.is_reserved_for_long ? 0 : slot_scarcity_cost_) +
           (is_last_slot ? last_slot_race_cost : 0) +
           query_.demand.value * late_loss_share * miss_probability(ratio);
}

std::vector<engine_cost> placement_search::score_engines(const prefill_share& share,
                                                         std::size_t count) const {
    std::uniform_real_distribution<double> jitter{0, jitter_cost};
    engine_job job;
    job.prefill = share;
    job.is_helper = count > 1;
    job.target_latency = query_.demand.target_latency;
    job.target_pause = query_.demand.target_pause;
    job.time_limit = query_.demand.time_limit;
    job.value = query_.demand.value;
    job.is_late = query_.demand.is_late;
    std::vector<engine_cost> costs;
    costs.reserve(candidates_.size());
    const bool is_long = engine_partition::is_long(
        candidates_.front().forecast->profile(), prefill_share::of(query_.demand.prompt_tokens, 1));
    for (const auto& candidate : candidates_) {
        auto& forecast = *candidate.forecast;
        const auto effect = forecast.simulate_job(job, now_);
        const double partition_cost =
            is_long && !candidate.is_reserved_for_long   ? short_engine_penalty
            : !is_long && candidate.is_reserved_for_long ? long_engine_penalty
                                                         : 0;
        const auto slot_at = forecast.slot_free_at(now_);
        const auto memory = static_cast<double>(forecast.free_memory()) -
                            (1 - max_memory_fill) * forecast.profile().memory_tokens;
        costs.push_back({.candidate = &candidate,
                         .cost = effect.imposed_loss + engine_call_cost + jitter(random_) +
                                 partition_cost + candidate.failure_rate * query_.demand.value +
                                 (candidate.is_own_zone ? 0 : other_zone_cost) +
                                 (candidate.is_well_known ? 0
                                  : is_long               ? estimated_load_cost
                                                          : unknown_load_cost),
                         .decode_cost = decode_cost(candidate),
                         .prefill_end = std::max(effect.prefill_end, slot_at),
                         .can_decode = memory >= required_memory() && slot_at <= now_});
    }
    std::ranges::sort(costs, {}, &engine_cost::cost);
    return costs;
}

void placement_search::evaluate_split(std::size_t count) {
    const auto share = prefill_share::of(query_.demand.prompt_tokens, count);
    auto costs = score_engines(share, count);
    const auto decoder = std::ranges::min_element(costs, {}, [&](const engine_cost& item) {
        return item.can_decode ? item.cost + item.decode_cost + latency_loss(item.prefill_end)
                               : std::numeric_limits<double>::infinity();
    });
    if (decoder == costs.end() || !decoder->can_decode) {
        return;
    }
    std::rotate(costs.begin(), decoder, decoder + 1);
    costs.resize(std::min(count, costs.size()));
    accept_if_cheaper(costs, share);
}

bool placement_search::accept_if_cheaper(std::span<const engine_cost> costs,
                                         const prefill_share& share) {
    const auto first_event = std::ranges::max(costs, {}, &engine_cost::prefill_end).prefill_end;
    const auto short_engines = static_cast<std::size_t>(std::ranges::count_if(
        costs, [](const auto& item) { return !item.candidate->is_reserved_for_long; }));
    const bool is_long = engine_partition::is_long(
        candidates_.front().forecast->profile(), prefill_share::of(query_.demand.prompt_tokens, 1));
    const double displaced = is_long ? displacement_loss(short_engines, share) : 0;
    const double cost =
        std::accumulate(costs.begin(), costs.end(),
                        costs.front().decode_cost + latency_loss(first_event) + displaced,
                        [](double sum, const engine_cost& item) { return sum + item.cost; });
    if (cost >= best_cost_) {
        return false;
    }
    best_cost_ = cost;
    best_.net_value = remaining_value() - cost;
    best_.first_event = first_event;
    best_.share = share;
    best_.members.clear();
    for (const auto& item : costs) {
        best_.members.push_back({item.candidate->index, 0});
    }
    return true;
}

void placement_search::evaluate_reserved_split(std::size_t count) {
    const auto share = prefill_share::of(query_.demand.prompt_tokens, count);
    auto costs = score_engines(share, count);
    const auto reservable_memory = [](const engine_cost& item) {
        return std::max<std::int64_t>(
            item.candidate->forecast->free_memory() - reservation_headroom_tokens, 0);
    };
    // Starts with the cheapest `count` engines, and replaces those with the least memory by the
    // next cheapest ones until the request fits.
    std::int64_t memory = 0;
    for (const auto& item : costs | std::views::take(count)) {
        memory += reservable_memory(item);
    }
    const auto last = costs.begin() + static_cast<std::ptrdiff_t>(count);
    for (auto next = last; next != costs.end() && memory < required_memory(); ++next) {
        const auto least = std::ranges::min_element(costs.begin(), last, {}, reservable_memory);
        if (reservable_memory(*next) > reservable_memory(*least)) {
            memory += reservable_memory(*next) - reservable_memory(*least);
            std::iter_swap(least, next);
        }
    }
    if (memory < required_memory()) {
        return;
    }
    costs.resize(count);
    std::ranges::sort(costs, std::ranges::greater{}, reservable_memory);
    if (!accept_if_cheaper(costs, share)) {
        return;
    }
    std::int64_t remaining = required_memory();
    for (std::size_t index = 0; index < count; ++index) {
        const auto reserved =
            std::clamp<std::int64_t>(remaining, 0, reservable_memory(costs[index]));
        remaining -= reserved;
        best_.members[index].reserved_tokens = static_cast<std::uint32_t>(reserved);
    }
}

time_point placement_search::earliest_capacity() const {
    auto first = time_point::max();
    for (const auto& candidate : candidates_) {
        first = std::min(first, candidate.forecast->earliest_completion(now_));
    }
    return first == time_point::max() ? now_ : first;
}

result<placement_choice> placement_search::run() {
    const auto largest = std::ranges::max(candidates_, {}, [](const auto& candidate) {
                             return candidate.forecast->profile().memory_tokens;
                         }).forecast->profile();
    const double prompt_ms =
        engine_forecast::prefill_ms(largest, prefill_share::of(query_.demand.prompt_tokens, 1));
    const bool fits_one = required_memory() <= max_memory_fill * largest.memory_tokens;
    for (const auto count : split_counts) {
        const bool is_useful = count == 1 || prompt_ms >= min_split_prefill_ms;
        if (fits_one && is_useful && count <= candidates_.size()) {
            evaluate_split(count);
        }
    }
    // The request exceeds the memory of any engine, or what is free on each.
    const bool needs_several = best_.members.empty() && prompt_ms > max_short_prefill_ms;
    for (const auto count : split_counts) {
        if (needs_several && count > 1 && count <= candidates_.size()) {
            evaluate_reserved_split(count);
        }
    }
    if (best_.members.empty()) {
        return tl::unexpected{no_capacity(earliest_capacity(), now_)};
    }
    return best_;
}

} // namespace

result<placement_choice>
round_robin_placement::choose(const placement_query& /*query*/,
                              std::span<const placement_candidate> candidates, time_point now,
                              std::mt19937_64& /*random*/) {
    if (candidates.empty()) {
        return tl::unexpected{no_capacity(now, now)};
    }
    const auto& candidate = candidates[next_++ % candidates.size()];
    return placement_choice{{{candidate.index, 0}}, prefill_share{}, now, 1};
}

result<placement_choice>
least_outstanding_placement::choose(const placement_query& /*query*/,
                                    std::span<const placement_candidate> candidates, time_point now,
                                    std::mt19937_64& random) {
    if (candidates.empty()) {
        return tl::unexpected{no_capacity(now, now)};
    }
    std::uniform_real_distribution<double> jitter{0, jitter_cost};
    std::vector<double> scores;
    scores.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        scores.push_back(outstanding_score(candidate) + jitter(random));
    }
    const auto best = std::ranges::min_element(scores) - scores.begin();
    return placement_choice{
        {{candidates[static_cast<std::size_t>(best)].index, 0}}, prefill_share{}, now, 1};
}

result<placement_choice>
pause_aware_placement::choose(const placement_query& query,
                              std::span<const placement_candidate> candidates, time_point now,
                              std::mt19937_64& random) {
    const bool has_forecasts =
        !candidates.empty() &&
        std::ranges::all_of(candidates, [](const auto& item) { return item.forecast != nullptr; });
    if (!has_forecasts) {
        return least_outstanding_placement{}.choose(query, candidates, now, random);
    }
    return placement_search{query, candidates, now, random}.run();
}

any_placement make_placement(placement_policy policy) {
    switch (policy) {
    case placement_policy::round_robin:
        return round_robin_placement{};
    case placement_policy::least_outstanding:
        return least_outstanding_placement{};
    case placement_policy::pause_aware:
        break;
    }
    return pause_aware_placement{};
}

} // namespace magnolia
