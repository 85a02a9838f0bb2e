#include "forward_call.h"

#include "log.h"

#include <algorithm>
#include <set>

namespace magnolia {
namespace {

/// Connection timeout to a backend server: a round trip between zones, plus one lost packet with an
/// immediate retransmission.
constexpr milliseconds connect_timeout{250};
/// Time until a deferred request is considered again. A request is deferred while its net value is
/// negative: it would cost other requests more than it gains.
constexpr milliseconds deferred_retry_interval{40};
/// Share of the time until the caller gives up waiting for the first event of a stream that may be
/// spent waiting for capacity.
constexpr double queue_time_share = 0.7;
/// Time between two checks for free capacity.
constexpr milliseconds capacity_check_interval{20};
/// Part of the time to the deadline that may be spent waiting for capacity: one half.
constexpr int queue_time_divisor = 2;
/// Time between two attempts to reserve memory on several engines. Each attempt holds the memory
/// that was granted until all engines have responded.
constexpr milliseconds reservation_retry_interval{150};
/// Time between two checks whether the backend server has stopped sending.
constexpr milliseconds silence_check_interval{100};
/// Part of the silence limit after which the backend server is probed: one third.
constexpr int probe_silence_divisor = 3;
/// Prompt tokens that increase the value of a request by 1. An empty prompt has the value 1.
constexpr double tokens_per_value = 10'000;

const logger& log_of() {
    static const logger log{"call"};
    return log;
}

/// Chosen backend servers for the log, separated by commas, each with its reserved tokens.
std::string member_list(const chosen_backends& chosen) {
    std::string list;
    for (const auto& member : chosen.members) {
        list += (list.empty() ? "" : ",") + member.id +
                (member.reserved_tokens > 0 ? ":" + std::to_string(member.reserved_tokens) : "");
    }
    return list;
}

milliseconds to_milliseconds(duration span) {
    return std::chrono::duration_cast<milliseconds>(span);
}

} // namespace

forward_call::forward_call(shared_call_state& shared, http_request request,
                           http_responder responder, std::optional<relay_context> relayed)
    : shared_{shared}, request_{std::move(request)}, responder_{std::move(responder)},
      relayed_{std::move(relayed)}, timer_{shared.io} {}

void forward_call::start() {
    responder_.on_disconnect([self = shared_from_this()] { self->on_caller_disconnected(); });
    auto head = shared_.codec.read_request(request_);
    if (!head) {
        return answer_failure(head.error());
    }
    head_ = std::move(*head);
    responder_.set_request_id(head_.attempt);
    if (relayed_) {
        head_.time_left = relayed_->time_left;
        if (relayed_->is_resumed) {
            head_.resume_after = relayed_->last_event;
        }
    }
    request_.headers = end_to_end_headers(request_.headers);
    if (const auto found = find_route(); !found) {
        return answer_failure(found.error());
    }
    if (refuse_if_stopping() || refuse_if_quarantined()) {
        return;
    }
    shared_.calls.push_back(*this);
    prepare_request();
    next_attempt();
    arm_timer();
}

result<void> forward_call::find_route() {
    routes_ = shared_.routes;
    if (!routes_) {
        return fail(error_code::platform_down, "no configuration received yet", milliseconds{500});
    }
    if (shared_.is_state_known && !shared_.is_state_known()) {
        return fail(error_code::platform_down, "whether the store has a newer state is not known",
                    milliseconds{500});
    }
    if (relayed_ && routes_->version() < relayed_->config_version) {
        return fail(error_code::platform_down, "configuration older than the other host's",
                    milliseconds{500});
    }
    const bool is_current =
        steady_now() - shared_.routes_confirmed_at <= shared_.max_confirmation_age;
    const auto refuse_unknown = [&](error_code code, std::string subject) {
        return is_current ? fail(code, std::move(subject))
                          : fail(error_code::platform_down, "configuration may be outdated",
                                 milliseconds{500});
    };
    route_ =
        routes_->find_route(find_header(request_.headers, "Host"), target_path(request_.target));
    if (route_ == nullptr) {
        return refuse_unknown(error_code::not_found, "route");
    }
    if (route_->needs_key && !routes_->config().workspaces.empty()) {
        const auto* workspace = routes_->find_workspace(head_.key);
        if (workspace == nullptr) {
            return refuse_unknown(error_code::unauthorized, "key");
        }
        workspace_ = workspace->name;
    }
    route_services_ = route_table::weighted_service_order(*route_, shared_.random);
    if (route_services_.empty()) {
        return fail(error_code::no_capacity, "route has no service with a weight above 0",
                    milliseconds{500});
    }
    return {};
}

void forward_call::prepare_request() {
    const auto time_allowed = std::min(head_.time_left.value_or(route_->timeout), route_->timeout);
    deadline_ = request_.received + time_allowed;
    first_requested_at_ = request_.received;
    if (head_.time_left && !relayed_) {
        first_requested_at_ -= shared_.retry_detectors[route_->name].time_since_first_try(
            *head_.time_left, route_->timeout);
    }
    const auto now = steady_now();
    first_event_by_ = route_->is_stream
                          ? std::min(deadline_, request_.received + caller_idle_timeout(*route_))
                          : deadline_;
    queue_until_ = std::min(
        now + (deadline_ - now) / queue_time_divisor,
        now + std::chrono::duration_cast<duration>((first_event_by_ - now) * queue_time_share));
    last_event_ = head_.resume_after;
    service_ = route_services_.front();
    for (const auto& service : route_services_) {
        if (shared_.fleet.has_live(service, now)) {
            service_ = service;
            break;
        }
    }
    const auto* info = routes_->find_service(service_);
    demand_.prompt_tokens = head_.prompt_tokens;
    if (info != nullptr && info->engine) {
        const auto max_tokens = std::max(head_.max_answer_tokens, 1U);
        const auto expected_tokens = head_.answer_tokens_hint > 0
                                         ? head_.answer_tokens_hint
                                         : info->engine->mean_answer_tokens;
        demand_.answer_tokens = std::min(expected_tokens, max_tokens);
    }
    demand_.target_pause = route_->target_pause;
    demand_.value = 1 + head_.prompt_tokens / tokens_per_value;
    auto& budget =
        shared_.retry_budgets.try_emplace(service_, shared_.make_retry_budget()).first->second;
    // The host that the caller sent it to has counted a relayed request.
    if (!relayed_) {
        budget.on_first_attempt(1, now);
    }
}

std::uint32_t forward_call::max_sends() const {
    return relayed_ ? std::min(route_->max_attempts, relayed_->sends_left) : route_->max_attempts;
}

void forward_call::update_demand(time_point now) {
    demand_.target_latency = first_requested_at_ + route_->target_latency - now;
    demand_.is_late = is_late_ || demand_.target_latency.count() <= 0;
    demand_.time_limit = (has_response_started_ ? deadline_ : first_event_by_) - now;
}

void forward_call::next_attempt() {
    if (is_complete_) {
        return;
    }
    const auto now = steady_now();
    if (now >= deadline_) {
        return on_deadline();
    }
    if (refuse_if_quarantined() || refuse_if_cut_by_stop(now) || relay_if_unreachable(now)) {
        return;
    }
    update_demand(now);
    auto chosen =
        shared_.fleet.choose(service_, {demand_, demand_.time_limit}, avoided_backends_, now);
    const queued_request queued{
        .net_value = chosen ? std::optional{chosen->net_value} : std::nullopt,
        .is_late = demand_.is_late,
        .is_retry = first_requested_at_ != request_.received,
        .was_sent = sends_made_ > 0 || has_response_started_,
        .has_forecast = demand_.answer_tokens > 0 && shared_.fleet.has_live(service_, now),
        .now = now,
        .wait_until = queue_until_};
    switch (decide_dispatch(queued)) {
    case dispatch_decision::send:
        break;
    case dispatch_decision::wait:
        return chosen ? wait_for_capacity(
                            {error_code::no_capacity,
                             "deferred, as it would delay other requests by more than its value"},
                            deferred_retry_interval)
                      : wait_for_capacity(chosen.error(), capacity_check_interval);
    case dispatch_decision::refuse:
        return refuse_with_retry_after(
            chosen
                ? error{error_code::no_capacity,
                        "target latency missed, requests that can still meet theirs have priority"}
                : chosen.error());
    }
    const bool needs_memory = std::ranges::any_of(
        chosen->members, [](const auto& item) { return item.reserved_tokens > 0; });
    if (needs_memory) {
        reserve_and_send(std::move(*chosen));
    } else {
        send(std::move(*chosen));
    }
}

std::vector<std::shared_ptr<forward_call>> pending_calls(shared_call_state& shared) {
    std::vector<std::shared_ptr<forward_call>> calls;
    std::ranges::transform(shared.calls, std::back_inserter(calls),
                           [](auto& call) { return call.shared_from_this(); });
    return calls;
}

void forget_removed_routes(shared_call_state& shared) {
    std::set<std::string_view> names;
    std::ranges::transform(shared.routes->config().routes, std::inserter(names, names.end()),
                           [](const route_info& route) { return std::string_view{route.name}; });
    const auto is_removed = [&](const auto& item) { return !names.contains(item.first); };
    std::erase_if(shared.retry_detectors, is_removed);
    std::erase_if(shared.answer_times, is_removed);
}

void forward_call::refuse_with_retry_after(error failure) {
    const auto delay = to_milliseconds(retry_delay(deadline_ - steady_now()));
    failure.retry_after = std::max(failure.retry_after, delay);
    answer_failure(failure);
}

void forward_call::wait_for_capacity(const error& failure, milliseconds pause) {
    const auto now = steady_now();
    const bool may_wait = now + pause < queue_until_ && shared_.fleet.has_live(service_, now);
    if (!may_wait) {
        return refuse_with_retry_after(failure);
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(shared_.io, pause);
    timer->async_wait([self = shared_from_this(), timer](const auto& cancelled) {
        if (!cancelled) {
            self->next_attempt();
        }
    });
}

void forward_call::reserve_and_send(chosen_backends chosen) {
    std::vector<memory_share> shares;
    for (const auto& member : chosen.members) {
        if (member.reserved_tokens > 0) {
            shares.push_back({member.id, member.address, member.reserved_tokens});
        }
    }
    ++attempt_number_;
    const auto number = attempt_number_;
    // Registers the job first, so that other gateways count the memory as used from now on.
    start_job(chosen);
    // The id is sent inside a list with separators, so it must not contain input of the caller.
    reservation_ = std::to_string(job_.origin) + "-" + std::to_string(job_.number);
    shared_.reservations.reserve(
        reservation_, std::move(shares),
        [self = shared_from_this(), number, chosen = std::move(chosen)](bool all_granted) mutable {
            if (self->is_complete_ || self->attempt_number_ != number) {
                return;
            }
            const bool is_admitted = self->shared_.fleet.is_still_admitted(chosen, steady_now());
            if (all_granted && is_admitted && !self->refuse_if_quarantined()) {
                return self->send(std::move(chosen));
            }
            if (self->is_complete_) {
                return self->end_attempt(attempt_result::cancelled);
            }
            if (!is_admitted) {
                self->end_attempt(attempt_result::cancelled);
                return self->next_attempt();
            }
            self->reservation_.clear();
            self->end_attempt(attempt_result::cancelled);
            self->wait_for_capacity(
                {error_code::no_capacity, "memory on several engines was not granted"},
                reservation_retry_interval);
        });
}

void forward_call::start_job(const chosen_backends& chosen) {
    job_ = shared_.fleet.start(chosen, demand_, steady_now());
    has_job_ = true;
    shared_.on_jobs_changed();
}

attempt_parameters forward_call::parameters_for(const chosen_backends& chosen) const {
    attempt_parameters parameters;
    parameters.time_left = to_milliseconds(deadline_ - steady_now());
    parameters.backend_id = chosen.members.front().id;
    parameters.workspace = workspace_;
    parameters.resume_after = last_event_;
    for (const auto& member : chosen.members) {
        const bool is_first = &member == &chosen.members.front();
        if (!is_first || member.reserved_tokens > 0) {
            parameters.helpers.push_back(
                {member.address, member.reserved_tokens > 0 ? reservation_ : std::string{}});
        }
    }
    return parameters;
}

void forward_call::send(chosen_backends chosen) {
    const auto now = steady_now();
    if (!has_job_) {
        start_job(chosen);
    }
    const auto& first = chosen.members.front();
    process_ = shared_.fleet.process_of(first.id);
    avoided_backends_.push_back(first.id);
    predicted_ = chosen.first_event - now;
    predicted_pause_ = shared_.fleet.predict_pause(job_, chosen.first_event, now);
    members_ = chosen.members;
    begin_attempt(first.id, first.address, now);
    log_of().info(
        head_.attempt,
        "send attempt=" + std::to_string(sends_made_) + " route=" + route_->name +
            " tokens=" + std::to_string(head_.prompt_tokens) + " members=" + member_list(chosen) +
            " predicted_ms=" + std::to_string(to_milliseconds(predicted_).count()) +
            " predicted_pause_ms=" + std::to_string(to_milliseconds(predicted_pause_).count()) +
            " left_ms=" + std::to_string(to_milliseconds(deadline_ - now).count()));
    open_call(shared_.codec.write_request(request_, parameters_for(chosen)), now);
}

void forward_call::begin_attempt(const std::string& backend, const endpoint& address,
                                 time_point now) {
    backend_ = backend;
    address_ = address;
    relay_host_.clear();
    relay_outcome_.reset();
    is_resend_barred_ = false;
    tried_backends_.push_back(backend);
    last_progress_ = now;
    drop_answer();
    form_ = answer_form::none;
    answer_summary_ = {};
    ++attempt_number_;
    ++sends_made_;
}

void forward_call::open_call(http_request request, time_point now) {
    const auto number = attempt_number_;
    const auto self = shared_from_this();
    http_call_limits limits;
    limits.connect_timeout = connect_timeout;
    limits.inactivity_timeout = to_milliseconds(deadline_ - now) + milliseconds{1};
    limits.correlation_header = shared_.codec.echo_header(head_);
    limits.may_reuse_connection = false;
    if (relay_host_.empty()) {
        // Opening the connection took time, in which the zone may have been evacuated.
        limits.may_write = [self] {
            return self->shared_.fleet.is_allowed(self->members_, steady_now());
        };
    }
    http_stream_handlers handlers;
    handlers.on_header = [self, number](const http_response_head& head) {
        if (self->attempt_number_ == number) {
            self->on_header(head);
        }
    };
    handlers.on_body = [self, number](std::string_view text) {
        if (self->attempt_number_ == number) {
            self->on_body(text);
        }
    };
    handlers.on_end = [self, number](const http_failure* failure) {
        if (self->attempt_number_ == number) {
            self->on_end(failure);
        }
    };
    call_ = shared_.client.stream(address_, std::move(request), limits, std::move(handlers));
}

void forward_call::choose_anew() {
    log_of().info(head_.attempt,
                  "withdrawn before it was sent, chooses anew: zone evacuated backend=" + backend_ +
                      " zone=" + members_.front().zone);
    end_attempt(attempt_result::cancelled);
    --sends_made_;
    tried_backends_.pop_back();
    next_attempt();
}

bool forward_call::spend_retry_budget() {
    const auto found = shared_.retry_budgets.find(service_);
    return found != shared_.retry_budgets.end() && found->second.try_spend(1, steady_now());
}

void forward_call::fail_attempt(run_evidence evidence, attempt_result result,
                                const error& failure) {
    end_attempt(result, to_string(failure));
    drop_answer();
    if (!relay_host_.empty() && evidence != run_evidence::in_doubt) {
        sends_made_ = sends_before_relay_ + 1;
    }
    if (evidence == run_evidence::not_sent) {
        --sends_made_;
        ++sends_not_written_;
    }
    // Only a stream of events can be resumed where it stopped.
    const bool has_partial_body = has_response_started_ && !started_as_events_;
    const failed_attempt failed{.repeat = has_partial_body ? repeat_rule::never : route_->repeat,
                                .evidence = evidence,
                                .is_earlier_attempt_in_doubt = is_in_doubt_,
                                .has_partial_answer = has_response_started_,
                                .sends = sends_made_,
                                .max_sends = max_sends(),
                                .unsent_attempts = sends_not_written_,
                                .time_left = deadline_ - steady_now()};
    is_in_doubt_ = is_in_doubt_ || evidence == run_evidence::in_doubt;
    auto action = decide_after_failure(failed);
    if (action == failure_action::retry && is_resend_barred_) {
        action =
            has_response_started_ ? failure_action::abort_answer : failure_action::report_failed;
    }
    if (action == failure_action::retry) {
        const bool is_paid = std::exchange(is_retry_paid_, false);
        if (is_paid || evidence == run_evidence::not_sent || spend_retry_budget()) {
            return next_attempt();
        }
        action = has_response_started_ ? failure_action::abort_answer
                 : is_in_doubt_        ? failure_action::report_failed
                                       : failure_action::report_not_run;
    }
    switch (action) {
    case failure_action::abort_answer:
        responder_.abort();
        return complete(status_, "broken off: " + to_string(failure));
    case failure_action::report_not_run:
        return answer_failure({error_code::backend_refused, failure.subject, failure.retry_after});
    case failure_action::report_failed:
    case failure_action::retry:
        return answer_failure({error_code::backend_lost, failure.subject});
    }
}

void forward_call::end_attempt(attempt_result result, std::string_view cause) {
    ++attempt_number_;
    if (call_.value != 0) {
        report_answer_end(result, cause);
    }
    if (has_job_) {
        has_job_ = false;
        shared_.fleet.on_ended(job_, result, steady_now());
        shared_.on_jobs_changed();
    }
    if (!reservation_.empty()) {
        shared_.reservations.release(std::exchange(reservation_, {}));
    }
    call_ = {};
}

void forward_call::report_answer_end(attempt_result result, std::string_view cause) {
    answer_summary_.result = result;
    answer_summary_.partial_event_bytes =
        splitter_.is_inside_event() ? splitter_.pending().size() : 0;
    shared_.on_answer_end(answer_summary_);
    if (result != attempt_result::done && result != attempt_result::cancelled) {
        const auto segments = head_.prompt.shared.empty() ? "-" : join(head_.prompt.shared);
        log_of().info(head_.attempt, "answer attempt=" + std::to_string(sends_made_) +
                                         " backend=" + backend_ + " " + to_string(answer_summary_) +
                                         " segments=" + segments + " request=" + fingerprint() +
                                         " cause=\"" + std::string{cause} + "\"");
    }
}

bool forward_call::is_attempt_lost(time_point now) const {
    const silent_attempt silent{.silence = now - last_progress_,
                                .limit = silence_limit(*route_),
                                .predicted_first_event =
                                    has_response_started_ ? duration{0} : predicted_,
                                .evidence = shared_.fleet.liveness_of(process_, now)};
    return is_backend_lost(silent);
}

void forward_call::check_silence(time_point now) {
    if (call_.value == 0 || !has_job_ || is_caller_behind()) {
        return;
    }
    const bool is_silent = now - last_progress_ >= silence_limit(*route_) / probe_silence_divisor;
    if (is_silent && shared_.fleet.liveness_of(process_, now) == liveness_evidence::replaced) {
        shared_.client.cancel(call_);
        return fail_attempt(run_evidence::in_doubt, attempt_result::lost,
                            {error_code::backend_lost, "its process has ended"});
    }
    const bool may_resend = route_->repeat != repeat_rule::never && sends_made_ < max_sends();
    const bool holds_memory = !reservation_.empty();
    if (route_->is_stream && is_silent && (may_resend || holds_memory)) {
        shared_.prober.probe(process_, address_, now);
    }
    if (may_resend && is_attempt_lost(now) && spend_retry_budget()) {
        shared_.client.cancel(call_);
        is_retry_paid_ = true;
        fail_attempt(run_evidence::in_doubt, attempt_result::lost,
                     {error_code::backend_lost, "silent"});
    }
}

void forward_call::arm_timer() {
    if (is_complete_) {
        return;
    }
    const auto next = std::min(deadline_, steady_now() + silence_check_interval);
    timer_.expires_at(std::chrono::steady_clock::time_point{next.time_since_epoch()});
    timer_.async_wait([self = shared_from_this()](const auto& failure) {
        if (!failure && !self->is_complete_) {
            self->on_timer();
        }
    });
}

void forward_call::on_timer() {
    const auto now = steady_now();
    if (now >= deadline_) {
        return on_deadline();
    }
    if (call_.value != 0 && !relay_host_.empty() && !shared_.relays.is_alive(relay_host_, now)) {
        shared_.client.cancel(call_);
        return fail_attempt(run_evidence::in_doubt, attempt_result::lost,
                            {error_code::backend_lost, "host " + relay_host_ + " is silent"});
    }
    check_silence(now);
    arm_timer();
}

void forward_call::on_deadline() {
    const bool was_sent = sends_made_ > 0;
    cancel_call();
    end_attempt(attempt_result::cancelled);
    if (has_response_started_) {
        responder_.abort();
        return complete(status_, "broken off: deadline");
    }
    answer_failure(
        was_sent ? error{error_code::deadline_passed, "no answer before the deadline"}
                 : error{error_code::deadline_unreachable, "no capacity before the deadline"});
}

void forward_call::on_caller_disconnected() {
    if (is_complete_) {
        return;
    }
    cancel_call();
    end_attempt(attempt_result::cancelled);
    complete(http_status(error_code::caller_gone), "caller left");
}

void forward_call::cancel_call() {
    if (call_.value != 0) {
        shared_.client.cancel(call_);
        is_in_doubt_ = true;
    }
}

} // namespace magnolia
