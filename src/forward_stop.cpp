/// Fourth part of forward_call: what a planned stop means for a request.
#include "forward_call.h"

#include <algorithm>

namespace magnolia {

bool forward_call::refuse_if_stopping() {
    if (!shared_.stop) {
        return false;
    }
    const auto now = steady_now();
    const duration longest = std::min(head_.time_left.value_or(route_->timeout), route_->timeout);
    const auto expected =
        now >= shared_.stop->cautious_from ? longest : std::min(usual_answer_time(), longest);
    if (!shared_.stop->would_cut(expected, now)) {
        return false;
    }
    refuse_with_retry_after({error_code::stopping, "request would not end within the stop"});
    return true;
}

bool forward_call::refuse_if_cut_by_stop(time_point now) {
    // A started stream may still come further, and cannot get another answer.
    if (!shared_.stop || has_response_started_) {
        return false;
    }
    const duration longest = deadline_ - now;
    if (!shared_.stop->would_cut(std::min(usual_answer_time(), longest), now)) {
        return false;
    }
    refuse_with_retry_after(
        {error_code::stopping, "request waits, and would not end within the stop"});
    return true;
}

duration forward_call::usual_answer_time() const {
    const auto known = shared_.answer_times.find(route_->name);
    const auto estimate =
        known == shared_.answer_times.end() ? std::nullopt : known->second.upper_estimate();
    return estimate.value_or(route_->target_latency);
}

void forward_call::end_for_stop() {
    if (is_complete_) {
        return;
    }
    cancel_call();
    end_attempt(attempt_result::cancelled);
    refuse_with_retry_after({error_code::stopping, "the planned stop ended before the answer"});
}

void end_calls_of_stop(shared_call_state& shared) {
    for (const auto& call : pending_calls(shared)) {
        call->end_for_stop();
    }
}

} // namespace magnolia
