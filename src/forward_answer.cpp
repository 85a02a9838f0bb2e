/// The answer to a caller's request: what comes from backend servers, and how it ends.
#include "forward_call.h"

#include <algorithm>

namespace magnolia {
namespace {

/// Earliest time for a refused caller to come back, and the factor over which returns are spread.
constexpr milliseconds least_retry_after{200};
constexpr double retry_spread = 1.6;
/// Bytes of an answer that are held before it is sent on as it comes.
constexpr std::size_t held_answer_bytes = std::size_t{64} << 10U;
/// Bytes that a slow caller may leave unread before the backend server is slowed down.
constexpr std::size_t pending_answer_bytes = std::size_t{256} << 10U;

constexpr unsigned first_success = 200;
constexpr unsigned first_redirect = 300;
constexpr unsigned first_server_failure = 500;

bool is_success(unsigned status) {
    return status >= first_success && status < first_redirect;
}

} // namespace

void forward_call::on_header(unsigned status, const http_headers& headers) {
    shared_.fleet.on_answer_bytes(backend_, steady_now());
    status_ = status;
    answer_ = shared_.codec.read_answer(status, headers);
    const bool is_events =
        route_->is_stream && is_success(status) && answer_.is_signed && answer_.is_event_stream;
    form_ = is_events ? answer_form::events : answer_form::whole;
    if (!has_begun_) {
        headers_ = end_to_end_headers(headers);
    }
}

void forward_call::on_body(std::string_view text) {
    const auto now = steady_now();
    shared_.fleet.on_answer_bytes(backend_, now);
    if (form_ == answer_form::events) {
        return on_events(text);
    }
    last_progress_ = now;
    if (form_ == answer_form::whole) {
        body_ += text;
        const bool is_final = is_success(status_) && answer_.is_signed && !has_begun_;
        if (body_.size() <= held_answer_bytes || !is_final) {
            return;
        }
        form_ = answer_form::bytes;
        begin_answer();
        responder_.write(std::exchange(body_, {}));
        return;
    }
    responder_.write(text, [self = shared_from_this(), call = call_] {
        if (self->responder_.pending_bytes() < pending_answer_bytes) {
            self->shared_.client.resume(call);
        }
    });
    if (responder_.pending_bytes() >= pending_answer_bytes) {
        shared_.client.pause(call_);
    }
}

void forward_call::begin_answer() {
    if (has_begun_) {
        return;
    }
    has_begun_ = true;
    began_with_events_ = form_ == answer_form::events;
    first_byte_at_ = steady_now();
    responder_.start(status_, headers_);
}

void forward_call::on_events(std::string_view text) {
    for (const auto& event : events_.append(text)) {
        if (is_closed_ || form_ != answer_form::events) {
            return;
        }
        take_event(event);
    }
}

void forward_call::take_event(const stream_event& event) {
    const auto now = steady_now();
    last_progress_ = now;
    if (event.id && last_event_ && *event.id <= *last_event_) {
        return; // The caller has it.
    }
    if (is_continuing_ && event.id && last_event_ && *event.id != *last_event_ + 1) {
        shared_.client.cancel(call_);
        return fail_attempt(run_evidence::in_doubt, attempt_result::failed,
                            {error_code::backend_failed, "stream continued at another event"});
    }
    shared_.fleet.on_event(job_, !has_begun_ || is_continuing_, now);
    if (!has_begun_) {
        is_late_ = now - asked_ > route_->target_latency;
    } else {
        const auto pause = now - last_event_at_;
        longest_pause_ = std::max(longest_pause_, pause);
        is_late_ = is_late_ || (route_->target_pause.count() > 0 && pause > route_->target_pause);
        is_continuing_ = false;
    }
    if (is_late_) {
        shared_.fleet.on_late(job_);
    }
    last_event_at_ = now;
    begin_answer();
    if (event.id) {
        last_event_ = event.id;
    }
    responder_.write(event.text);
}

void forward_call::on_end(const http_failure* failure) {
    if (failure != nullptr) {
        const auto evidence =
            failure->is_request_written ? run_evidence::in_doubt : run_evidence::not_sent;
        return fail_attempt(evidence, attempt_result::lost, failure->failure);
    }
    switch (form_) {
    case answer_form::events:
        begin_answer();
        if (!events_.pending().empty()) {
            responder_.write(events_.pending());
        }
        [[fallthrough]];
    case answer_form::bytes:
        end_attempt(attempt_result::done);
        responder_.finish();
        return close(status_, {});
    case answer_form::whole:
    case answer_form::none:
        return on_whole_answer();
    }
}

/// Nothing has run. The one at fault may be a member that reads a part, not the one that answers.
void forward_call::on_refusal() {
    const auto at_fault = std::ranges::find_if(
        members_, [this](const auto& member) { return answer_.faulty_backend == member.address; });
    const bool is_other = at_fault != members_.end() && at_fault->id != backend_;
    const auto blamed = is_other ? at_fault->id : backend_;
    const bool names_stranger = answer_.faulty_backend && at_fault == members_.end();
    if (answer_.is_other_backend && !names_stranger) {
        shared_.fleet.set_gone(blamed);
    } else if (is_other) {
        shared_.fleet.on_helper_failure(blamed, steady_now());
    }
    if (is_other) {
        std::erase(avoided_, backend_);
        avoided_.push_back(blamed);
    }
    fail_attempt(run_evidence::refused, attempt_result::refused,
                 {error_code::backend_refused,
                  "status " + std::to_string(status_) + " for " + blamed, answer_.retry_after});
}

void forward_call::on_whole_answer() {
    if (answer_.is_not_run || answer_.is_other_backend) {
        return on_refusal();
    }
    if (is_success(status_) && !answer_.is_signed) {
        return fail_attempt(run_evidence::in_doubt, attempt_result::lost,
                            {error_code::backend_failed, "answer without a signature"});
    }
    if (has_begun_) {
        return fail_attempt(run_evidence::in_doubt, attempt_result::failed,
                            {error_code::backend_failed, "status " + std::to_string(status_)});
    }
    const bool is_failure = status_ >= first_server_failure;
    if (is_failure && route_->repeat != repeat_rule::never && sends_ < route_->max_attempts &&
        try_retry_budget()) {
        is_in_doubt_ = true;
        end_attempt(attempt_result::failed);
        return next_attempt();
    }
    end_attempt(is_failure ? attempt_result::failed : attempt_result::done);
    finish_with(status_, {});
}

/// A refusal tells when to come back, spread so that callers do not return together.
error forward_call::with_retry_time(error failure) {
    constexpr unsigned status_unavailable = 503;
    if (http_status(failure.code) == status_unavailable) {
        const auto least = std::max(failure.retry_after, least_retry_after);
        std::uniform_real_distribution<double> spread{1.0, retry_spread};
        failure.retry_after =
            std::chrono::duration_cast<milliseconds>(least * spread(shared_.random));
    }
    return failure;
}

void forward_call::finish(const error& failure) {
    if (has_begun_) {
        responder_.abort();
        return close(status_, "broken off: " + to_string(failure));
    }
    status_ = http_status(failure.code);
    auto response = shared_.codec.write_failure(head_, with_retry_time(failure));
    responder_.send(std::move(response));
    close(status_, to_string(failure));
}

void forward_call::finish_with(unsigned status, std::string cause) {
    first_byte_at_ = steady_now();
    responder_.send({status, std::move(headers_), std::move(body_)});
    close(status, std::move(cause));
}

void forward_call::close(unsigned status, std::string cause) {
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    timer_.cancel();
    const auto now = steady_now();
    shared_.on_end({.attempt = head_.attempt,
                    .route = route_ == nullptr ? "-" : route_->name,
                    .service = service_,
                    .backends = tried_,
                    .status = status,
                    .cause = std::move(cause),
                    .prompt_tokens = head_.prompt_tokens,
                    .members = members_.size(),
                    .elapsed = now - request_.received,
                    .first_byte = first_byte_at_ == time_point{}
                                      ? duration{0}
                                      : first_byte_at_ - request_.received,
                    .predicted = predicted_,
                    .longest_pause = longest_pause_,
                    .config_version = routes_ ? routes_->version() : 0});
}

} // namespace magnolia
