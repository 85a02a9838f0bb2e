/// Second part of forward_call: handles the responses of backend servers and the answer to the
/// caller.
#include "forward_call.h"
#include "log.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <functional>
#include <numeric>

namespace magnolia {
namespace {

/// Shortest Retry-After of a refusal.
constexpr milliseconds min_retry_after{200};
/// Retry-After is multiplied by a random factor between 1 and this, so that refused callers do not
/// return at the same time.
constexpr double max_retry_jitter = 1.6;
/// Bytes of an answer that are buffered before it is forwarded byte by byte. Up to this size, a
/// failed attempt can be retried without the caller seeing a part of its answer.
constexpr std::size_t max_buffered_bytes = std::size_t{64} << 10U;
/// Size of an incomplete event past which the answer counts as none. Events of models and services
/// have a few KB.
constexpr std::size_t max_event_bytes = std::size_t{256} << 10U;

/// Rest of a backend server that asks for one of a time that cannot be read.
constexpr milliseconds unreadable_rest{1000};

constexpr unsigned first_success = 200;
constexpr unsigned first_redirect = 300;
constexpr unsigned first_server_error = 500;

const logger& log_of() {
    static const logger log{"call"};
    return log;
}

bool is_success(unsigned status) {
    return status >= first_success && status < first_redirect;
}

/// Whether an answer that does not state that the request was not run is a failure of its backend
/// server.
bool is_server_failure(unsigned status) {
    return status >= first_server_error || promises_not_run(status);
}

} // namespace

std::string to_string(const answer_summary& answer) {
    return "result=" + std::string{to_string(answer.result)} +
           " framing=" + (answer.framing ? std::string{to_string(*answer.framing)} : "-") +
           " events=" + std::to_string(answer.events) +
           " partial_event_bytes=" + std::to_string(answer.partial_event_bytes);
}

std::string_view to_string(answer_stage stage) {
    switch (stage) {
    case answer_stage::not_begun:
        return "not_begun";
    case answer_stage::before_first_event:
        return "before_first_event";
    case answer_stage::under_way:
        return "under_way";
    }
    return "invalid";
}

answer_stage stage_of(const answer_summary& answer) {
    if (!answer.framing) {
        return answer_stage::not_begun;
    }
    return answer.events == 0 ? answer_stage::before_first_event : answer_stage::under_way;
}

void forward_call::on_header(const http_response_head& head) {
    shared_.fleet.on_answer_bytes(backend_, steady_now());
    status_ = head.status;
    answer_summary_.framing = head.framing;
    answer_ = shared_.codec.read_answer(head.status, head.headers);
    if (!relay_host_.empty()) {
        relay_outcome_ = read_relay_outcome(head.headers);
    } else {
        shared_.reach.on_connected(backend_);
        take_statements();
    }
    const bool is_events = route_->is_stream && is_success(head.status) && answer_.is_signed &&
                           answer_.is_event_stream;
    form_ = is_events ? answer_form::events : answer_form::buffered;
    if (!route_->is_stream && is_success(head.status) && answer_.is_signed) {
        report_sound();
    }
    if (!has_response_started_) {
        headers_ = end_to_end_headers(head.headers);
        drop_relay_outcome(headers_);
    }
}

bool forward_call::states_not_run() const {
    // Another host speaks for all its sends by relay_outcome_, a backend server only for its own. A
    // success contradicts the statement.
    return relay_host_.empty() && !is_success(status_) &&
           (answer_.is_not_run || answer_.is_other_backend);
}

run_knowledge forward_call::knowledge() const {
    const bool is_sent = call_.value != 0;
    return is_in_doubt_ || is_sent ? run_knowledge::may_have_run : run_knowledge::not_run;
}

void forward_call::take_statements() {
    if (answer_.is_limit_unreadable) {
        log_of().info(head_.attempt,
                      "stated limit is not readable, the last one stays backend=" + backend_);
    } else if (shared_.fleet.set_stated_limit(process_, answer_.requests_per_s, steady_now())) {
        shared_.on_limit_changed(backend_, answer_.requests_per_s);
    }
    if (!answer_.asks_for_rest) {
        return;
    }
    const auto rest = answer_.retry_after.count() > 0 ? answer_.retry_after : unreadable_rest;
    log_of().info(head_.attempt, "backend server asks for rest backend=" + backend_ +
                                     " ms=" + std::to_string(rest.count()) +
                                     " readable=" + (rest == answer_.retry_after ? "1" : "0"));
    shared_.fleet.on_rest_asked(process_, rest, steady_now());
}

bool forward_call::is_body_for_caller() const {
    return answer_.is_signed && !states_not_run() && !relay_outcome_ && !has_response_started_;
}

kept_answer forward_call::kept() const {
    return {form_ == answer_form::events ? answer_wait::event_end
            : is_body_for_caller()       ? answer_wait::body_end
                                         : answer_wait::no_use,
            body_.size() + splitter_.pending().size()};
}

void forward_call::count_kept() {
    const auto bytes = is_complete_ ? 0 : kept().bytes;
    shared_.kept_bytes += bytes;
    shared_.kept_bytes -= std::exchange(counted_bytes_, bytes);
}

void forward_call::drop_answer() {
    is_event_missing_ = splitter_.is_inside_event() || (is_event_missing_ && !has_new_event());
    is_resuming_ = has_response_started_;
    splitter_ = {};
    body_ = {};
    count_kept();
}

std::size_t answer_bytes(const shared_call_state& shared) {
    return std::transform_reduce(shared.servers.begin(), shared.servers.end(), shared.kept_bytes,
                                 std::plus{},
                                 [](const auto* server) { return server->unread_bytes(); });
}

void limit_answer_bytes(shared_call_state& shared) {
    if (answer_bytes(shared) <= shared.max_answer_bytes) {
        return;
    }
    const auto calls = pending_calls(shared);
    std::vector<kept_answer> kept;
    std::ranges::transform(calls, std::back_inserter(kept),
                           [](const auto& call) { return call->kept(); });
    const auto relief =
        choose_relief(kept, answer_bytes(shared) - shared.kept_bytes, shared.max_answer_bytes);
    for (const auto index : relief.answers) {
        calls[index]->give_up_answer("too many bytes of answers wait in this host");
    }
    for (std::size_t freed = 0; freed < relief.unread_bytes;) {
        const auto server = std::ranges::max_element(
            shared.servers, {}, [](const auto* item) { return item->unread_bytes(); });
        const auto bytes = (*server)->close_least_read();
        if (bytes == 0) {
            return;
        }
        freed += bytes;
        log_of().warn(
            "closes the connection of a caller that does not read bytes=" + std::to_string(bytes) +
            " reason=\"too many bytes of answers wait in this host\"");
    }
}

void forward_call::on_body(std::string_view text) {
    take_body(text);
    count_kept();
    limit_answer_bytes(shared_);
}

void forward_call::take_body(std::string_view text) {
    if (form_ == answer_form::events) {
        return on_events(text);
    }
    if (form_ == answer_form::buffered && !is_body_for_caller()) {
        // Such bytes may come without end, and are no sign of life.
        body_ += text;
        return body_.size() > max_buffered_bytes
                   ? give_up_answer("too many bytes that are no answer")
                   : void();
    }
    const auto now = steady_now();
    shared_.fleet.on_answer_bytes(backend_, now);
    last_progress_ = now;
    if (form_ == answer_form::streamed) {
        return write(text);
    }
    body_ += text;
    if (body_.size() > max_buffered_bytes) {
        form_ = answer_form::streamed;
        start_response();
        responder_.write(std::exchange(body_, {}));
    }
}

void forward_call::give_up_answer(std::string_view reason) {
    if (is_complete_) {
        return;
    }
    log_of().info(head_.attempt,
                  "gives the answer up backend=" + backend_ + " reason=\"" + std::string{reason} +
                      "\" bytes=" + std::to_string(body_.size() + splitter_.pending().size()));
    shared_.client.cancel(call_);
    // The head is complete and keeps its meaning.
    if (relay_outcome_) {
        return on_relay_failure();
    }
    if (states_not_run()) {
        return on_refusal();
    }
    fail_attempt(run_evidence::in_doubt, attempt_result::failed,
                 {error_code::backend_failed, std::string{reason}});
}

void forward_call::write(std::string_view text) {
    responder_.write(text);
    if (!is_caller_behind()) {
        return;
    }
    shared_.client.pause(call_);
    responder_.write({}, [self = shared_from_this(), call = call_] {
        if (!self->is_caller_behind()) {
            self->last_progress_ = steady_now();
            self->shared_.client.resume(call);
        }
    });
}

bool forward_call::is_caller_behind() const {
    return responder_.pending_bytes() >=
           unread_allowance(answer_bytes(shared_), shared_.max_answer_bytes);
}

void forward_call::start_response() {
    if (has_response_started_) {
        return;
    }
    has_response_started_ = true;
    started_as_events_ = form_ == answer_form::events;
    first_byte_at_ = steady_now();
    settle_status();
    responder_.start(status_, headers_);
}

void forward_call::settle_status() {
    const auto status = status_to_forward(status_, route_->repeat);
    if (status == status_) {
        return;
    }
    status_cause_ = to_string(
        error{error_code::backend_failed, "status " + std::to_string(status_) +
                                              " without a statement that the request was not run"});
    status_ = status;
    headers_ = shared_.codec.without_signature(std::move(headers_));
    // It would invite callers to repeat what may have run.
    std::erase_if(headers_,
                  [](const auto& field) { return boost::iequals(field.name, "Retry-After"); });
}

void forward_call::on_events(std::string_view text) {
    const auto events = splitter_.append(text);
    if (!events.empty()) {
        shared_.fleet.on_answer_bytes(backend_, steady_now());
    }
    if (answer_summary_.events == 0 && !events.empty()) {
        report_sound();
    }
    answer_summary_.events += events.size();
    for (const auto& event : events) {
        if (is_complete_ || form_ != answer_form::events) {
            return;
        }
        forward_event(event);
    }
    const bool is_under_way = !is_complete_ && form_ == answer_form::events;
    if (is_under_way && splitter_.pending().size() > max_event_bytes) {
        give_up_answer("event too large");
    }
}

void forward_call::forward_event(const stream_event& event) {
    const auto now = steady_now();
    last_progress_ = now;
    if (event.id && last_event_ && *event.id <= *last_event_) {
        return; // The caller already has this event.
    }
    if (is_resuming_ && event.id && last_event_ && *event.id != *last_event_ + 1) {
        shared_.client.cancel(call_);
        return fail_attempt(run_evidence::in_doubt, attempt_result::failed,
                            {error_code::backend_failed,
                             "resumed stream does not continue after the last event sent"});
    }
    if (!event.id && event.has_field && last_event_) {
        shared_.client.cancel(call_);
        return fail_attempt(
            run_evidence::in_doubt, attempt_result::failed,
            {error_code::backend_failed, "event without a number in a stream of numbered events"});
    }
    shared_.fleet.on_event(job_, !has_new_event(), now);
    if (!has_response_started_) {
        is_late_ = now - first_requested_at_ > route_->target_latency;
    } else {
        const auto pause = now - last_event_at_;
        longest_pause_ = std::max(longest_pause_, pause);
        is_late_ = is_late_ || (route_->target_pause.count() > 0 && pause > route_->target_pause);
        is_resuming_ = false;
    }
    if (is_late_) {
        shared_.fleet.on_late(job_);
    }
    last_event_at_ = now;
    start_response();
    if (event.id) {
        last_event_ = event.id;
    }
    write(event.text);
}

void forward_call::on_end(const http_failure* failure) {
    if (failure != nullptr) {
        if (failure->is_withdrawn) {
            return choose_anew();
        }
        const auto evidence =
            failure->is_request_written ? run_evidence::in_doubt : run_evidence::not_sent;
        if (!relay_host_.empty()) {
            return on_relay_lost(evidence, *failure);
        }
        if (!failure->is_request_written) {
            shared_.reach.on_connection_failed(backend_, steady_now());
        } else if (!failure->is_timeout && failure->failure.code == error_code::connection) {
            shared_.reach.on_connection_broken(backend_, steady_now());
        }
        if (failure->is_refused) {
            shared_.quarantine.on_connection_refused(process_, steady_now());
            shared_.on_quarantine_evidence();
        } else if (failure->is_request_written && !failure->is_timeout) {
            report_loss();
        }
        return fail_attempt(evidence, attempt_result::lost, failure->failure);
    }
    switch (form_) {
    case answer_form::events:
        return on_stream_end();
    case answer_form::streamed:
        end_answered_attempt();
        responder_.finish();
        return complete(status_, status_cause_);
    case answer_form::buffered:
    case answer_form::none:
        return on_complete_answer();
    }
}

void forward_call::on_stream_end() {
    const ended_stream stream{.framing = answer_summary_.framing.value_or(body_framing::none),
                              .has_new_event = has_new_event(),
                              .is_inside_event = splitter_.is_inside_event(),
                              .is_event_missing = is_event_missing_};
    if (!is_stream_complete(stream)) {
        report_loss();
        return fail_attempt(run_evidence::in_doubt, attempt_result::lost,
                            {error_code::backend_lost, stream.is_inside_event
                                                           ? "stream ended inside an event"
                                                           : "stream ended before a new event"});
    }
    start_response();
    // Comments and blank lines after the last event.
    responder_.write(splitter_.pending());
    end_attempt(attempt_result::done);
    responder_.finish();
    complete(status_, {});
}

/// The faulty backend server may be a helper that prefills a share of the prompt instead of the one
/// that sent the response.
void forward_call::on_refusal() {
    const auto faulty_member = std::ranges::find_if(
        members_, [this](const auto& member) { return answer_.faulty_backend == member.address; });
    const bool is_other_member = faulty_member != members_.end() && faulty_member->id != backend_;
    const auto faulty_id = is_other_member ? faulty_member->id : backend_;
    const bool names_unknown_backend = answer_.faulty_backend && faulty_member == members_.end();
    if (answer_.is_other_backend && !names_unknown_backend) {
        shared_.fleet.set_gone(faulty_id);
    } else if (is_other_member) {
        shared_.fleet.on_helper_failure(faulty_id, steady_now());
    }
    if (is_other_member) {
        std::erase(avoided_backends_, backend_);
        avoided_backends_.push_back(faulty_id);
    }
    fail_attempt(run_evidence::refused, attempt_result::refused,
                 {error_code::backend_refused,
                  "status " + std::to_string(status_) + " for " + faulty_id, answer_.retry_after});
}

void forward_call::on_complete_answer() {
    if (relay_outcome_) {
        return on_relay_failure();
    }
    if (states_not_run()) {
        return on_refusal();
    }
    if (is_success(status_) && !answer_.is_signed) {
        return fail_attempt(run_evidence::in_doubt, attempt_result::lost,
                            {error_code::backend_failed, "success response without a signature"});
    }
    if (has_response_started_) {
        return fail_attempt(run_evidence::in_doubt, attempt_result::failed,
                            {error_code::backend_failed, "status " + std::to_string(status_)});
    }
    const bool is_retried = is_server_failure(status_) && route_->repeat != repeat_rule::never &&
                            sends_made_ < max_sends() && spend_retry_budget();
    end_answered_attempt();
    if (is_retried) {
        is_in_doubt_ = true;
        drop_answer();
        return next_attempt();
    }
    answer_buffered();
}

void forward_call::end_answered_attempt() {
    if (!is_server_failure(status_)) {
        return end_attempt(attempt_result::done);
    }
    end_attempt(attempt_result::failed,
                status_cause_.empty() ? "status " + std::to_string(status_) : status_cause_);
}

error forward_call::with_retry_after(error failure) {
    constexpr unsigned status_unavailable = 503;
    if (http_status(failure.code) == status_unavailable) {
        const auto base_delay = std::max(failure.retry_after, min_retry_after);
        std::uniform_real_distribution<double> jitter{1.0, max_retry_jitter};
        failure.retry_after =
            std::chrono::duration_cast<milliseconds>(base_delay * jitter(shared_.random));
    }
    return failure;
}

void forward_call::answer_failure(const error& cause) {
    const auto known = knowledge();
    const auto failure = truthful_failure(cause, known);
    if (has_response_started_) {
        responder_.abort();
        return complete(status_, "broken off: " + to_string(failure));
    }
    status_ = http_status(failure.code);
    auto response = shared_.codec.write_failure(head_, with_retry_after(failure));
    if (relayed_) {
        set_relay_outcome(response, known);
    }
    responder_.send(std::move(response));
    complete(status_, to_string(failure));
}

void forward_call::answer_buffered() {
    first_byte_at_ = steady_now();
    settle_status();
    responder_.send({status_, std::move(headers_), std::move(body_)});
    complete(status_, status_cause_);
}

void forward_call::complete(unsigned status, std::string cause) {
    if (is_complete_) {
        return;
    }
    is_complete_ = true;
    count_kept();
    unlink();
    timer_.cancel();
    const auto now = steady_now();
    if (is_success(status) && cause.empty()) {
        shared_.answer_times[route_->name].record(now - request_.received);
    }
    shared_.on_end({.attempt = head_.attempt,
                    .route = route_ == nullptr ? "-" : route_->name,
                    .service = service_,
                    .backends = tried_backends_,
                    .status = status,
                    .cause = std::move(cause),
                    .relayed_from = relayed_ ? relayed_->sender : std::string{},
                    .prompt_tokens = head_.prompt_tokens,
                    .members = members_.size(),
                    .elapsed = now - request_.received,
                    .first_byte = first_byte_at_ == time_point{}
                                      ? duration{0}
                                      : first_byte_at_ - request_.received,
                    .predicted = predicted_,
                    .longest_pause = longest_pause_,
                    .predicted_pause = predicted_pause_,
                    .answer = answer_summary_,
                    .config_version = routes_ ? routes_->version() : 0});
}

} // namespace magnolia
