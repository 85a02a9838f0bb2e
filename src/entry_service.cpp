/// Plain services: durable claims of idempotency keys, single dispatch of unrepeatable calls, and
/// retries of repeatable ones.
#include "entry_core_p.h"

#include <xxhash.h>

#include <algorithm>
#include <ranges>

namespace magnolia {
namespace {

/// Deadline of a call if the caller sets none.
constexpr auto default_call_deadline = std::chrono::milliseconds{10'000};

/// Timeout of a durable claim or of a lookup.
constexpr duration claim_timeout = std::chrono::milliseconds{3'000};

/// Maximum wait for the outcome of a running call with the same key, and the interval at which that
/// outcome is polled.
constexpr duration max_outcome_wait = std::chrono::milliseconds{3'000};
constexpr duration outcome_poll_period = std::chrono::milliseconds{200};

/// retry_after while a call with the same key is still running.
constexpr auto in_progress_retry_after = std::chrono::milliseconds{1'000};

/// Hash of path, service and body; a key reused with another fingerprint is refused.
std::uint64_t fingerprint_of(const service_request& event) {
    const auto head = XXH3_64bits(event.path.data(), event.path.size());
    const auto name = XXH3_64bits_withSeed(event.service.data(), event.service.size(), head);
    return XXH3_64bits_withSeed(event.body->data(), event.body->size(), name);
}

} // namespace

bool entry_core::state::is_unrepeatable(std::string_view service, std::string_view path) const {
    const auto matches = [&](const service_instance& item) {
        const auto covers = [&](const std::string& beginning) {
            return path.starts_with(beginning);
        };
        return item.info.name == service &&
               std::ranges::any_of(item.info.unrepeatable_paths, covers);
    };
    return std::ranges::any_of(services_, matches);
}

void entry_core::state::on(const service_request& event, event_time at) {
    const auto terms = authorize(event.identity);
    if (!terms) {
        return refuse(event.caller, {}, event.identity.workspace, terms.error());
    }
    auto& record = open_request(event.caller, **terms, at);
    auto& work = record.work.emplace<service_work>();
    work.service = event.service;
    work.path = event.path;
    work.body = event.body;
    work.fingerprint = fingerprint_of(event);
    work.is_repeatable = !event.key && !is_unrepeatable(event.service, event.path);
    record.finish_deadline = at.now + event.identity.deadline.value_or(default_call_deadline);
    record.first_token_deadline = record.finish_deadline;
    if (is_stopping_ || requests_.size() > options_.max_requests) {
        const auto code = is_stopping_ ? error_code::stopping : error_code::overloaded;
        return end_failed(record, {code, {}, std::chrono::milliseconds{100}}, at);
    }
    if (std::ranges::find((*terms)->services, event.service) == (*terms)->services.end()) {
        return end_failed(record, {error_code::service_unknown, event.service, {}}, at);
    }
    if (!work.is_repeatable && !event.key) {
        return end_failed(record, {error_code::key_without_time, event.path, {}}, at);
    }
    if (event.key) {
        work.claim = claim_key{record.workspace, event.key->key, event.key->created_ms};
    }
    schedule_deadlines(record);
    admit(record, at);
}

void entry_core::state::on_admitted(request_record& record, service_work& work, event_time at) {
    if (work.is_repeatable) {
        apply_step(record, request_step::admit);
        return start_service(record, at);
    }
    apply_step(record, request_step::claim);
    claim(record, at);
}

void entry_core::state::claim(request_record& record, event_time at) {
    const auto& work = std::get<service_work>(record.work);
    const auto timeout = std::min(claim_timeout, record.finish_deadline - at.now);
    claims_.request(*work.claim, record.id, work.fingerprint, timeout, at.now, at.wall_ms);
}

void entry_core::state::on(const claim_granted& event, event_time at) {
    auto* record = find(event.request);
    if (record == nullptr) {
        return;
    }
    auto& work = std::get<service_work>(record->work);
    work.is_claimed = true;
    emit_event(event_kind::claim_written, *record, work.claim->key, {});
    apply_step(*record, request_step::admit);
    start_service(*record, at);
}

void entry_core::state::on(const claim_exists& event, event_time at) {
    if (auto* record = find(event.request)) {
        emit_event(event_kind::claim_refused, *record,
                   std::get<service_work>(record->work).claim->key, "exists");
        replay(*record, event.record, at);
    }
}

void entry_core::state::replay(request_record& record, const claim_record& earlier, event_time at) {
    auto& work = std::get<service_work>(record.work);
    if (earlier.fingerprint != work.fingerprint) {
        return end_failed(record, {error_code::key_reused, work.claim->key, {}}, at);
    }
    if (!earlier.result) {
        return wait_for_outcome(record, work, at);
    }
    if (earlier.status == 0) {
        record.has_run = *earlier.result == outcome::failed;
        record.may_have_run = true;
        return end_failed(record, {error_code::backend_lost, work.claim->key, {}}, at);
    }
    emit(caller_command{
        caller_answer{record.caller, record.id, earlier.status, earlier.answer, true}});
    close_request(record, *earlier.result, at);
}

void entry_core::state::wait_for_outcome(request_record& record, service_work& work,
                                         event_time at) {
    if (!work.outcome_deadline) {
        work.outcome_deadline = std::min(at.now + max_outcome_wait, record.finish_deadline);
    }
    const auto next = at.now + outcome_poll_period;
    if (next >= *work.outcome_deadline) {
        record.may_have_run = true;
        return end_failed(
            record, {error_code::key_in_progress, work.claim->key, in_progress_retry_after}, at);
    }
    record.retry_at = next;
    timers_.emplace(next, record.id);
}

void entry_core::state::on(const claim_failed& event, event_time at) {
    if (auto* record = find(event.request)) {
        emit_event(event_kind::claim_refused, *record, {}, to_string(event.failure));
        end_failed(*record, event.failure, at);
    } else if (const auto caller = extract_lookup(event.request)) {
        // Of the call with the key nothing is known.
        emit(
            caller_command{caller_failed{*caller, event.request, event.failure, outcome::unknown}});
    }
}

void entry_core::state::on(const claim_found& event, event_time at) {
    if (auto* record = find(event.request)) {
        // The other request has freed the key, so this one may claim it.
        return event.record ? replay(*record, *event.record, at) : claim(*record, at);
    }
    const auto caller = extract_lookup(event.request);
    if (!caller) {
        return;
    }
    const auto answer = [&](error_code code, outcome final_outcome,
                            std::chrono::milliseconds retry_after = {}) {
        emit(caller_command{
            caller_failed{*caller, event.request, {code, {}, retry_after}, final_outcome}});
    };
    if (!event.record) {
        // Claims are forgotten after a time, those of calls that have run too.
        return answer(error_code::not_found, outcome::unknown);
    }
    if (!event.record->result) {
        return answer(error_code::key_in_progress, outcome::unknown, in_progress_retry_after);
    }
    if (event.record->status == 0) {
        return answer(error_code::backend_lost, *event.record->result);
    }
    emit(caller_command{
        caller_answer{*caller, event.request, event.record->status, event.record->answer, true}});
}

std::optional<caller_handle> entry_core::state::extract_lookup(request_id id) {
    const auto found = pending_lookups_.extract(id);
    return found.empty() ? std::nullopt : std::optional{found.mapped()};
}

std::optional<service_handle> entry_core::state::choose_instance(const service_work& work) const {
    const auto cost = [&](std::uint32_t index) {
        const auto& item = services_[index];
        return std::pair{item.info.zone != options_.zone, item.open_calls};
    };
    const auto is_usable = [&](std::uint32_t index) {
        const auto& item = services_[index];
        const bool is_excluded =
            std::ranges::find(work.excluded, service_handle{index}) != work.excluded.end();
        return item.info.name == work.service && item.state == host_state::live && !is_excluded;
    };
    const auto count = static_cast<std::uint32_t>(services_.size());
    std::optional<std::uint32_t> best;
    for (const auto index : std::views::iota(0U, count) | std::views::filter(is_usable)) {
        if (!best || cost(index) < cost(*best)) {
            best = index;
        }
    }
    return best ? std::optional{service_handle{*best}} : std::nullopt;
}

void entry_core::state::start_service(request_record& record, event_time at) {
    auto& work = std::get<service_work>(record.work);
    const auto instance = choose_instance(work);
    if (!instance) {
        return end_failed(
            record, {error_code::no_capacity, work.service, std::chrono::milliseconds{1'000}}, at);
    }
    ++record.attempt.number;
    record.is_attempt_open = true;
    work.instance = *instance;
    ++services_[instance->value].open_calls;
    apply_step(record, request_step::dispatch);
    emit_event(event_kind::attempt_started, record, work.service, work.path);
    const auto key = work.claim ? work.claim->key : std::string{};
    emit(service_call{record.attempt, *instance, work.path, work.body, key,
                      record.finish_deadline - at.now});
}

void entry_core::state::close_call(service_work& work) {
    --services_[work.instance.value].open_calls;
}

void entry_core::state::on(const service_answer& event, event_time at) {
    auto* record = find_attempt(event.id);
    if (record == nullptr) {
        return;
    }
    record->is_attempt_open = false;
    record->has_run = true;
    close_call(std::get<service_work>(record->work));
    emit_event(event_kind::attempt_ended, *record, {}, "status " + std::to_string(event.status));
    end_answered(*record, event, at);
}

void entry_core::state::on(const service_failed& event, event_time at) {
    auto* record = find_attempt(event.id);
    if (record == nullptr) {
        return;
    }
    auto& work = std::get<service_work>(record->work);
    record->is_attempt_open = false;
    close_call(work);
    record->has_run = record->has_run || event.certainty == run_certainty::ran;
    record->may_have_run = record->may_have_run || event.certainty != run_certainty::not_run;
    emit_event(event_kind::attempt_ended, *record, work.service, to_string(event.failure));
    if (event.is_leaving) {
        services_[work.instance.value].state = host_state::leaving;
    }
    const bool is_safe = work.is_repeatable || event.certainty == run_certainty::not_run;
    if (!is_safe || !may_retry(*record, at)) {
        return end_failed(*record, event.failure, at);
    }
    work.excluded.push_back(work.instance);
    apply_step(*record, request_step::retry);
    start_service(*record, at);
}

void entry_core::state::on(const outcome_request& event, event_time at) {
    const auto terms = authorize(event.identity);
    if (!terms) {
        return refuse(event.caller, {}, event.identity.workspace, terms.error());
    }
    const request_id id{options_.origin, next_sequence_++};
    pending_lookups_[id] = event.caller;
    claims_.look_up({(*terms)->workspace, event.key.key, event.key.created_ms}, id, claim_timeout,
                    at.now);
}

} // namespace magnolia
