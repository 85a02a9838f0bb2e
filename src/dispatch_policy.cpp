#include "dispatch_policy.h"

namespace magnolia {
namespace {

/// Retry-After time as a share of the remaining time. Callers honour up to a third of it; the
/// jitter that is added to spread the retries stays below that.
constexpr double retry_delay_share = 0.18;
/// Time limits of at least this share of the longest count as equal to it.
constexpr double same_limit_tolerance = 0.97;
/// Share of requests that must state the longest time limit for it to count as the usual one.
constexpr double usual_limit_share = 0.5;
/// Below this share, and after this many requests, the longest time limit is determined anew.
constexpr double stale_limit_share = 0.1;
constexpr double min_requests = 10;
/// Weight of the assumed time limit, in requests.
constexpr double assumed_limit_weight = 2;
/// Weight of the newest request in the decayed counts: about the last hundred requests count.
constexpr double newest_request_weight = 0.01;

} // namespace

dispatch_decision decide_dispatch(const queued_request& request) {
    const bool has_capacity = request.net_value.has_value();
    const bool has_gain = has_capacity && *request.net_value >= 0;
    if (has_gain || (has_capacity && request.was_sent)) {
        return dispatch_decision::send;
    }
    const bool yields_to_others = request.is_late && request.has_forecast && !request.was_sent;
    if (yields_to_others && !request.is_retry) {
        return dispatch_decision::refuse;
    }
    return request.now < request.wait_until ? dispatch_decision::wait : dispatch_decision::refuse;
}

duration retry_delay(duration time_left) {
    return std::chrono::duration_cast<duration>(time_left * retry_delay_share);
}

duration retry_detector::time_since_first_try(duration time_limit, duration assumed) {
    if (request_weight_ == 0) {
        longest_limit_ = assumed;
        request_weight_ = longest_limit_weight_ = assumed_limit_weight;
    }
    request_weight_ = request_weight_ * (1 - newest_request_weight) + 1;
    longest_limit_weight_ *= 1 - newest_request_weight;
    // The assumed time limit, or one that was usual before, may exceed what any caller states.
    const bool is_stale = request_weight_ > min_requests &&
                          longest_limit_weight_ < request_weight_ * stale_limit_share;
    if (time_limit > longest_limit_ || is_stale) {
        longest_limit_ = time_limit;
        request_weight_ = 1;
        longest_limit_weight_ = 0;
    }
    const bool is_longest = time_limit >= longest_limit_ * same_limit_tolerance;
    longest_limit_weight_ += is_longest ? 1 : 0;
    const bool is_usual = longest_limit_weight_ >= request_weight_ * usual_limit_share;
    return is_longest || !is_usual ? duration{0} : longest_limit_ - time_limit;
}

} // namespace magnolia
