/// Predictions, admission and groups of engines.
#include "route_policies.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace magnolia {
namespace {

using seconds = std::chrono::duration<double>;

/// One way and back to an engine of another zone, with the cost of the link, seconds.
constexpr double other_zone_seconds = 0.015;
constexpr double own_zone_seconds = 0.001;
/// Time for which a new engine is given less than its share.
constexpr duration slow_start = std::chrono::seconds{20};
/// Largest factor on the score of a new engine.
constexpr double slow_start_factor = 3;
/// Rest of a step that a lower urgency has begun, seconds.
constexpr double step_rest = 0.03;
/// Largest share of an engine's time that higher urgencies are taken to need.
constexpr double largest_interference = 0.8;
/// Seconds of waiting for memory of which nothing is known.
constexpr double memory_wait = 5;
/// Share of an engine's memory that a group asks for.
constexpr double group_fill = 0.97;
/// Share of the work of short prompts to which the engines kept for them are sized.
constexpr std::size_t least_engines_for_classes = 4;
/// Engines named beside a group to take over from a member.
constexpr std::size_t group_spares = 2;
/// KV cache that an engine imports, tokens/s.
constexpr double import_tokens_per_second = 400'000;
constexpr duration shortest_retry = std::chrono::milliseconds{100};

duration to_duration(double value) {
    return std::chrono::duration_cast<duration>(seconds{value});
}

} // namespace

urgency_level router::state::engine_urgency(const route_query& query) const {
    if (!settings_.size_classes || policy_ != route_policy::length_aware) {
        return query.urgency;
    }
    const auto by_length = static_cast<int>(classify(query.prompt_tokens));
    const int shift = query.urgency == urgency_level::background ? 1 : 0;
    return static_cast<urgency_level>(std::min(by_length + shift, 2));
}

route_context router::state::context_of(const route_query& query, model_record& model,
                                        time_point now) const {
    route_context context{.query = query, .model = model, .now = now};
    context.length = classify(query.prompt_tokens);
    context.urgency = engine_urgency(query);
    context.first_token_in = seconds{query.first_token_in}.count();
    context.finish_in = seconds{query.finish_in}.count();
    context.generation =
        model.costs.expected_generated(query.max_generated_tokens) * model.costs.step_seconds();
    context.memory_tokens = query.prompt_tokens + query.max_generated_tokens;
    return context;
}

bool router::state::is_usable(const engine_record& engine, const route_query& query,
                              time_point now) const {
    if (engine.state != host_state::live || !engine.failures.allows(now) ||
        engine.late.is_ejected(now)) {
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
    const auto index = static_cast<std::size_t>(urgency);
    const double elapsed = seconds{now - engine.as_of}.count();
    double wait = std::max(0.0, engine.ahead[index] - elapsed);
    if (engine.ahead[urgency_count - 1] - engine.ahead[index] > elapsed) {
        wait += step_rest;
    }
    return wait;
}

double router::state::zone_seconds(const engine_record& engine) const {
    return engine.zone == 0 ? own_zone_seconds : other_zone_seconds;
}

candidate router::state::predict(const route_context& context, engine_handle handle,
                                 double cached) const {
    const auto& engine = engines_[handle.value];
    const double first = std::min<double>(cached, context.query.prompt_tokens);
    double work = context.model.costs.prefill_seconds(first, context.query.prompt_tokens);
    double wait = wait_seconds(engine, context.urgency, context.now);
    if (context.urgency != urgency_level::interactive && settings_.size_classes) {
        const auto& by_class = context.model.work;
        const double total = by_class[0] + by_class[1] + by_class[2] + 1e-9;
        const double above =
            context.urgency == urgency_level::standard ? by_class[0] : by_class[0] + by_class[1];
        const double busy =
            std::min(largest_interference, context.model.busy_share * above / total);
        work /= 1 - busy;
    }
    if (engine.free_memory + cached < context.memory_tokens) {
        wait += memory_wait + engine.ahead[urgency_count - 1];
    }
    if (engine.late.is_known()) {
        work *= std::max(1.0, engine.late.ratio());
    }
    candidate result{.engine = handle, .first_token = wait + work + zone_seconds(engine)};
    result.score = result.first_token;
    const auto age = context.now - engine.live_since;
    if (age < slow_start) {
        const double share = 1 - seconds{age} / seconds{slow_start};
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
    return context.memory_tokens > model->largest_memory ? decide_group(context)
                                                         : decide_single(context);
}

route_refused router::state::refuse(const route_context& context, double best) const {
    const double over =
        std::max(best - context.first_token_in, best + context.generation - context.finish_in);
    const auto retry_after =
        std::max(std::chrono::ceil<std::chrono::milliseconds>(to_duration(over)),
                 std::chrono::ceil<std::chrono::milliseconds>(shortest_retry));
    return {{error_code::deadline_unreachable, std::string{context.query.model}, retry_after}};
}

route_decision router::state::decide_single(const route_context& context) {
    const auto policy = make_policy(policy_);
    const auto best =
        std::visit([&](const auto& chosen) { return chosen.choose(*this, context); }, policy);
    if (!best.engine.is_valid()) {
        return route_refused{{error_code::no_capacity, std::string{context.query.model},
                              std::chrono::milliseconds{1000}}};
    }
    const double finish = best.first_token + context.generation;
    const bool is_in_time =
        best.first_token <= context.first_token_in && finish <= context.finish_in;
    const bool admits_all = policy_ != route_policy::length_aware || !settings_.admission;
    if (!is_in_time && !admits_all) {
        return refuse(context, best.first_token);
    }
    return single_route{best.engine, context.urgency, to_duration(best.first_token),
                        to_duration(finish)};
}

std::optional<group_route> router::state::plan_group(const route_context& context,
                                                     std::uint32_t zone) const {
    struct member_option {
        engine_handle engine;
        double wait = 0;
        std::uint32_t memory = 0;
    };
    std::vector<member_option> options;
    for (const auto handle : context.model.engines) {
        const auto& engine = engines_[handle.value];
        const bool is_in_zone = zone == UINT32_MAX || engine.zone == zone;
        if (!is_in_zone || !is_usable(engine, context.query, context.now)) {
            continue;
        }
        const auto memory = static_cast<std::uint32_t>(group_fill * engine.free_memory);
        const double kept = engine.is_kept && settings_.size_classes ? memory_wait : 0;
        const double wait = wait_seconds(engine, context.urgency, context.now) + kept;
        options.push_back({handle, wait, memory});
    }
    // The fewest members first; among engines with room, those with the least work.
    std::ranges::sort(options, std::greater{}, &member_option::memory);
    std::uint64_t room = 0;
    std::size_t count = 0;
    while (count < options.size() && room < context.memory_tokens) {
        room += options[count++].memory;
    }
    if (room < context.memory_tokens) {
        return std::nullopt;
    }
    group_route group;
    group.engine_urgency = context.urgency;
    double ready = 0;
    std::uint32_t done = 0;
    const auto total = context.query.prompt_tokens;
    for (std::size_t index = 0; index < count; ++index) {
        const auto& option = options[index];
        const double share = static_cast<double>(option.memory) / static_cast<double>(room);
        const bool is_last = index + 1 == count;
        const auto tokens = is_last ? total - done : static_cast<std::uint32_t>(share * total);
        ready = std::max(ready, option.wait) + done / import_tokens_per_second +
                context.model.costs.prefill_seconds(done, done + tokens);
        group.members.push_back({option.engine, done, tokens});
        done += tokens;
    }
    for (std::size_t index = count; index < std::min(options.size(), count + group_spares);
         ++index) {
        group.spares.push_back(options[index].engine);
    }
    group.predicted_first_token = to_duration(ready);
    group.predicted_finish = to_duration(ready + context.generation);
    return group;
}

route_decision router::state::decide_group(const route_context& context) {
    std::optional<group_route> best;
    for (std::uint32_t zone = 0; zone < zones_.size(); ++zone) {
        auto group = plan_group(context, zone);
        if (group && (!best || group->predicted_first_token < best->predicted_first_token)) {
            best = std::move(group);
        }
    }
    if (!best) {
        best = plan_group(context, UINT32_MAX);
    }
    if (!best) {
        return route_refused{{error_code::no_capacity, std::string{context.query.model},
                              std::chrono::milliseconds{5000}}};
    }
    const bool is_in_time = best->predicted_first_token <= context.query.first_token_in &&
                            best->predicted_finish <= context.query.finish_in;
    if (!is_in_time && settings_.admission && policy_ == route_policy::length_aware) {
        return refuse(context, seconds{best->predicted_first_token}.count());
    }
    return std::move(*best);
}

void router::state::update_kept(model_record& model) {
    const auto size = model.engines.size();
    const double total = model.work[0] + model.work[1] + model.work[2];
    std::size_t wanted = 0;
    if (size >= least_engines_for_classes) {
        // Engines busy with short prompts on average, and twice the deviation of a Poisson count.
        const double share = total > 0 ? model.work[0] / total : 0.1;
        const double busy = static_cast<double>(size) * share;
        wanted = static_cast<std::size_t>(std::ceil(busy + 2 * std::sqrt(busy)));
        wanted = std::clamp<std::size_t>(wanted, 1, size / 2);
    }
    if (wanted == model.kept && size == model.kept_of) {
        return;
    }
    model.kept = wanted;
    model.kept_of = size;
    // Every entry finds the same order without asking anyone.
    auto order = model.engines;
    std::ranges::sort(order, {}, [this](engine_handle handle) {
        const auto& engine = engines_[handle.value];
        const bool is_first = engine.info.role == engine_role::short_prompts;
        const bool is_last = engine.info.role == engine_role::long_prompts;
        return std::tuple{is_last, !is_first, engine.name_hash};
    });
    for (std::size_t index = 0; index < order.size(); ++index) {
        auto& engine = at(order[index]);
        engine.is_kept = index < wanted || engine.info.role == engine_role::short_prompts;
    }
}

} // namespace magnolia
