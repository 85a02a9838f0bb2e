#include "breaker.h"

#include <algorithm>

namespace magnolia {
namespace {

/// Backoff when the breaker opens, and the most times that it doubles.
constexpr duration initial_backoff = std::chrono::seconds{1};
constexpr unsigned max_doublings = 5;
/// Time after which a half-open request without a result no longer blocks the next one.
constexpr duration probe_timeout = std::chrono::seconds{10};

} // namespace

bool breaker::allows(time_point now) const {
    return is_closed() || now >= open_until_;
}

void breaker::on_sent(time_point now) {
    if (!is_closed()) {
        open_until_ = now + probe_timeout;
    }
}

void breaker::on_success() {
    failures_ = 0;
    open_until_ = {};
}

void breaker::on_failure(time_point now) {
    ++failures_;
    if (!is_closed()) {
        const auto doublings = std::min(failures_ - failures_to_open, max_doublings);
        open_until_ = now + initial_backoff * (1U << doublings);
    }
}

} // namespace magnolia
