#include "dispatch_policy.h"

namespace magnolia {
namespace {

/// Callers honour a time of up to a third of what they have left; what is added to spread their
/// returns stays below that.
constexpr double return_share = 0.18;
/// Time limits within this share of the longest count as the same.
constexpr double same_limit_share = 0.97;
/// Share of the requests that have to state the longest time limit for it to be the usual one.
constexpr double usual_share = 0.5;
/// Below this share the longest time limit is looked for anew, after this many requests.
constexpr double forgotten_share = 0.1;
constexpr double least_requests = 10;
/// Requests that the assumed time limit counts for.
constexpr double assumed_weight = 2;
/// Weight of the last request: the last hundred or so count.
constexpr double newest_weight = 0.01;

} // namespace

dispatch_decision decide_dispatch(const waiting_request& request) {
    const bool has_place = request.net_value.has_value();
    const bool is_worth_it = has_place && *request.net_value >= 0;
    if (is_worth_it || (has_place && request.was_sent)) {
        return dispatch_decision::send;
    }
    const bool gives_way = request.is_late && request.has_forecast && !request.was_sent;
    if (gives_way && !request.is_retry) {
        return dispatch_decision::refuse;
    }
    return request.now < request.wait_until ? dispatch_decision::wait : dispatch_decision::refuse;
}

duration retry_delay(duration time_left) {
    return std::chrono::duration_cast<duration>(time_left * return_share);
}

duration retry_detector::time_since_first_try(duration time_limit, duration assumed) {
    if (all_ == 0) {
        longest_ = assumed;
        all_ = at_longest_ = assumed_weight;
    }
    all_ = all_ * (1 - newest_weight) + 1;
    at_longest_ *= 1 - newest_weight;
    // What was assumed, or usual once, may be more than any caller states.
    const bool is_forgotten = all_ > least_requests && at_longest_ < all_ * forgotten_share;
    if (time_limit > longest_ || is_forgotten) {
        longest_ = time_limit;
        all_ = 1;
        at_longest_ = 0;
    }
    const bool is_longest = time_limit >= longest_ * same_limit_share;
    at_longest_ += is_longest ? 1 : 0;
    const bool is_usual = at_longest_ >= all_ * usual_share;
    return is_longest || !is_usual ? duration{0} : longest_ - time_limit;
}

} // namespace magnolia
