#include "router_p.h"

#include <magnolia/config.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <ranges>

namespace magnolia {
namespace {

using seconds = std::chrono::duration<double>;

/// Slots of the prefix table.
constexpr std::size_t prefix_slots = std::size_t{1} << 17U;
/// Decay of work_by_length with each prompt that is started.
constexpr double work_decay = 0.999;
/// Gains of the moving averages of cached shares and of tokens per byte.
constexpr double cache_hit_gain = 0.05;
constexpr double token_estimate_gain = 0.05;
/// An attempt without a first token after this multiple of the predicted time, plus one second,
/// counts as late.
constexpr double overdue_factor = 4;

std::uint64_t hash_of(std::string_view text) {
    return XXH3_64bits(text.data(), text.size());
}

double seconds_between(time_point from, time_point until) {
    return seconds{until - from}.count();
}

} // namespace

router::state::state(std::string zone, route_policy policy, std::uint64_t seed,
                     route_settings settings)
    : zone_{std::move(zone)}, settings_{settings}, policy_{policy}, random_{seed},
      entry_hash_{random_()}, prefixes_{prefix_slots} {
    zones_.emplace(zone_, 0);
}

engine_handle router::state::put_engine(const engine_info& info, time_point now) {
    const auto [position, is_new] =
        by_name_.try_emplace(info.name, engine_handle{static_cast<std::uint32_t>(engines_.size())});
    const auto handle = position->second;
    if (is_new) {
        engines_.emplace_back();
        engines_.back().live_since = now;
        engines_.back().advanced_to = now;
    }
    auto& engine = at(handle);
    for (const auto& name : engine.info.models) {
        std::erase(models_[name].engines, handle);
    }
    engine.info = info;
    engine.name_hash = hash_of(info.name);
    engine.zone =
        zones_.try_emplace(info.zone, static_cast<std::uint32_t>(zones_.size())).first->second;
    for (const auto& name : info.models) {
        auto& model = models_[name];
        model.engines.push_back(handle);
        model.largest_memory = std::max(model.largest_memory, info.memory_tokens);
        update_reserved_engines(model);
    }
    summarize(engine);
    return handle;
}

engine_handle router::state::find(std::string_view name) const {
    const auto found = by_name_.find(name);
    return found == by_name_.end() ? engine_handle{} : found->second;
}

model_record* router::state::find_model(std::string_view name) {
    const auto found = models_.find(name);
    return found == models_.end() ? nullptr : &found->second;
}

const model_record* router::state::find_model(std::string_view name) const {
    const auto found = models_.find(name);
    return found == models_.end() ? nullptr : &found->second;
}

void router::state::set_state(engine_handle engine, host_state state, time_point now) {
    auto& record = at(engine);
    if (state == host_state::live && record.state != host_state::live) {
        record.live_since = now;
    }
    record.state = state;
}

void router::state::on_load(engine_handle engine, const engine_load& load, time_point now) {
    auto& record = at(engine);
    advance(record, now);
    const auto name = record.info.models.empty() ? std::string_view{} : record.info.models.front();
    if (auto* const model = find_model(name)) {
        apply_report(record, load, model->costs, now);
        const double is_busy = load.pending_prefill_tokens > 0 ? 1.0 : 0.0;
        const double gain = 0.2 / static_cast<double>(model->engines.size());
        model->busy_share += gain * (is_busy - model->busy_share);
    }
    set_state(engine, load.state, now);
    summarize(record);
}

void router::state::record_start(attempt_id id, std::span<const group_member> members,
                                 urgency_level urgency, const route_query& query, time_point now) {
    auto* const model = find_model(query.model);
    if (model == nullptr) {
        return;
    }
    attempt_record attempt;
    attempt.model = model;
    attempt.prompt_tokens = query.prompt_tokens;
    attempt.max_generated_tokens = query.max_generated_tokens;
    attempt.has_prefix = !query.prefix_hashes.empty();
    attempt.started_at = now;
    const auto length = classify(query.prompt_tokens);
    for (const auto& member : members) {
        auto& engine = at(member.engine);
        advance(engine, now);
        const bool is_last = &member == &members.back();
        const double last = member.first_token + member.token_count;
        const double work = model->costs.prefill_seconds(member.first_token, last);
        attempt.is_only_prefill =
            members.size() == 1 && engine.work_ahead[urgency_count - 1] < 0.001;
        attempt.predicted_s = engine.work_ahead[static_cast<std::size_t>(urgency)] + work;
        engine.own_attempts.push_back(
            {.id = id,
             .urgency = urgency,
             .length = length,
             .started_at = now,
             .tokens = static_cast<double>(member.token_count),
             .total_s = work,
             .remaining_s = work,
             .memory_tokens = member.token_count + (is_last ? query.max_generated_tokens : 0)});
        engine.circuit_breaker.on_sent(now);
        summarize(engine);
        attempt.engines.push_back(member.engine);
    }
    for (auto& work : model->work_by_length) {
        work *= work_decay;
    }
    model->work_by_length[static_cast<std::size_t>(length)] +=
        model->costs.prefill_seconds(0, query.prompt_tokens);
    update_reserved_engines(*model);
    if (members.size() == 1) {
        prefixes_.put(query.prefix_hashes, members.front().engine);
    }
    attempts_[id.request].insert_or_assign(id.number, std::move(attempt));
}

void router::state::on_accepted(attempt_id id, std::uint32_t prompt_tokens,
                                std::uint32_t cached_tokens, time_point now) {
    const auto request = attempts_.find(id.request);
    if (request == attempts_.end() || !request->second.contains(id.number)) {
        return;
    }
    auto& attempt = request->second.at(id.number);
    attempt.has_accepted = true;
    attempt.accepted_at = now;
    attempt.cached_tokens = cached_tokens;
    if (attempt.prompt_tokens > 0 && prompt_tokens > 0) {
        const double count_ratio = static_cast<double>(prompt_tokens) / attempt.prompt_tokens;
        const double bounded = std::clamp(count_ratio, 0.5, 2.0);
        attempt.model->tokens_per_byte *= 1 + token_estimate_gain * (bounded - 1);
    }
    attempt.prompt_tokens = prompt_tokens;
    if (attempt.engines.size() != 1) {
        return;
    }
    observe_cache_hit(attempt);
    auto& engine = at(attempt.engines.front());
    advance(engine, now);
    const auto work = std::ranges::find(engine.own_attempts, id, &own_work::id);
    if (work != engine.own_attempts.end()) {
        const double before = work->total_s;
        work->tokens = prompt_tokens - cached_tokens;
        work->total_s = attempt.model->costs.prefill_seconds(cached_tokens, prompt_tokens);
        work->remaining_s =
            std::clamp(work->remaining_s + work->total_s - before, 0.0, work->total_s);
        attempt.predicted_s += work->total_s - before;
    }
    summarize(engine);
}

void router::state::observe_cache_hit(const attempt_record& attempt) {
    if (!attempt.has_prefix || attempt.prompt_tokens == 0) {
        return;
    }
    const double share = static_cast<double>(attempt.cached_tokens) / attempt.prompt_tokens;
    attempt.model->home_cached_share += cache_hit_gain * (share - attempt.model->home_cached_share);
}

void router::state::on_first_token(attempt_id id, time_point now) {
    const auto request = attempts_.find(id.request);
    if (request == attempts_.end() || !request->second.contains(id.number)) {
        return;
    }
    auto& attempt = request->second.at(id.number);
    if (attempt.has_first_token) {
        return;
    }
    attempt.has_first_token = true;
    attempt.first_token_at = now;
    const double elapsed_s = seconds_between(attempt.started_at, now);
    for (const auto handle : attempt.engines) {
        auto& engine = at(handle);
        advance(engine, now);
        const auto work = std::ranges::find(engine.own_attempts, id, &own_work::id);
        if (work != engine.own_attempts.end()) {
            work->has_first_token = true;
            work->first_token_at = now;
            work->remaining_s = 0;
        }
        engine.circuit_breaker.on_success();
        summarize(engine);
    }
    if (attempt.engines.size() != 1) {
        return;
    }
    auto& engine = at(attempt.engines.front());
    // 50 ms on both sides damp the ratio of very short times.
    engine.outlier.observe((elapsed_s + 0.05) / (attempt.predicted_s + 0.05));
    eject_if_outlier(engine, *attempt.model, now);
    if (attempt.is_only_prefill && attempt.has_accepted) {
        const double prefill = seconds_between(attempt.accepted_at, now);
        attempt.model->costs.observe_prefill(attempt.cached_tokens, attempt.prompt_tokens, prefill);
    }
}

std::optional<attempt_record> router::state::remove_attempt(attempt_id id, time_point now) {
    const auto request = attempts_.find(id.request);
    if (request == attempts_.end()) {
        return std::nullopt;
    }
    const auto found = request->second.find(id.number);
    if (found == request->second.end()) {
        return std::nullopt;
    }
    auto attempt = std::move(found->second);
    request->second.erase(found);
    if (request->second.empty()) {
        attempts_.erase(request);
    }
    for (const auto handle : attempt.engines) {
        auto& engine = at(handle);
        advance(engine, now);
        std::erase_if(engine.own_attempts, [id](const own_work& work) { return work.id == id; });
        summarize(engine);
    }
    return attempt;
}

void router::state::observe_if_overdue(const attempt_record& attempt, time_point now) {
    const double elapsed = seconds_between(attempt.started_at, now);
    if (attempt.has_first_token || elapsed <= overdue_factor * attempt.predicted_s + 1) {
        return;
    }
    auto& engine = at(attempt.engines.back());
    engine.outlier.observe(elapsed / (attempt.predicted_s + 0.05));
    eject_if_outlier(engine, *attempt.model, now);
}

void router::state::on_cancelled(attempt_id id, time_point now) {
    if (const auto attempt = remove_attempt(id, now)) {
        observe_if_overdue(*attempt, now);
    }
}

void router::state::on_ended(attempt_id id, bool succeeded, std::uint32_t generated_tokens,
                             time_point now) {
    const auto attempt = remove_attempt(id, now);
    if (!attempt) {
        return;
    }
    auto& engine = at(attempt->engines.back());
    if (!succeeded) {
        observe_if_overdue(*attempt, now);
        engine.circuit_breaker.on_failure(now);
        return;
    }
    engine.circuit_breaker.on_success();
    attempt->model->costs.observe_generated(generated_tokens, attempt->max_generated_tokens);
    if (attempt->has_first_token && generated_tokens > 1) {
        attempt->model->costs.observe_decode(generated_tokens - 1,
                                             seconds_between(attempt->first_token_at, now));
    }
}

void router::state::eject_if_outlier(engine_record& engine, const model_record& model,
                                     time_point now) {
    std::vector<double> ratios;
    std::size_t ejected = 0;
    for (const auto handle : model.engines) {
        const auto& other = at(handle).outlier;
        ejected += other.is_ejected(now) ? 1 : 0;
        ratios.push_back(other.ratio());
    }
    if (!engine.outlier.is_ejected(now) && is_outlier(engine.outlier, ratios, ejected)) {
        engine.outlier.eject(now);
        engine.live_since = engine.outlier.ejected_until();
    }
}

router::router(std::string zone, route_policy policy, std::uint64_t seed, route_settings settings)
    : state_{std::make_unique<state>(std::move(zone), policy, seed, settings)} {}
router::~router() = default;
router::router(router&&) noexcept = default;
router& router::operator=(router&&) noexcept = default;

engine_handle router::put_engine(const engine_info& info, time_point now) {
    return state_->put_engine(info, now);
}

engine_handle router::find(std::string_view name) const {
    return state_->find(name);
}

const engine_info& router::info(engine_handle engine) const {
    return state_->at(engine).info;
}

void router::set_state(engine_handle engine, host_state state, time_point now) {
    state_->set_state(engine, state, now);
}

void router::on_load(engine_handle engine, const engine_load& load, time_point now) {
    state_->on_load(engine, load, now);
}

route_decision router::decide(const route_query& query, time_point now) {
    return state_->decide(query, now);
}

void router::on_started(attempt_id id, engine_handle engine, const route_query& query,
                        time_point now) {
    const group_member whole_prompt{engine, 0, query.prompt_tokens};
    state_->record_start(id, {&whole_prompt, 1}, state_->engine_urgency(query), query, now);
}

void router::on_group_started(attempt_id id, const group_route& group, const route_query& query,
                              time_point now) {
    state_->record_start(id, group.members, group.engine_urgency, query, now);
}

void router::on_accepted(attempt_id id, std::uint32_t prompt_tokens, std::uint32_t cached_tokens,
                         time_point now) {
    state_->on_accepted(id, prompt_tokens, cached_tokens, now);
}

void router::on_first_token(attempt_id id, time_point now) {
    state_->on_first_token(id, now);
}

void router::on_ended(attempt_id id, bool succeeded, std::uint32_t generated_tokens,
                      time_point now) {
    state_->on_ended(id, succeeded, generated_tokens, now);
}

void router::on_cancelled(attempt_id id, time_point now) {
    state_->on_cancelled(id, now);
}

std::uint32_t router::estimate_tokens(std::string_view model, std::size_t bytes) const {
    const auto* const found = state_->find_model(model);
    const double tokens_per_byte =
        found == nullptr ? 1.0 / config::estimated_bytes_per_token : found->tokens_per_byte;
    return static_cast<std::uint32_t>(std::ceil(static_cast<double>(bytes) * tokens_per_byte));
}

} // namespace magnolia
