#include "retry_budget.h"

#include <algorithm>

namespace magnolia {
namespace {

using seconds = std::chrono::duration<double>;

/// An attempt is hedged once it exceeds its prediction by this factor and by this time.
constexpr int overrun_factor = 2;
constexpr duration min_overrun = std::chrono::milliseconds{200};

} // namespace

retry_budget::retry_budget(double fraction, double reserve, duration period, double cap)
    : fraction_{fraction}, reserve_{reserve}, period_{period}, cap_{cap}, tokens_{reserve} {}

void retry_budget::refill(time_point now) {
    tokens_ = available(now);
    refilled_ = std::max(refilled_, now);
}

double retry_budget::available(time_point now) const {
    if (tokens_ >= reserve_ || now <= refilled_) {
        return tokens_;
    }
    const double gained = reserve_ * (seconds{now - refilled_} / seconds{period_});
    return std::min(reserve_, tokens_ + gained);
}

void retry_budget::set_reserve(double reserve, time_point now) {
    refill(now);
    reserve_ = reserve;
    tokens_ = std::min(tokens_, cap_ * reserve_);
}

void retry_budget::on_first_attempt(std::uint32_t tokens, time_point now) {
    refill(now);
    tokens_ = std::min(tokens_ + fraction_ * tokens, cap_ * reserve_);
}

bool retry_budget::try_spend(std::uint32_t tokens, time_point now) {
    refill(now);
    if (tokens_ < tokens) {
        return false;
    }
    tokens_ -= tokens;
    return true;
}

bool should_hedge(const hedge_query& query, retry_budget& budget, time_point now) {
    if (!query.is_repeatable || query.has_first_token) {
        return false;
    }
    const auto hedge_after = std::max(query.predicted_first_token * overrun_factor,
                                      query.predicted_first_token + min_overrun);
    const bool is_late = query.elapsed > hedge_after;
    const bool can_help = query.other_first_token < query.time_left;
    return is_late && can_help && budget.try_spend(query.prompt_tokens, now);
}

} // namespace magnolia
