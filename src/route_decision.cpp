/// Predicted times, admission control, and planning of engine groups.
#include "route_policies.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

namespace magnolia {
namespace {

using seconds = std::chrono::duration<double>;

/// Round trip to an engine of another zone, including the cost of the link, seconds.
constexpr double other_zone_latency_s = 0.015;
constexpr double own_zone_latency_s = 0.001;
/// Time during which an engine that has become live gets less than its share of the requests.
constexpr duration slow_start_period = std::chrono::seconds{20};
/// Factor on the score of an engine at the start of its slow start; decreases linearly to 1.
constexpr double slow_start_factor = 3;
/// Cost of delaying prompts of lower urgency, per second of prefill work of this prompt.
constexpr double displacement_cost = 1;
/// Remainder of a step that the engine has already begun for a lower urgency, seconds.
constexpr double step_remainder_s = 0.02;
/// Maximum share of the time of an engine that prompts of higher urgency are assumed to take.
constexpr double max_interference_share = 0.8;
/// Assumed wait for memory, seconds, if nothing is known about when it becomes free.
constexpr double unknown_memory_wait_s = 100;
/// Memory kept free for requests that other entries have sent since the last load report, tokens.
constexpr double memory_margin_tokens = 8'000;
/// Maximum share of the memory of an engine that one prompt may take, alone or as part of a group;
/// the rest is left to shorter prompts. A longer prompt is given to a group.
constexpr double max_single_fill = 0.75;
constexpr double max_group_fill = 0.85;
/// Maximum number of members beyond the smallest possible number.
constexpr std::size_t max_extra_members = 3;
/// An engine is taken to hold no other long prompt if its free memory is at least this share of the
/// largest engine memory of the model.
constexpr double unshared_memory_share = 0.75;
/// Assumed wait of a group for memory, seconds, if there is none at present.
constexpr double group_memory_wait_s = 60;
/// Smallest fleet of a model in which engines are reserved for short prompts.
constexpr std::size_t min_engines_for_classes = 4;
/// Maximum number of spare engines of a group.
constexpr std::size_t max_spares = 2;
/// Rate at which an engine imports KV cache, tokens/s.
constexpr double import_tokens_per_second = 400'000;
/// Approximate number of engines of other zones that a decision considers.
constexpr std::size_t target_sample_size = 64;
/// Smallest retry_after of a refusal because of a deadline.
constexpr duration min_retry_after = std::chrono::milliseconds{100};

/// Smallest number of engines over which the prompt is split. A prompt that would fill one
/// engine is split as well, so that shorter ones find memory there.
std::size_t min_members(const route_context& context) {
    const double largest = context.model.largest_memory;
    const bool fits_one = context.memory_tokens <= max_single_fill * largest;
    const auto count = std::ceil(context.memory_tokens / (max_group_fill * largest));
    return fits_one ? 1 : std::max<std::size_t>(2, static_cast<std::size_t>(count));
}

duration to_duration(double value) {
    return std::chrono::duration_cast<duration>(seconds{value});
}

} // namespace

urgency_level router::state::engine_urgency(const route_query& query) const {
    if (!settings_.length_classes || policy_ != route_policy::length_aware) {
        return query.urgency;
    }
    const auto length = classify(query.prompt_tokens);
    // Large and long prompts share an urgency, because engines support only three.
    const int by_length = length == length_class::short_prompt   ? 0
                          : length >= length_class::large_prompt ? 2
                                                                 : 1;
    const int shift = query.urgency == urgency_level::background ? 1 : 0;
    return static_cast<urgency_level>(std::min(by_length + shift, 2));
}

route_context router::state::context_of(const route_query& query, model_record& model,
                                        time_point now) const {
    route_context context{.query = query, .model = model, .now = now};
    context.length = classify(query.prompt_tokens);
    context.urgency = engine_urgency(query);
    context.first_token_budget_s = seconds{query.first_token_budget}.count();
    context.finish_budget_s = seconds{query.finish_budget}.count();
    context.generation_s =
        model.costs.expected_generated(query.max_generated_tokens) * model.costs.step_seconds();
    context.memory_tokens = query.prompt_tokens + query.max_generated_tokens;
    return context;
}

bool router::state::is_usable(const engine_record& engine, const route_query& query,
                              time_point now) const {
    if (engine.state != host_state::live || !engine.circuit_breaker.allows(now) ||
        engine.outlier.is_ejected(now)) {
        return false;
    }
    const bool has_adapter =
        query.adapter.empty() ||
        std::ranges::find(engine.info.adapters, query.adapter) != engine.info.adapters.end();
    return has_adapter &&
           (query.excluded.empty() ||
            std::ranges::find(query.excluded, find(engine.info.name)) == query.excluded.end());
}

double router::state::wait_seconds(const engine_record& engine, urgency_level urgency,
                                   time_point now) const {
    if (!settings_.in_flight_correction) {
        return engine.reported_work_s;
    }
    const auto index = static_cast<std::size_t>(urgency);
    const double elapsed = seconds{now - engine.advanced_to}.count();
    double wait = std::max(0.0, engine.work_ahead[index] - elapsed);
    if (engine.work_ahead[urgency_count - 1] - engine.work_ahead[index] > elapsed) {
        wait += step_remainder_s;
    }
    return wait;
}

double router::state::zone_latency(const engine_record& engine) const {
    return engine.zone == 0 ? own_zone_latency_s : other_zone_latency_s;
}

candidate router::state::predict(const route_context& context, engine_handle handle,
                                 double cached) const {
    const auto& engine = engines_[handle.value];
    const double cached_tokens = std::min<double>(cached, context.query.prompt_tokens);
    double work = context.model.costs.prefill_seconds(cached_tokens, context.query.prompt_tokens);
    double wait = wait_seconds(engine, context.urgency, context.now);
    if (context.urgency != urgency_level::interactive && settings_.length_classes) {
        const auto& by_class = context.model.work_by_length;
        const double total = std::accumulate(by_class.begin(), by_class.end(), 1e-9);
        const double higher_urgency_work =
            context.urgency == urgency_level::standard ? by_class[0] : by_class[0] + by_class[1];
        const double interference = std::min(
            max_interference_share, context.model.busy_share * higher_urgency_work / total);
        work /= 1 - interference;
    }
    if (engine.free_memory + cached < context.memory_tokens + memory_margin_tokens) {
        wait += unknown_memory_wait_s + engine.work_ahead[urgency_count - 1];
    }
    if (engine.outlier.has_enough_samples()) {
        work *= std::max(1.0, engine.outlier.ratio());
    }
    candidate result{.engine = handle, .first_token_s = wait + work + zone_latency(engine)};
    result.score = result.first_token_s;
    const auto index = static_cast<std::size_t>(context.urgency);
    const double elapsed = seconds{context.now - engine.advanced_to}.count();
    if (settings_.length_classes && context.length != length_class::short_prompt &&
        engine.work_ahead[urgency_count - 1] - engine.work_ahead[index] > elapsed) {
        // The prompt would delay longer ones on this engine, which would then hold their memory for
        // longer.
        result.score += displacement_cost * work;
    }
    const auto age = context.now - engine.live_since;
    if (age < slow_start_period) {
        const double share = 1 - seconds{age} / seconds{slow_start_period};
        result.score *= 1 + (slow_start_factor - 1) * std::clamp(share, 0.0, 1.0);
    }
    return result;
}

route_decision router::state::decide(const route_query& query, time_point now) {
    auto* const model = find_model(query.model);
    if (model == nullptr || model->engines.empty()) {
        return route_refused{{error_code::model_unknown, std::string{query.model}, {}}};
    }
    const auto context = context_of(query, *model, now);
    const double max_single_tokens = max_single_fill * model->largest_memory;
    const bool needs_group = context.length == length_class::long_prompt &&
                             settings_.length_classes && policy_ == route_policy::length_aware;
    return needs_group || context.memory_tokens > max_single_tokens ? decide_group(context)
                                                                    : decide_single(context);
}

route_refused router::state::refuse(const route_context& context, double best) const {
    const double overdue_s = std::max(best - context.first_token_budget_s,
                                      best + context.generation_s - context.finish_budget_s);
    const auto retry_after =
        std::max(std::chrono::ceil<std::chrono::milliseconds>(to_duration(overdue_s)),
                 std::chrono::ceil<std::chrono::milliseconds>(min_retry_after));
    return {{error_code::deadline_unreachable, std::string{context.query.model}, retry_after}};
}

candidate router::state::choose(const route_context& context) {
    const auto policy = make_policy(policy_);
    return std::visit([&](const auto& chosen) { return chosen.choose(*this, context); }, policy);
}

candidate router::state::choose_sampled(const route_context& context) {
    const auto count = context.model.engines.size();
    auto sampled = context;
    sampled.stride = std::max<std::size_t>(1, count / target_sample_size);
    sampled.sample_start = context.model.next_index++;
    const auto best = choose(sampled);
    const bool meets_deadlines =
        best.engine.is_valid() && best.first_token_s <= context.first_token_budget_s &&
        best.first_token_s + context.generation_s <= context.finish_budget_s;
    // A prompt is refused only after every engine has been considered.
    return meets_deadlines || sampled.stride == 1 ? best : choose(context);
}

route_decision router::state::decide_single(const route_context& context) {
    const auto best = choose_sampled(context);
    if (!best.engine.is_valid()) {
        return route_refused{{error_code::no_capacity, std::string{context.query.model},
                              std::chrono::milliseconds{1000}}};
    }
    const double finish = best.first_token_s + context.generation_s;
    const bool is_in_time =
        best.first_token_s <= context.first_token_budget_s && finish <= context.finish_budget_s;
    const bool skips_admission = policy_ != route_policy::length_aware || !settings_.admission;
    if (!is_in_time && !skips_admission) {
        return refuse(context, best.first_token_s);
    }
    return single_route{best.engine, context.urgency, to_duration(best.first_token_s),
                        to_duration(finish)};
}

std::vector<member_option> router::state::member_options(const route_context& context,
                                                         bool may_use_reserved) const {
    std::vector<member_option> options;
    options.reserve(context.model.engines.size());
    for (const auto handle : context.model.engines) {
        const auto& engine = engines_[handle.value];
        if (!is_usable(engine, context.query, context.now) ||
            (engine.is_reserved_for_short && settings_.length_classes && !may_use_reserved)) {
            continue;
        }
        const double wait = wait_seconds(engine, context.urgency, context.now);
        const double reserved_for_others = (1 - max_group_fill) * engine.info.memory_tokens;
        options.push_back({handle, engine.zone, wait, engine.free_memory - reserved_for_others});
    }
    return options;
}

std::optional<group_route> router::state::plan_group(const route_context& context,
                                                     std::span<const member_option> options,
                                                     std::size_t count) const {
    const auto share = (context.memory_tokens + count - 1) / count;
    std::vector<member_option> chosen;
    std::ranges::copy_if(options, std::back_inserter(chosen), [share](const member_option& option) {
        return option.free_tokens >= static_cast<double>(share);
    });
    if (chosen.size() < count) {
        return std::nullopt;
    }
    // Only the members and spares need to be sorted.
    const auto needed = std::min(chosen.size(), count + max_spares);
    std::ranges::partial_sort(chosen, chosen.begin() + static_cast<std::ptrdiff_t>(needed), {},
                              &member_option::wait_s);
    group_route group;
    group.engine_urgency = context.urgency;
    double ready_s = 0;
    std::uint32_t done = 0;
    for (std::size_t index = 0; index < count; ++index) {
        const bool is_last = index + 1 == count;
        const auto remaining_tokens = context.query.prompt_tokens - done;
        const auto tokens = is_last ? remaining_tokens : static_cast<std::uint32_t>(share);
        ready_s = std::max(ready_s, chosen[index].wait_s) + done / import_tokens_per_second +
                  context.model.costs.prefill_seconds(done, done + tokens);
        group.members.push_back({chosen[index].engine, done, tokens});
        done += tokens;
    }
    for (std::size_t index = count; index < needed; ++index) {
        group.spares.push_back(chosen[index].engine);
    }
    group.predicted_first_token = to_duration(ready_s);
    group.predicted_finish = to_duration(ready_s + context.generation_s);
    return group;
}

std::optional<group_route>
router::state::plan_group(const route_context& context,
                          const std::vector<member_option>& options) const {
    const auto min_count = min_members(context);
    // First try engines that hold no other long prompt, so that groups do not wait for each other.
    auto unshared = options;
    std::erase_if(unshared, [&](const member_option& option) {
        return min_count > 1 &&
               option.free_tokens < unshared_memory_share * context.model.largest_memory;
    });
    for (const auto& from : {std::span{std::as_const(unshared)}, std::span{options}}) {
        for (auto count = min_count;
             count <= std::min(2 * min_count, min_count + max_extra_members); ++count) {
            if (auto group = plan_group(context, from, count)) {
                return group;
            }
        }
    }
    return std::nullopt;
}

std::optional<group_route>
router::state::plan_waiting_group(const route_context& context,
                                  std::vector<member_option> options) const {
    for (auto& option : options) {
        option.free_tokens = max_group_fill * engines_[option.engine.value].info.memory_tokens;
        option.wait_s += group_memory_wait_s;
    }
    return plan_group(context, options, min_members(context));
}

std::optional<group_route>
router::state::best_group(const route_context& context,
                          const std::vector<member_option>& options) const {
    std::optional<group_route> best;
    for (std::uint32_t zone = 0; zone < zones_.size(); ++zone) {
        auto in_zone = options;
        std::erase_if(in_zone, [zone](const member_option& item) { return item.zone != zone; });
        auto group = plan_group(context, in_zone);
        if (group && (!best || group->predicted_first_token < best->predicted_first_token)) {
            best = std::move(group);
        }
    }
    if (!best) {
        best = plan_group(context, options);
    }
    return best ? best : plan_waiting_group(context, options);
}

route_decision router::state::decide_group(const route_context& context) {
    auto best = best_group(context, member_options(context, false));
    if (!best) {
        // In a small fleet the longest prompts fit only if the reserved engines are used too.
        best = best_group(context, member_options(context, true));
    }
    if (!best) {
        return route_refused{{error_code::no_capacity, std::string{context.query.model},
                              std::chrono::milliseconds{5000}}};
    }
    const bool is_in_time = best->predicted_first_token <= context.query.first_token_budget &&
                            best->predicted_finish <= context.query.finish_budget;
    if (!is_in_time && settings_.admission && policy_ == route_policy::length_aware) {
        return refuse(context, seconds{best->predicted_first_token}.count());
    }
    return std::move(*best);
}

void router::state::update_reserved_engines(model_record& model) {
    const auto size = model.engines.size();
    const double total =
        std::accumulate(model.work_by_length.begin(), model.work_by_length.end(), 0.0);
    std::size_t target_count = 0;
    if (size >= min_engines_for_classes) {
        // Mean number of engines busy with short prompts, plus twice the standard deviation of a
        // Poisson distribution.
        const double share = total > 0 ? model.work_by_length[0] / total : 0.1;
        const double busy = static_cast<double>(size) * share;
        target_count = static_cast<std::size_t>(std::ceil(busy + 2 * std::sqrt(busy)));
        target_count = std::clamp<std::size_t>(target_count, 1, size / 2);
    }
    if (target_count == model.reserved_count && size == model.reserved_fleet_size) {
        return;
    }
    model.reserved_count = target_count;
    model.reserved_fleet_size = size;
    // The order depends only on roles and names, so that every entry finds the same order without
    // communication.
    auto order = model.engines;
    std::ranges::sort(order, {}, [this](engine_handle handle) {
        const auto& engine = engines_[handle.value];
        const bool is_first = engine.info.role == engine_role::short_prompts;
        const bool is_last = engine.info.role == engine_role::long_prompts;
        return std::tuple{is_last, !is_first, engine.name_hash};
    });
    for (std::size_t index = 0; index < order.size(); ++index) {
        auto& engine = at(order[index]);
        engine.is_reserved_for_short =
            index < target_count || engine.info.role == engine_role::short_prompts;
    }
}

} // namespace magnolia
