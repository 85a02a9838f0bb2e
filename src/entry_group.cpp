/// Completions served by a group of engines. engine_group makes the decisions; the entry executes
/// its commands, passes its tokens to the caller, and keeps the group after the request has ended
/// until no engine can hold memory for it.
#include "entry_core_p.h"

namespace magnolia {
namespace {

request_id request_of(const engine_event& event) {
    return std::visit([](const auto& item) { return item.id.request; }, event);
}

} // namespace

void entry_core::state::start_group(request_record& record, const group_route& route,
                                    const route_query& query, event_time at) {
    auto& work = std::get<completion_work>(record.work);
    group_request request;
    request.request = record.id;
    request.first_number = record.attempt.number + 1;
    request.model = work.model;
    request.adapter = work.adapter;
    request.prompt = work.prompt;
    request.max_generated_tokens = work.max_tokens;
    request.urgency = route.engine_urgency;
    request.received_at = record.received_at;
    request.deadline = record.finish_deadline;
    apply_step(record, request_step::reserve);
    emit_event(event_kind::attempt_started, record,
               "group of " + std::to_string(route.members.size()), {});
    work.group_attempt = {record.id, record.attempt.number + 1};
    router_.on_group_started(work.group_attempt, route, query, at.now);
    work.group =
        std::make_unique<engine_group>(std::move(request), make_plan(route, router_), random_());
    emit_all(work.group->begin(at.now));
    apply_group_phase(record, at);
}

void entry_core::state::forward_to_group(const engine_event& event, event_time at) {
    const auto id = request_of(event);
    if (const auto closing = closing_groups_.find(id); closing != closing_groups_.end()) {
        emit_all(closing->second->on_event(event, at.now));
        return erase_settled_group(id);
    }
    auto* record = find(id);
    auto* work = record == nullptr ? nullptr : std::get_if<completion_work>(&record->work);
    if (work == nullptr || !work->group) {
        if (const auto* late = std::get_if<engine_reserved>(&event)) {
            // The reservation was granted after the request had been erased; release it, or it
            // would stay until it expires.
            emit(engine_command{engine_release{late->id, late->engine, late->reservation}});
        }
        return;
    }
    record->has_run = record->has_run || std::holds_alternative<engine_part_ready>(event);
    emit_all(work->group->on_event(event, at.now));
}

void entry_core::state::after_engine_event(const engine_event& event, event_time at) {
    auto* record = find(request_of(event));
    auto* work = record == nullptr ? nullptr : std::get_if<completion_work>(&record->work);
    if (work != nullptr && work->group) {
        apply_group_phase(*record, at);
    }
}

void entry_core::state::apply_group_phase(request_record& record, event_time at) {
    auto& work = std::get<completion_work>(record.work);
    const auto phase = work.group->phase();
    timers_.emplace(std::max(work.group->next_due(), at.now + min_timer_delay), record.id);
    if (phase == group_phase::failed) {
        const auto failure = work.group->failure();
        return end_failed(record, failure, at);
    }
    record.may_have_run = record.may_have_run || phase == group_phase::prefilling;
    const bool is_generating = phase == group_phase::generating;
    if (record.is_attempt_open && (!is_generating || record.attempt != work.group->generation())) {
        record.is_attempt_open = false;
        record.has_run = record.has_run || work.is_accepted;
        record.may_have_run = true;
        apply_step(record, request_step::retry);
        apply_step(record, request_step::reserve);
    }
    if (is_generating && !record.is_attempt_open) {
        record.attempt = work.group->generation();
        record.is_attempt_open = true;
        reset_stream_state(work);
        apply_step(record, request_step::dispatch);
    }
}

void entry_core::state::poll_group(request_record& record, event_time at) {
    auto& work = std::get<completion_work>(record.work);
    emit_all(work.group->poll(at.now));
    if (work.group->phase() == group_phase::backing_off) {
        const auto decision = router_.decide(query_of(record, at), at.now);
        if (const auto* route = std::get_if<group_route>(&decision)) {
            work.group->replan(make_plan(*route, router_));
        }
    }
    apply_group_phase(record, at);
}

void entry_core::state::close_group(request_record& record, bool succeeded, event_time at) {
    auto* work = std::get_if<completion_work>(&record.work);
    if (work == nullptr || !work->group) {
        return;
    }
    if (succeeded) {
        router_.on_ended(work->group_attempt, true, work->next_offset, at.now);
    } else {
        router_.on_cancelled(work->group_attempt, at.now);
        emit_all(work->group->cancel(at.now));
    }
    closing_groups_[record.id] = std::move(work->group);
    erase_settled_group(record.id);
}

void entry_core::state::erase_settled_group(request_id id) {
    const auto found = closing_groups_.find(id);
    if (found != closing_groups_.end() && found->second->is_settled()) {
        closing_groups_.erase(found);
    }
}

void entry_core::state::poll_closing_groups(event_time at) {
    for (auto& [id, group] : closing_groups_) {
        if (group->next_due() <= at.now) {
            emit_all(group->poll(at.now));
        }
    }
    std::erase_if(closing_groups_, [](const auto& item) { return item.second->is_settled(); });
}

void entry_core::state::emit_all(std::vector<engine_command> commands) {
    for (auto& command : commands) {
        emit(std::move(command));
    }
}

} // namespace magnolia
