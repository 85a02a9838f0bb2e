/// Completions: admission, attempts on engines, in-order assembly of the answer, and retries on
/// another engine.
#include "entry_core_p.h"

#include <algorithm>

namespace magnolia {
namespace {

/// Deadlines used if the contract states none.
constexpr auto default_first_token_deadline = std::chrono::minutes{10};
constexpr auto default_finish_deadline = std::chrono::hours{1};

/// Maximum number of token batches buffered out of order; more means that the stream is broken.
constexpr std::size_t max_out_of_order_batches = 64;

/// Maximum number of attempts of one request, even if the retry budget allows more.
constexpr std::uint32_t max_attempts = 8;

/// Backoff before the next attempt when no backend server is available: doubled with each refusal
/// in a row, from the minimum to the maximum, with jitter.
constexpr duration min_retry_wait = std::chrono::milliseconds{50};
constexpr duration max_retry_wait = std::chrono::milliseconds{2'000};

/// Tokens that a retry of a service call takes from the retry budget.
constexpr std::uint32_t service_call_cost_tokens = 100;

/// First deadline class, in order of length, that covers the prompt; the last class also covers
/// everything longer.
deadline_class deadline_class_for(const contract& terms, std::uint32_t prompt_tokens) {
    if (terms.deadlines.empty()) {
        return {prompt_tokens, default_first_token_deadline, default_finish_deadline};
    }
    const auto fits = [&](const deadline_class& item) {
        return prompt_tokens <= item.up_to_tokens;
    };
    const auto found = std::ranges::find_if(terms.deadlines, fits);
    return found == terms.deadlines.end() ? terms.deadlines.back() : *found;
}

} // namespace

void entry_core::state::set_deadlines(request_record& record, const contract& terms,
                                      const caller_identity& identity, std::uint32_t prompt_tokens,
                                      event_time at) {
    const auto limits = deadline_class_for(terms, prompt_tokens);
    const auto requested = identity.deadline.value_or(limits.finish);
    record.first_token_deadline = at.now + std::min(limits.first_token, requested);
    record.finish_deadline = at.now + std::min(limits.finish, requested);
}

void entry_core::state::on(const completion_request& event, event_time at) {
    const auto terms = authorize(event.identity);
    if (!terms) {
        return refuse(event.caller, {}, event.identity.workspace, terms.error());
    }
    auto& record = open_request(event.caller, **terms, at);
    auto& work = record.work.emplace<completion_work>();
    work.model = event.model;
    work.adapter = event.adapter;
    work.prompt = event.prompt;
    work.prompt_tokens = router_.estimate_tokens(event.model, event.prompt->size());
    work.max_tokens = std::min(event.max_tokens == 0 ? UINT32_MAX : event.max_tokens,
                               (*terms)->max_generated_tokens);
    set_deadlines(record, **terms, event.identity, work.prompt_tokens, at);
    if (is_stopping_ || requests_.size() > options_.max_requests) {
        const auto code = is_stopping_ ? error_code::stopping : error_code::overloaded;
        return end_failed(record, {code, {}, std::chrono::milliseconds{100}}, at);
    }
    if (std::ranges::find((*terms)->models, event.model) == (*terms)->models.end()) {
        return end_failed(record, {error_code::model_unknown, event.model, {}}, at);
    }
    if (work.prompt_tokens > (*terms)->max_prompt_tokens) {
        return end_failed(
            record, {error_code::too_large, std::to_string(work.prompt_tokens) + " tokens", {}},
            at);
    }
    work.prefix_hashes = prefix_hashes(*work.prompt);
    schedule_deadlines(record);
    admit(record, at);
}

void entry_core::state::on_admitted(request_record& record, completion_work& /*work*/,
                                    event_time at) {
    apply_step(record, request_step::admit);
    start_completion(record, at);
}

route_query entry_core::state::query_of(const request_record& record, event_time at) const {
    const auto& work = std::get<completion_work>(record.work);
    route_query query;
    query.request = record.id;
    query.model = work.model;
    query.adapter = work.adapter;
    query.prompt_tokens = work.prompt_tokens + work.next_offset;
    query.max_generated_tokens = work.max_tokens - work.next_offset;
    query.prefix_hashes = work.prefix_hashes;
    query.urgency = record.urgency;
    // Once the first token has been delivered, only the final deadline applies.
    const auto first_token_deadline =
        work.next_offset > 0 ? record.finish_deadline : record.first_token_deadline;
    query.first_token_budget = first_token_deadline - at.now;
    query.finish_budget = record.finish_deadline - at.now;
    query.excluded = work.excluded;
    return query;
}

void entry_core::state::start_completion(request_record& record, event_time at) {
    const auto query = query_of(record, at);
    const auto decision = router_.decide(query, at.now);
    if (const auto* refusal = std::get_if<route_refused>(&decision)) {
        // A request that has already been tried waits for a backend server; a new one is refused at
        // once.
        const bool is_new = record.attempt.number == 0;
        return is_new ? end_failed(record, refusal->failure, at)
                      : wait_for_backend(record, refusal->failure, at);
    }
    if (const auto* single = std::get_if<single_route>(&decision)) {
        return dispatch(record, *single, query, at);
    }
    start_group(record, std::get<group_route>(decision), query, at);
}

void entry_core::state::reset_stream_state(completion_work& work) {
    work.is_accepted = false;
    work.final_tokens.reset();
    work.out_of_order.clear();
}

void entry_core::state::dispatch(request_record& record, const single_route& route,
                                 const route_query& query, event_time at) {
    auto& work = std::get<completion_work>(record.work);
    ++record.attempt.number;
    record.is_attempt_open = true;
    const auto engine = route.engine;
    work.engine = engine;
    reset_stream_state(work);
    apply_step(record, request_step::dispatch);
    router_.on_started(record.attempt, engine, query, at.now);
    record.consecutive_refusals = 0;
    if (record.attempt.number == 1) {
        retry_budget_.on_first_attempt(work.prompt_tokens, at.now);
    }

    engine_start start;
    start.id = record.attempt;
    start.engine = engine;
    start.model = work.model;
    start.adapter = work.adapter;
    start.prompt = work.prompt;
    start.prefix_answer = work.answer;
    start.resume_offset = work.next_offset;
    start.max_generated_tokens = work.max_tokens;
    start.urgency = route.engine_urgency;
    start.time_left = record.finish_deadline - at.now;
    const auto kind =
        work.next_offset > 0 ? event_kind::attempt_resumed : event_kind::attempt_started;
    emit_event(kind, record, router_.info(engine).name,
               "offset " + std::to_string(work.next_offset));
    emit(engine_command{std::move(start)});
}

void entry_core::state::end_attempt(request_record& record, bool succeeded, event_time at) {
    if (!record.is_attempt_open) {
        return;
    }
    record.is_attempt_open = false;
    auto* work = std::get_if<completion_work>(&record.work);
    if (work == nullptr) {
        close_call(std::get<service_work>(record.work));
        record.may_have_run = true;
        return;
    }
    record.has_run = record.has_run || work->is_accepted;
    record.may_have_run = true;
    if (work->group) {
        return;
    }
    if (succeeded) {
        router_.on_ended(record.attempt, true, work->next_offset, at.now);
    } else {
        router_.on_cancelled(record.attempt, at.now);
    }
    emit_event(event_kind::attempt_ended, record, router_.info(work->engine).name,
               succeeded ? "done" : "cancelled");
    if (!succeeded) {
        emit(engine_command{engine_cancel{record.attempt, work->engine}});
    }
}

void entry_core::state::on(const engine_accepted& event, event_time at) {
    auto* record = find_attempt(event.id);
    if (record == nullptr) {
        return;
    }
    auto& work = std::get<completion_work>(record->work);
    work.is_accepted = true;
    work.prompt_tokens = event.prompt_tokens;
    router_.on_accepted(work.group ? work.group_attempt : event.id, event.prompt_tokens,
                        event.cached_tokens, at.now);
}

void entry_core::state::on(const engine_tokens& event, event_time at) {
    if (auto* record = find_attempt(event.id)) {
        accept_tokens(*record, event, at);
    }
}

void entry_core::state::accept_tokens(request_record& record, const engine_tokens& event,
                                      event_time at) {
    auto& work = std::get<completion_work>(record.work);
    const auto end = event.offset + event.count;
    if (end <= work.next_offset || event.count == 0) {
        return;
    }
    if (event.offset < work.next_offset || work.out_of_order.size() >= max_out_of_order_batches) {
        return retry_completion(record,
                                {error_code::backend_failed, "token stream out of order", {}}, at);
    }
    work.is_accepted = true;
    work.out_of_order.emplace(event.offset, event);
    while (!work.out_of_order.empty() && work.out_of_order.begin()->first == work.next_offset) {
        auto batch = std::move(work.out_of_order.extract(work.out_of_order.begin()).mapped());
        if (record.lifecycle.phase() == request_phase::dispatched) {
            apply_step(record, request_step::first_token);
            router_.on_first_token(work.group ? work.group_attempt : record.attempt, at.now);
            emit_event(event_kind::attempt_first_token, record, {}, {});
        }
        work.answer += batch.text;
        work.next_offset += batch.count;
        emit(caller_command{
            caller_text{record.caller, record.id, batch.offset, std::move(batch.text)}});
    }
    finish_if_complete(record, at);
}

void entry_core::state::on(const engine_finished& event, event_time at) {
    auto* record = find_attempt(event.id);
    if (record == nullptr) {
        return;
    }
    auto& work = std::get<completion_work>(record->work);
    work.is_accepted = true;
    work.final_tokens = event.generated_tokens;
    finish_if_complete(*record, at);
}

void entry_core::state::finish_if_complete(request_record& record, event_time at) {
    const auto& work = std::get<completion_work>(record.work);
    if (work.final_tokens && *work.final_tokens <= work.next_offset && work.out_of_order.empty()) {
        end_attempt(record, true, at);
        end_completed(record, at);
    }
}

void entry_core::state::on(const engine_failed& event, event_time at) {
    if (event.is_leaving) {
        set_engine_state(event.engine, host_state::leaving, at);
    }
    auto* record = find_attempt(event.id);
    if (record == nullptr || std::get<completion_work>(record->work).group) {
        return;
    }
    auto& work = std::get<completion_work>(record->work);
    record->is_attempt_open = false;
    record->has_run = record->has_run || work.is_accepted || event.certainty == run_certainty::ran;
    record->may_have_run = record->may_have_run || event.certainty != run_certainty::not_run;
    router_.on_ended(event.id, false, work.next_offset, at.now);
    emit_event(event_kind::attempt_ended, *record, router_.info(work.engine).name,
               to_string(event.failure));
    retry_completion(*record, event.failure, at);
}

bool entry_core::state::may_retry(const request_record& record, event_time at) {
    const auto* work = std::get_if<completion_work>(&record.work);
    const auto tokens = work != nullptr ? work->prompt_tokens : service_call_cost_tokens;
    return record.attempt.number < max_attempts && retry_budget_.try_spend(tokens, at.now);
}

void entry_core::state::retry_completion(request_record& record, const error& failure,
                                         event_time at) {
    end_attempt(record, false, at);
    auto& work = std::get<completion_work>(record.work);
    work.excluded.push_back(work.engine);
    if (!may_retry(record, at)) {
        return end_failed(record, failure, at);
    }
    apply_step(record, request_step::retry);
    start_completion(record, at);
}

void entry_core::state::wait_for_backend(request_record& record, const error& failure,
                                         event_time at) {
    auto& work = std::get<completion_work>(record.work);
    // Engines that failed earlier may have recovered by the next attempt.
    work.excluded.clear();
    const auto max_wait =
        std::min(min_retry_wait * (std::int64_t{1} << std::min(record.consecutive_refusals, 6U)),
                 max_retry_wait);
    const duration wait{
        std::uniform_int_distribution{max_wait.count() / 2, max_wait.count()}(random_)};
    ++record.consecutive_refusals;
    const auto retry_at = at.now + wait;
    const auto deadline =
        work.next_offset > 0 ? record.finish_deadline : record.first_token_deadline;
    if (retry_at >= deadline) {
        return end_failed(record, failure, at);
    }
    record.retry_at = retry_at;
    timers_.emplace(retry_at, record.id);
}

} // namespace magnolia
