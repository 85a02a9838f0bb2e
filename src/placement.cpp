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

/// Engines that may share a reading; a backend server takes at most 15 helpers beside itself.
constexpr std::array<std::size_t, 8> sharing_counts{1, 2, 3, 4, 6, 8, 12, 16};
/// Prompts that are read in less time are not divided, ms: a part costs a pass at each helper.
constexpr double least_divided_ms = 100;
/// Value lost by another zone's longer way and its price.
constexpr double other_zone_cost = 0.03;
/// Value lost by each engine that takes part in a reading: the work of asking it.
constexpr double member_cost = 0.01;
/// Value lost on an engine whose slots are all taken.
constexpr double load_cost = 0.15;
/// Value lost by taking one of the last slots: a request that comes next waits until one is free,
/// and is late. It counts in full once fewer than this share of the slots are free.
constexpr double last_slots_cost = 0.5;
constexpr double scarce_slots_share = 0.2;
/// Value lost by taking the last slot of an engine: another gateway may take it at the same time.
constexpr double shared_slot_cost = 0.1;
/// Predicted times are off by about this share either way.
constexpr double prediction_spread = 0.2;
/// Share of an engine's memory that is filled; the rest is left to answers longer than expected.
constexpr double memory_fill = 0.95;
/// Memory of a reservation that other requests should find free on each engine, tokens.
constexpr std::int64_t memory_left_free = 45'000;
/// Value lost by a short prompt on an engine that is kept for long ones: it will be held up.
constexpr double kept_cost = 0.4;
/// Value lost by each part of a long prompt on an engine for short ones: those that come next.
constexpr double unkept_cost = 0.15;
/// Differences below this are drawn at random, so that hosts do not choose alike.
constexpr double jitter_cost = 0.01;

constexpr double ms_per_second = 1000;

double to_seconds(duration span) {
    return std::chrono::duration<double>{span}.count();
}

error no_capacity(time_point free_at, time_point now) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(free_at - now);
    return {error_code::no_capacity, "no backend server",
            std::max(wait, std::chrono::milliseconds{50})};
}

double outstanding_score(const placement_candidate& option) {
    constexpr double other_zone_slots = 0.5;
    return static_cast<double>(option.open_calls) / std::max(1U, option.slots) +
           (option.is_own_zone ? 0 : other_zone_slots) + option.failure_share;
}

/// Probability that a time that is predicted as `ratio` targets misses the target.
double miss_probability(double ratio) {
    return std::clamp((ratio - (1 - prediction_spread)) / (2 * prediction_spread), 0.0, 1.0);
}

/// Cost of one engine as a reader of one part.
struct part_cost {
    const placement_candidate* option = nullptr;
    double cost = 0;
    /// Cost beyond `cost` if the answer is written there.
    double writer_cost = 0;
    time_point read_end{};
    bool can_write = false;
};

/// One evaluation of a request over all engines.
class pause_search {
public:
    pause_search(const placement_query& query, std::span<const placement_candidate> options,
                 time_point now, std::mt19937_64& random)
        : query_{query}, options_{options}, now_{now}, random_{random} {}

    [[nodiscard]] result<placement_choice> run();

private:
    [[nodiscard]] std::vector<part_cost> price_parts(const prefill_share& part,
                                                     std::size_t count) const;
    /// Value that can still be gained.
    [[nodiscard]] double stake() const;
    [[nodiscard]] double own_cost(time_point first_event) const;
    [[nodiscard]] double writer_cost(const placement_candidate& option) const;
    /// Value that others lose by one slot less.
    [[nodiscard]] double slot_price() const;
    /// Value that short prompts lose while `engines` of those for them read parts.
    [[nodiscard]] double displaced_cost(std::size_t engines, const prefill_share& part) const;
    [[nodiscard]] std::uint32_t memory_needed() const;
    void consider(std::size_t count);
    void consider_reserved(std::size_t count);
    /// Takes these readers, the first of which writes, if they are the cheapest so far.
    bool offer(std::span<const part_cost> parts, const prefill_share& part);
    [[nodiscard]] time_point first_room() const;

    const placement_query& query_;
    std::span<const placement_candidate> options_;
    time_point now_;
    std::mt19937_64& random_;
    double slot_price_ = slot_price();
    double best_cost_ = std::numeric_limits<double>::infinity();
    placement_choice best_;
};

std::uint32_t pause_search::memory_needed() const {
    return query_.demand.prompt_tokens + query_.demand.answer_tokens;
}

double pause_search::stake() const {
    return query_.demand.value * (query_.demand.is_late ? 1 - late_loss : 1);
}

double pause_search::own_cost(time_point first_event) const {
    const auto& demand = query_.demand;
    const auto wait = first_event - now_;
    if (wait > query_.time_left) {
        return stake();
    }
    if (demand.is_late) {
        return 0;
    }
    const double target = std::max(to_seconds(demand.target_latency), 0.001);
    const double ratio = to_seconds(wait) / target;
    return demand.value *
           (late_loss * miss_probability(ratio) + delay_loss(wait, demand.target_latency));
}

double pause_search::slot_price() const {
    double slots = 0;
    double free = 0;
    for (const auto& option : options_) {
        if (!option.is_reserved_for_long) {
            slots += option.slots;
            free += option.slots - std::min(option.slots, option.forecast->running());
        }
    }
    return slots > 0
               ? last_slots_cost * std::clamp(1 - free / (slots * scarce_slots_share), 0.0, 1.0)
               : 0;
}

double pause_search::displaced_cost(std::size_t engines, const prefill_share& part) const {
    const auto is_open = [](const placement_candidate& option) {
        return !option.is_reserved_for_long && !option.forecast->is_reading_long();
    };
    const auto open = static_cast<double>(std::ranges::count_if(options_, is_open));
    const auto taken = static_cast<double>(engines);
    const double missing = std::clamp(query_.short_load.engines - (open - taken), 0.0, taken);
    const double span =
        engine_forecast::prefill_ms(options_.front().forecast->profile(), part) / ms_per_second;
    return missing * span * query_.short_load.value_per_engine_second * late_loss;
}

double pause_search::writer_cost(const placement_candidate& option) const {
    const auto& forecast = *option.forecast;
    const double load = static_cast<double>(forecast.running()) / std::max(1U, option.slots);
    const double pause =
        query_.demand.is_late
            ? 0
            : std::chrono::duration<double, std::milli>{query_.demand.target_pause}.count();
    const double pass = forecast.decode_pass_ms(query_.demand.prompt_tokens);
    const double ratio = pause > 0 ? pass / pause : 0;
    const bool is_last_slot = forecast.running() + 1 >= option.slots;
    return load_cost * load * load + (option.is_reserved_for_long ? 0 : slot_price_) +
           (is_last_slot ? shared_slot_cost : 0) +
           query_.demand.value * late_loss * miss_probability(ratio);
}

std::vector<part_cost> pause_search::price_parts(const prefill_share& part,
                                                 std::size_t count) const {
    std::uniform_real_distribution<double> jitter{0, jitter_cost};
    engine_job job;
    job.read = part;
    job.is_helper = count > 1;
    job.target_latency = query_.demand.target_latency;
    job.target_pause = query_.demand.target_pause;
    job.time_limit = query_.demand.time_limit;
    job.value = query_.demand.value;
    job.is_late = query_.demand.is_late;
    std::vector<part_cost> parts;
    parts.reserve(options_.size());
    const bool is_long = engine_partition::is_long(
        options_.front().forecast->profile(), prefill_share::of(query_.demand.prompt_tokens, 1));
    for (const auto& option : options_) {
        auto& forecast = *option.forecast;
        const auto effect = forecast.simulate_job(job, now_);
        const double place_cost = is_long && !option.is_reserved_for_long   ? unkept_cost
                                  : !is_long && option.is_reserved_for_long ? kept_cost
                                                                            : 0;
        const auto slot_at = forecast.slot_free_at(now_);
        const auto room = static_cast<double>(forecast.free_memory()) -
                          (1 - memory_fill) * forecast.profile().memory_tokens;
        parts.push_back({.option = &option,
                         .cost = effect.damage + member_cost + jitter(random_) + place_cost +
                                 option.failure_share * query_.demand.value +
                                 (option.is_own_zone ? 0 : other_zone_cost),
                         .writer_cost = writer_cost(option),
                         .read_end = std::max(effect.read_end, slot_at),
                         .can_write = room >= memory_needed() && slot_at <= now_});
    }
    std::ranges::sort(parts, {}, &part_cost::cost);
    return parts;
}

void pause_search::consider(std::size_t count) {
    const auto part = prefill_share::of(query_.demand.prompt_tokens, count);
    auto parts = price_parts(part, count);
    const auto writer = std::ranges::min_element(parts, {}, [&](const part_cost& item) {
        return item.can_write ? item.cost + item.writer_cost + own_cost(item.read_end)
                              : std::numeric_limits<double>::infinity();
    });
    if (writer == parts.end() || !writer->can_write) {
        return;
    }
    std::rotate(parts.begin(), writer, writer + 1);
    parts.resize(std::min(count, parts.size()));
    offer(parts, part);
}

bool pause_search::offer(std::span<const part_cost> parts, const prefill_share& part) {
    const auto first_event = std::ranges::max(parts, {}, &part_cost::read_end).read_end;
    const auto unkept = static_cast<std::size_t>(std::ranges::count_if(
        parts, [](const auto& item) { return !item.option->is_reserved_for_long; }));
    const bool is_long = engine_partition::is_long(
        options_.front().forecast->profile(), prefill_share::of(query_.demand.prompt_tokens, 1));
    const double displaced = is_long ? displaced_cost(unkept, part) : 0;
    const double cost = std::accumulate(
        parts.begin(), parts.end(), parts.front().writer_cost + own_cost(first_event) + displaced,
        [](double sum, const part_cost& item) { return sum + item.cost; });
    if (cost >= best_cost_) {
        return false;
    }
    best_cost_ = cost;
    best_.net_value = stake() - cost;
    best_.first_event = first_event;
    best_.share = part;
    best_.members.clear();
    for (const auto& item : parts) {
        best_.members.push_back({item.option->index, 0});
    }
    return true;
}

/// Divides a prompt among the cheapest readers that hold it together.
void pause_search::consider_reserved(std::size_t count) {
    const auto part = prefill_share::of(query_.demand.prompt_tokens, count);
    auto parts = price_parts(part, count);
    const auto room_of = [](const part_cost& item) {
        return std::max<std::int64_t>(item.option->forecast->free_memory() - memory_left_free, 0);
    };
    // The first `count` take part; those with the least room give way to the next ones.
    std::int64_t room = 0;
    for (const auto& item : parts | std::views::take(count)) {
        room += room_of(item);
    }
    const auto last = parts.begin() + static_cast<std::ptrdiff_t>(count);
    for (auto next = last; next != parts.end() && room < memory_needed(); ++next) {
        const auto least = std::ranges::min_element(parts.begin(), last, {}, room_of);
        if (room_of(*next) > room_of(*least)) {
            room += room_of(*next) - room_of(*least);
            std::iter_swap(least, next);
        }
    }
    if (room < memory_needed()) {
        return;
    }
    parts.resize(count);
    std::ranges::sort(parts, std::ranges::greater{}, room_of);
    if (!offer(parts, part)) {
        return;
    }
    std::int64_t left = memory_needed();
    for (std::size_t index = 0; index < count; ++index) {
        const auto share = std::clamp<std::int64_t>(left, 0, room_of(parts[index]));
        left -= share;
        best_.members[index].reserved_tokens = static_cast<std::uint32_t>(share);
    }
}

time_point pause_search::first_room() const {
    auto first = time_point::max();
    for (const auto& option : options_) {
        first = std::min(first, option.forecast->first_end(now_));
    }
    return first == time_point::max() ? now_ : first;
}

result<placement_choice> pause_search::run() {
    const auto largest = std::ranges::max(options_, {}, [](const auto& option) {
                             return option.forecast->profile().memory_tokens;
                         }).forecast->profile();
    const double whole =
        engine_forecast::prefill_ms(largest, prefill_share::of(query_.demand.prompt_tokens, 1));
    const bool fits_one = memory_needed() <= memory_fill * largest.memory_tokens;
    for (const auto count : sharing_counts) {
        const bool is_useful = count == 1 || whole >= least_divided_ms;
        if (fits_one && is_useful && count <= options_.size()) {
            consider(count);
        }
    }
    // Too large for any engine, or for what is free on each.
    const bool needs_several = best_.members.empty() && whole > max_short_prefill_ms;
    for (const auto count : sharing_counts) {
        if (needs_several && count > 1 && count <= options_.size()) {
            consider_reserved(count);
        }
    }
    if (best_.members.empty()) {
        return tl::unexpected{no_capacity(first_room(), now_)};
    }
    return best_;
}

} // namespace

result<placement_choice> round_robin_placement::choose(const placement_query& /*query*/,
                                                       std::span<const placement_candidate> options,
                                                       time_point now,
                                                       std::mt19937_64& /*random*/) {
    if (options.empty()) {
        return tl::unexpected{no_capacity(now, now)};
    }
    const auto& option = options[next_++ % options.size()];
    return placement_choice{{{option.index, 0}}, prefill_share{}, now, 1};
}

result<placement_choice>
least_outstanding_placement::choose(const placement_query& /*query*/,
                                    std::span<const placement_candidate> options, time_point now,
                                    std::mt19937_64& random) {
    if (options.empty()) {
        return tl::unexpected{no_capacity(now, now)};
    }
    std::uniform_real_distribution<double> jitter{0, jitter_cost};
    std::vector<double> scores;
    scores.reserve(options.size());
    for (const auto& option : options) {
        scores.push_back(outstanding_score(option) + jitter(random));
    }
    const auto best = std::ranges::min_element(scores) - scores.begin();
    return placement_choice{
        {{options[static_cast<std::size_t>(best)].index, 0}}, prefill_share{}, now, 1};
}

result<placement_choice> pause_aware_placement::choose(const placement_query& query,
                                                       std::span<const placement_candidate> options,
                                                       time_point now, std::mt19937_64& random) {
    const bool has_forecasts =
        !options.empty() &&
        std::ranges::all_of(options, [](const auto& item) { return item.forecast != nullptr; });
    if (!has_forecasts) {
        return least_outstanding_placement{}.choose(query, options, now, random);
    }
    return pause_search{query, options, now, random}.run();
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
