#include "engine_model.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <numeric>
#include <ranges>

namespace magnolia::fakes {

namespace {

/// Length of the text of one answer token.
constexpr std::size_t answer_token_bytes = 4;
/// Cache events that are kept for readers; older ones are dropped.
constexpr std::size_t max_cache_events = 20000;

std::uint64_t answer_seed_of(std::string_view prompt) {
    return XXH64(prompt.data(), prompt.size(), 0);
}

std::string token_text(std::uint64_t seed, std::uint32_t index) {
    const auto number = XXH64(&index, sizeof index, seed);
    std::string text(answer_token_bytes, ' ');
    for (std::size_t position = 1; position < answer_token_bytes; ++position) {
        text[position] = static_cast<char>('a' + (number >> (8 * position)) % 26);
    }
    return text;
}

std::string answer_from_seed(std::uint64_t seed, std::uint32_t first, std::uint32_t count) {
    std::string text;
    text.reserve(count * answer_token_bytes);
    for (std::uint32_t index = first; index < first + count; ++index) {
        text += token_text(seed, index);
    }
    return text;
}

duration to_duration(double seconds) {
    return duration{static_cast<duration::rep>(seconds * 1e6)};
}

std::uint32_t total_tokens(const std::vector<kv_part>& parts) {
    return std::accumulate(
        parts.begin(), parts.end(), 0U,
        [](std::uint32_t sum, const kv_part& part) { return sum + part.token_count; });
}

} // namespace

std::string answer_text(std::string_view prompt, std::uint32_t first, std::uint32_t count) {
    return answer_from_seed(answer_seed_of(prompt), first, count);
}

engine_model::engine_model(engine_model_settings settings, part_directory& parts)
    : settings_{std::move(settings)}, parts_{parts}, cache_{settings_.cache_tokens},
      models_{settings_.models}, random_{settings_.seed} {
    boot_ = random_();
    report_ = current_load();
}

result<void> engine_model::submit(const engine_command& command, const memory_owner& owner,
                                  time_point now) {
    if (!is_up_) {
        return fail(error_code::connection, settings_.name);
    }
    auto events = advance(now);
    events_ = std::move(events);
    auto accepted =
        std::visit([&](const auto& value) { return apply(value, owner, now); }, command);
    counts_.refused += accepted ? 0U : 1U;
    if (!paused_at_) {
        admit(now);
        begin_step(now);
    }
    return accepted;
}

result<void> engine_model::check_accepts_work(std::string_view model, std::string_view adapter) {
    if (state_ == host_state::leaving) {
        return fail(error_code::backend_refused, "draining");
    }
    const auto has = [](const std::vector<loaded_item>& items, std::string_view name) {
        return std::ranges::any_of(
            items, [name](const loaded_item& item) { return item.name == name && item.is_ready; });
    };
    if (!has(models_, model) || (!adapter.empty() && !has(adapters_, adapter))) {
        return fail(error_code::model_unknown, std::string{model});
    }
    return {};
}

bool engine_model::has_parts(const std::vector<kv_part>& parts) const {
    return std::ranges::all_of(parts, [this](const kv_part& part) {
        return !part.engine.is_valid() || parts_.contains({part.engine, part.name});
    });
}

result<void> engine_model::apply(const engine_start& command, const memory_owner&, time_point now) {
    if (jobs_.contains(command.id)) {
        return {};
    }
    if (auto allowed = check_accepts_work(command.model, command.adapter); !allowed) {
        return allowed;
    }
    job value;
    value.id = command.id;
    value.start = command;
    value.prompt_tokens = static_cast<std::uint32_t>(
        (command.prompt->size() + settings_.bytes_per_token - 1) / settings_.bytes_per_token);
    value.next_offset = command.resume_offset;
    value.answer_seed = answer_seed_of(*command.prompt);
    if (command.prefix_answer != answer_from_seed(value.answer_seed, 0, command.resume_offset)) {
        // A resumed answer with a wrong beginning continues differently, so that tests detect it.
        value.answer_seed ^= answer_seed_of(command.prefix_answer) | 1U;
    }
    value.next_prefill = std::min(total_tokens(command.parts), value.prompt_tokens);
    value.end_prefill = value.prompt_tokens + command.resume_offset;
    const auto answer = std::max(command.max_generated_tokens, command.resume_offset);
    const auto own_tokens = value.prompt_tokens - value.next_prefill + answer;
    if (command.reservation.empty()) {
        if (own_tokens > settings_.memory_tokens) {
            return fail(error_code::too_large, std::to_string(own_tokens));
        }
        value.memory = own_tokens;
    } else {
        const auto found = reservations_.find(command.reservation);
        if (found == reservations_.end() || found->second.tokens < own_tokens) {
            return fail(error_code::no_capacity, command.reservation);
        }
    }
    if (!has_parts(command.parts)) {
        return fail(error_code::not_found, command.reservation);
    }
    value.ready_at = now + import_time(command.parts);
    value.deadline = now + command.time_left;
    add(std::move(value));
    return {};
}

result<void> engine_model::apply(const engine_cancel& command, const memory_owner&, time_point) {
    end_job(command.id);
    return {};
}

result<void> engine_model::apply(const engine_reserve& command, const memory_owner& owner,
                                 time_point now) {
    const auto found = reservations_.find(command.reservation);
    const bool is_new = found == reservations_.end();
    if (is_new && state_ == host_state::leaving) {
        return fail(error_code::backend_refused, "draining");
    }
    if (is_new && used_memory() + command.tokens > settings_.memory_tokens) {
        return fail(error_code::no_capacity, command.reservation);
    }
    if (!is_new && found->second.owner != owner) {
        return fail(error_code::conflict, command.reservation);
    }
    auto& reservation = is_new ? reservations_[command.reservation] : found->second;
    if (is_new) {
        reservation.owner = owner;
        reservation.tokens = command.tokens;
        publish_cache_changes(cache_.evict_to(settings_.memory_tokens - used_memory()));
    }
    reservation.expires_at = std::max(reservation.expires_at, now + command.expiry);
    events_.emplace_back(engine_reserved{command.id, settings_.self, command.reservation});
    return {};
}

result<void> engine_model::apply(const engine_release& command, const memory_owner&, time_point) {
    end_reservation(command.reservation);
    events_.emplace_back(engine_released{command.id, settings_.self, command.reservation});
    return {};
}

result<void> engine_model::apply(const engine_prefill_part& command, const memory_owner&,
                                 time_point now) {
    if (jobs_.contains(command.id)) {
        return {};
    }
    if (auto allowed = check_accepts_work(command.model, {}); !allowed) {
        return allowed;
    }
    const auto found = reservations_.find(command.reservation);
    if (found == reservations_.end() || found->second.tokens < command.token_count) {
        return fail(error_code::no_capacity, command.reservation);
    }
    if (!has_parts(command.parts)) {
        return fail(error_code::not_found, command.reservation);
    }
    job value;
    value.id = command.id;
    value.is_part = true;
    value.start.id = command.id;
    value.start.reservation = command.reservation;
    value.start.parts = command.parts;
    value.start.urgency = urgency_level::background;
    value.start.prompt = command.prompt;
    value.next_prefill = command.first_token;
    value.end_prefill = command.first_token + command.token_count;
    value.prompt_tokens = command.token_count;
    value.ready_at = now + import_time(command.parts);
    value.deadline = now + command.time_left;
    add(std::move(value));
    return {};
}

void engine_model::add(job value) {
    value.arrival = ++arrivals_;
    const auto id = value.id;
    jobs_.emplace(id, std::move(value));
}

void engine_model::end_reservation(const std::string& name) {
    const auto found = reservations_.find(name);
    if (found == reservations_.end()) {
        return;
    }
    for (const auto& part : found->second.parts) {
        parts_.erase({settings_.self, part});
    }
    reservations_.erase(found);
    std::vector<attempt_id> users;
    for (const auto& [id, value] : jobs_) {
        if (value.start.reservation == name) {
            users.push_back(id);
        }
    }
    for (const auto& id : users) {
        fail_job(id, {error_code::backend_failed, "reservation ended"});
    }
}

std::uint32_t engine_model::used_memory() const {
    std::uint32_t used = 0;
    for (const auto& [id, value] : jobs_) {
        used += value.is_running ? value.memory : 0;
    }
    for (const auto& [name, reservation] : reservations_) {
        used += reservation.tokens;
    }
    return used;
}

duration engine_model::prefill_time(std::uint32_t first, std::uint32_t last) const {
    const auto& costs = settings_.costs;
    const auto total = [&costs](double tokens) {
        return tokens / costs.prefill_tokens_per_s * (1 + tokens / costs.attention_tokens);
    };
    return to_duration(total(last) - total(first));
}

duration engine_model::import_time(const std::vector<kv_part>& parts) const {
    return to_duration(total_tokens(parts) / settings_.costs.import_tokens_per_s);
}

duration engine_model::decode_time(const std::vector<attempt_id>& decoding) const {
    const auto& costs = settings_.costs;
    auto time = costs.decode_step;
    for (const auto& id : decoding) {
        time += costs.decode_per_sequence;
        time += costs.decode_per_part * static_cast<int>(jobs_.at(id).start.parts.size());
    }
    return time - costs.decode_per_sequence;
}

std::vector<engine_model::job*> engine_model::jobs_by_priority(bool is_running) {
    std::vector<job*> found;
    for (auto& [id, value] : jobs_) {
        if (value.is_running == is_running) {
            found.push_back(&value);
        }
    }
    std::ranges::sort(found, {}, [](const job* value) {
        return std::pair{value->start.urgency, value->arrival};
    });
    return found;
}

void engine_model::admit(time_point now) {
    auto running =
        std::ranges::count_if(jobs_, [](const auto& item) { return item.second.is_running; });
    for (auto* value : jobs_by_priority(false)) {
        if (running >= settings_.max_running) {
            return;
        }
        if (value->ready_at > now) {
            continue;
        }
        if (used_memory() + value->memory > settings_.memory_tokens) {
            return;
        }
        value->is_running = true;
        ++running;
        publish_cache_changes(cache_.evict_to(settings_.memory_tokens - used_memory()));
        ++counts_.executions[value->id.request];
        if (value->is_part) {
            continue;
        }
        if (value->start.parts.empty()) {
            value->cached_tokens =
                std::min(cache_.match(*value->start.prompt), value->prompt_tokens - 1);
            value->next_prefill = value->cached_tokens;
        }
        events_.emplace_back(
            engine_accepted{value->id, value->prompt_tokens, value->cached_tokens});
    }
}

void engine_model::begin_step(time_point now) {
    if (step_ || paused_at_) {
        return;
    }
    step planned;
    duration prefill{0};
    for (const auto* value : jobs_by_priority(true)) {
        if (value->next_prefill >= value->end_prefill) {
            planned.decoding.push_back(value->id);
        } else if (planned.prefill_tokens == 0) {
            planned.prefill = value->id;
            planned.prefill_tokens =
                std::min(settings_.costs.chunk_tokens, value->end_prefill - value->next_prefill);
            prefill =
                prefill_time(value->next_prefill, value->next_prefill + planned.prefill_tokens);
        }
    }
    if (planned.prefill_tokens == 0 && planned.decoding.empty()) {
        return;
    }
    const auto decode = planned.decoding.empty() ? duration{0} : decode_time(planned.decoding);
    planned.end = now + std::max({prefill, decode, duration{1}});
    step_ = std::move(planned);
}

void engine_model::finish_step() {
    const auto finished = std::move(*step_);
    step_.reset();
    for (const auto& id : finished.decoding) {
        if (const auto found = jobs_.find(id); found != jobs_.end()) {
            decode(found->second);
        }
    }
    const auto found = jobs_.find(finished.prefill);
    if (finished.prefill_tokens == 0 || found == jobs_.end()) {
        return;
    }
    auto& value = found->second;
    value.next_prefill += finished.prefill_tokens;
    counts_.prefilled_tokens += finished.prefill_tokens;
    if (value.next_prefill >= value.end_prefill) {
        finish_prefill(value);
    }
}

void engine_model::finish_prefill(job& value) {
    if (!value.is_part) {
        decode(value);
        return;
    }
    const auto found = reservations_.find(value.start.reservation);
    const auto first = value.end_prefill - value.prompt_tokens;
    const auto name = value.start.reservation + "/" + std::to_string(first);
    found->second.parts.push_back(name);
    parts_.insert({settings_.self, name});
    events_.emplace_back(
        engine_part_ready{value.id, {settings_.self, name, first, value.prompt_tokens}});
    end_job(value.id);
}

void engine_model::decode(job& value) {
    if (!has_parts(value.start.parts)) {
        fail_job(value.id, {error_code::backend_failed, "part lost"});
        return;
    }
    if (value.next_offset < value.start.max_generated_tokens) {
        events_.emplace_back(
            engine_tokens{value.id, value.next_offset, 1,
                          answer_from_seed(value.answer_seed, value.next_offset, 1)});
        ++value.next_offset;
        ++counts_.tokens_delivered;
    }
    if (value.next_offset >= value.start.max_generated_tokens) {
        events_.emplace_back(engine_finished{value.id, value.prompt_tokens, value.next_offset});
        cache_prompt(value);
        end_job(value.id);
    }
}

void engine_model::cache_prompt(const job& value) {
    if (value.start.parts.empty()) {
        publish_cache_changes(cache_.insert(*value.start.prompt));
    }
}

void engine_model::publish_cache_changes(const std::vector<cache_change>& changes) {
    std::bernoulli_distribution is_lost{settings_.cache_event_loss};
    for (const auto& change : changes) {
        ++cache_sequence_;
        if (!is_lost(random_)) {
            cache_events_.push_back(
                {cache_sequence_, clock_ + settings_.cache_event_lag, change.block, change.added});
        }
    }
    while (cache_events_.size() > max_cache_events) {
        cache_events_.pop_front();
    }
}

void engine_model::end_job(attempt_id id) {
    jobs_.erase(id);
    publish_cache_changes(cache_.evict_to(settings_.memory_tokens - used_memory()));
}

void engine_model::fail_job(attempt_id id, error failure) {
    const auto found = jobs_.find(id);
    const bool ran = found->second.is_running;
    events_.emplace_back(engine_failed{id,
                                       settings_.self,
                                       {},
                                       std::move(failure),
                                       ran ? run_certainty::ran : run_certainty::not_run,
                                       false});
    end_job(id);
}

void engine_model::expire_due(time_point now) {
    std::vector<std::string> expired;
    for (const auto& [name, reservation] : reservations_) {
        if (settings_.expires_reservations && reservation.expires_at <= now) {
            expired.push_back(name);
        }
    }
    std::ranges::for_each(expired, [this](const std::string& name) { end_reservation(name); });
    std::vector<attempt_id> late;
    for (const auto& [id, value] : jobs_) {
        if (value.deadline <= now) {
            late.push_back(id);
        }
    }
    std::ranges::for_each(late, [this](const attempt_id& id) {
        fail_job(id, {error_code::deadline_passed, {}});
    });
    std::erase_if(loading_, [this, now](const pending_load& load) {
        if (load.ready_at > now) {
            return false;
        }
        auto& items = load.kind == order_kind::load_model ? models_ : adapters_;
        const auto found = std::ranges::find(items, load.item.name, &loaded_item::name);
        if (found != items.end() && found->version == load.item.version) {
            found->is_ready = true;
        }
        return true;
    });
}

std::vector<engine_event> engine_model::advance(time_point now) {
    if (!is_up_) {
        clock_ = std::max(clock_, now);
        return {};
    }
    if (paused_at_) {
        return std::exchange(events_, {});
    }
    while (true) {
        const auto due = next_due();
        if (due > now) {
            break;
        }
        clock_ = std::max(clock_, due);
        if (step_ && step_->end <= clock_) {
            finish_step();
        }
        expire_due(clock_);
        admit(clock_);
        begin_step(clock_);
        report(clock_);
    }
    clock_ = std::max(clock_, now);
    report(clock_);
    return std::exchange(events_, {});
}

time_point engine_model::next_due() const {
    if (!is_up_ || paused_at_) {
        return time_point::max();
    }
    auto due = step_ ? step_->end : time_point::max();
    for (const auto& [id, value] : jobs_) {
        due = std::min(due, value.deadline);
        if (!value.is_running && value.ready_at > clock_) {
            due = std::min(due, value.ready_at);
        }
    }
    for (const auto& [name, reservation] : reservations_) {
        if (settings_.expires_reservations) {
            due = std::min(due, reservation.expires_at);
        }
    }
    for (const auto& load : loading_) {
        due = std::min(due, load.ready_at);
    }
    return due;
}

} // namespace magnolia::fakes
