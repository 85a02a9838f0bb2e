#include "entry_core_p.h"
#include "key_hash.h"

#include <algorithm>
#include <ranges>

namespace magnolia {
namespace {

/// retry_after of requests refused because the configuration lease has lapsed.
constexpr auto cut_off_retry_after = std::chrono::milliseconds{2'000};

} // namespace

// Construction and backend servers.

entry_core::state::state(entry_options options)
    : options_{std::move(options)}, router_{options_.zone, options_.policy, options_.seed},
      limiter_{options_.name, options_.zone, options_.origin},
      claims_{options_.origin, options_.claim_retention}, random_{options_.seed} {}

engine_handle entry_core::state::put_engine(const engine_info& info, event_time at) {
    return router_.put_engine(info, at.now);
}

service_handle entry_core::state::put_service(const service_info& info) {
    services_.push_back({info});
    return {static_cast<std::uint32_t>(services_.size() - 1)};
}

void entry_core::state::set_engine_state(engine_handle engine, host_state value, event_time at) {
    auto& known_state = engine_states_[engine];
    if (known_state == value) {
        return;
    }
    known_state = value;
    router_.set_state(engine, value, at.now);
    if (value != host_state::live) {
        emit(event_record{event_kind::backend_leaving,
                          {},
                          {},
                          router_.info(engine).name,
                          std::string{to_string(value)}});
    }
}

void entry_core::state::set_service_state(service_handle service, host_state value) {
    services_[service.value].state = value;
}

void entry_core::state::put_contract(const contract& value, std::uint64_t version, event_time at) {
    auto& active = contracts_[value.workspace];
    if (version <= active.version) {
        return;
    }
    for (const auto& hash : active.value.key_hashes) {
        workspace_of_key_.erase(hash);
    }
    for (const auto& hash : value.key_hashes) {
        workspace_of_key_[hash] = value.workspace;
    }
    active = {value, version};
    limiter_.put_contract(value, version, at.now);
    emit(event_record{event_kind::contract_in_force,
                      {},
                      value.workspace,
                      value.workspace,
                      "version " + std::to_string(version)});
}

// Admission of completions and service calls.

result<const contract*> entry_core::state::authorize(const caller_identity& identity) const {
    const auto found_key = workspace_of_key_.find(key_hash(identity.key));
    if (found_key == workspace_of_key_.end()) {
        return fail(error_code::unauthorized);
    }
    if (!identity.workspace.empty() && identity.workspace != found_key->second) {
        return fail(error_code::unauthorized, identity.workspace);
    }
    const auto& terms = contracts_.at(found_key->second).value;
    if (terms.state == contract_state::retired) {
        return fail(error_code::workspace_retired, terms.workspace);
    }
    if (is_config_lapsed_ && terms.cut_off == cut_off_rule::refuse) {
        return fail(error_code::cut_off, terms.workspace, cut_off_retry_after);
    }
    return &terms;
}

request_record& entry_core::state::open_request(caller_handle caller, const contract& terms,
                                                event_time at) {
    const request_id id{options_.origin, next_sequence_++};
    auto& record = requests_[id];
    record = std::make_unique<request_record>();
    record->id = id;
    record->caller = caller;
    record->workspace = terms.workspace;
    record->urgency = terms.urgency;
    record->received_at = at.now;
    record->attempt.request = id;
    request_of_caller_[caller.value] = id;
    emit_event(event_kind::request_received, *record, {}, {});
    return *record;
}

void entry_core::state::refuse(caller_handle caller, request_id request, std::string_view workspace,
                               const error& failure) {
    emit(event_record{
        event_kind::request_refused, request, std::string{workspace}, {}, to_string(failure)});
    emit(caller_command{caller_failed{caller, request, failure, outcome::not_run}});
}

void entry_core::state::emit_event(event_kind kind, const request_record& record,
                                   std::string subject, std::string detail) {
    emit(event_record{kind, record.id, record.workspace, std::move(subject), std::move(detail),
                      now_ - record.received_at});
}

void entry_core::state::apply_step(request_record& record, request_step step) {
    if (const auto applied = record.lifecycle.apply(step); !applied) {
        emit_event(event_kind::request_ended, record, "life cycle", to_string(applied.error()));
    }
}

void entry_core::state::schedule_deadlines(request_record& record) {
    timers_.emplace(std::min(record.first_token_deadline, record.finish_deadline), record.id);
    timers_.emplace(record.finish_deadline, record.id);
}

void entry_core::state::admit(request_record& record, event_time at) {
    const auto* work = std::get_if<completion_work>(&record.work);
    const auto prompt_tokens = work != nullptr ? work->prompt_tokens : 0U;
    const auto generated_tokens = work != nullptr ? work->max_tokens : 0U;
    auto decision = limiter_.decide(record.workspace, prompt_tokens, generated_tokens,
                                    record.received_at, at.now);
    if (auto* failure = std::get_if<error>(&decision)) {
        return end_failed(record, *failure, at);
    }
    if (const auto* pending = std::get_if<limit_pending>(&decision)) {
        waiting_for_quota_[record.workspace].push_back(record.id);
        // At least min_timer_delay, so that the loop in tick() ends.
        timers_.emplace(std::max(pending->until, at.now + min_timer_delay), record.id);
        return;
    }
    record.ticket = std::move(std::get<limit_ticket>(decision));
    emit_event(event_kind::request_admitted, record, {}, {});
    std::visit([&](auto& item) { on_admitted(record, item, at); }, record.work);
}

void entry_core::state::admit_waiting(event_time at) {
    for (const auto& workspace : limiter_.take_due_workspaces()) {
        const auto found = waiting_for_quota_.find(workspace);
        if (found == waiting_for_quota_.end()) {
            continue;
        }
        const auto ids = std::exchange(found->second, {});
        waiting_for_quota_.erase(found);
        for (const auto& id : ids) {
            auto* record = find(id);
            if (record != nullptr && record->lifecycle.phase() == request_phase::received) {
                admit(*record, at);
            }
        }
    }
}

// End of a request.

outcome entry_core::state::outcome_of(const request_record& record) const {
    if (record.has_run) {
        return outcome::failed;
    }
    return record.may_have_run ? outcome::unknown : outcome::not_run;
}

void entry_core::state::end_completed(request_record& record, event_time at) {
    const auto& work = std::get<completion_work>(record.work);
    emit(caller_command{
        caller_done{record.caller, record.id, work.prompt_tokens, work.next_offset}});
    close_request(record, outcome::done, at);
}

void entry_core::state::end_answered(request_record& record, const service_answer& answer,
                                     event_time at) {
    constexpr unsigned first_server_error = 500;
    const auto final_outcome = answer.status < first_server_error ? outcome::done : outcome::failed;
    emit(
        caller_command{caller_answer{record.caller, record.id, answer.status, answer.body, false}});
    if (auto& work = std::get<service_work>(record.work); work.is_claimed) {
        claims_.record_outcome(*work.claim, record.id, final_outcome, answer.status, answer.body,
                               at.now);
    }
    close_request(record, final_outcome, at);
}

void entry_core::state::end_failed(request_record& record, const error& failure, event_time at) {
    end_attempt(record, false, at);
    const auto final_outcome = outcome_of(record);
    if (auto* work = std::get_if<service_work>(&record.work); work != nullptr && work->is_claimed) {
        claims_.record_outcome(*work->claim, record.id, final_outcome, 0, {}, at.now);
    }
    emit(caller_command{caller_failed{record.caller, record.id, failure, final_outcome}});
    emit_event(event_kind::request_refused, record, {}, to_string(failure));
    close_request(record, final_outcome, at);
}

void entry_core::state::close_request(request_record& record, outcome result, event_time at) {
    apply_step(record, request_step::end);
    close_group(record, result == outcome::done, at);
    emit_event(event_kind::request_ended, record, {}, std::string{to_string(result)});
    if (record.ticket) {
        const auto* work = std::get_if<completion_work>(&record.work);
        const bool has_started = result != outcome::not_run;
        const auto prompt_tokens = work != nullptr && has_started ? work->prompt_tokens : 0U;
        const auto generated_tokens = work != nullptr ? work->next_offset : 0U;
        limiter_.settle(*record.ticket, prompt_tokens, generated_tokens, at.now);
    }
    request_of_caller_.erase(record.caller.value);
    // Destroys the record; it must not be used afterwards.
    requests_.erase(record.id);
}

// Timers.

void entry_core::state::tick(event_time at) {
    now_ = at.now;
    while (!timers_.empty() && timers_.begin()->first <= at.now) {
        auto* record = find(timers_.begin()->second);
        timers_.erase(timers_.begin());
        if (record != nullptr) {
            on_timer(*record, at);
        }
    }
    for (auto& message : limiter_.poll(at.now)) {
        emit(std::move(message));
    }
    admit_waiting(at);
    poll_closing_groups(at);
    process_claims(at);
}

void entry_core::state::on_timer(request_record& record, event_time at) {
    const auto* work = std::get_if<completion_work>(&record.work);
    const bool has_token = work != nullptr && work->next_offset > 0;
    if (record.finish_deadline <= at.now || (!has_token && record.first_token_deadline <= at.now)) {
        return end_failed(record, error{error_code::deadline_passed, {}, {}}, at);
    }
    if (record.lifecycle.phase() == request_phase::received) {
        return admit(record, at);
    }
    if (work != nullptr && work->group) {
        return poll_group(record, at);
    }
    if (record.retry_at && *record.retry_at <= at.now) {
        record.retry_at.reset();
        on_retry_due(record, at);
    }
}

void entry_core::state::on_retry_due(request_record& record, event_time at) {
    const auto* call = std::get_if<service_work>(&record.work);
    if (call == nullptr) {
        start_completion(record, at);
    } else if (record.lifecycle.phase() == request_phase::claiming) {
        claims_.look_up(*call->claim, record.id, record.finish_deadline - at.now, at.now);
    } else {
        start_service(record, at);
    }
}

void entry_core::state::process_claims(event_time at) {
    for (auto& call : claims_.poll(at.now, at.wall_ms)) {
        emit(std::move(call));
    }
    for (const auto& event : claims_.take_events()) {
        std::visit([&](const auto& item) { on(item, at); }, event);
    }
}

time_point entry_core::state::next_due() const {
    const auto deadline = timers_.empty() ? time_point::max() : timers_.begin()->first;
    return std::min(deadline, claims_.next_due());
}

void entry_core::state::abandon_all(event_time at) {
    while (!requests_.empty()) {
        end_failed(*requests_.begin()->second, error{error_code::stopping, {}, {}}, at);
    }
    process_claims(at);
}

request_record* entry_core::state::find(request_id id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : found->second.get();
}

request_record* entry_core::state::find_attempt(attempt_id id) {
    auto* record = find(id.request);
    const bool is_current = record != nullptr && record->is_attempt_open && record->attempt == id;
    return is_current ? record : nullptr;
}

void entry_core::state::on(const caller_gone& event, event_time at) {
    const auto found = request_of_caller_.find(event.caller.value);
    if (found != request_of_caller_.end()) {
        end_failed(*find(found->second), error{error_code::caller_gone, {}, {}}, at);
    }
}

// Public interface.

entry_core::entry_core(entry_options options)
    : state_{std::make_unique<state>(std::move(options))} {}

entry_core::~entry_core() = default;

engine_handle entry_core::put_engine(const engine_info& info, event_time at) {
    return state_->put_engine(info, at);
}

service_handle entry_core::put_service(const service_info& info) {
    return state_->put_service(info);
}

void entry_core::set_engine_state(engine_handle engine, host_state value, event_time at) {
    state_->set_engine_state(engine, value, at);
}

void entry_core::set_service_state(service_handle service, host_state value) {
    state_->set_service_state(service, value);
}

void entry_core::on_engine_load(engine_handle engine, const engine_load& load, event_time at) {
    state_->router_.on_load(engine, load, at.now);
}

void entry_core::on_load_query_failed(engine_handle engine, event_time at) {
    state_->set_engine_state(engine, host_state::suspect, at);
}

void entry_core::put_contract(const contract& value, std::uint64_t version, event_time at) {
    state_->put_contract(value, version, at);
}

void entry_core::set_members(const std::vector<limit_member>& members, bool is_cut_off,
                             event_time at) {
    state_->limiter_.set_members(members, is_cut_off, at.now);
}

void entry_core::set_config_lapsed(bool is_lapsed) {
    state_->is_config_lapsed_ = is_lapsed;
}

void entry_core::handle(const caller_event& event, event_time at) {
    state_->now_ = at.now;
    std::visit([&](const auto& item) { state_->on(item, at); }, event);
    state_->process_claims(at);
}

void entry_core::handle(const engine_event& event, event_time at) {
    state_->now_ = at.now;
    state_->forward_to_group(event, at);
    std::visit([&](const auto& item) { state_->on(item, at); }, event);
    state_->after_engine_event(event, at);
}

void entry_core::handle(const service_event& event, event_time at) {
    state_->now_ = at.now;
    std::visit([&](const auto& item) { state_->on(item, at); }, event);
    state_->process_claims(at);
}

void entry_core::handle_reply(std::uint64_t call, const result<platform_reply>& reply,
                              event_time at) {
    state_->now_ = at.now;
    state_->claims_.on_reply(call, reply, at.now, at.wall_ms);
    state_->process_claims(at);
}

void entry_core::handle_message(std::string_view from, const peer_message& message, event_time at) {
    state_->now_ = at.now;
    state_->limiter_.on_message(from, message, at.now);
    state_->admit_waiting(at);
}

void entry_core::tick(event_time at) {
    state_->tick(at);
}

time_point entry_core::next_due() const {
    return state_->next_due();
}

void entry_core::begin_stop() {
    state_->is_stopping_ = true;
}

void entry_core::abandon_all(event_time at) {
    state_->abandon_all(at);
}

bool entry_core::has_unrecorded_outcomes() const {
    return state_->claims_.has_unrecorded_outcomes();
}

std::size_t entry_core::open_requests() const {
    return state_->requests_.size();
}

std::vector<entry_command> entry_core::take_commands() {
    return std::exchange(state_->commands_, {});
}

} // namespace magnolia
