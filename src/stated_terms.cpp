#include "stated_terms.h"

#include <algorithm>
#include <utility>

namespace magnolia {
namespace {

/// Longest rest that is granted.
constexpr duration max_rest = std::chrono::hours{1};
/// Random time after the rest, at most this share of it and this time.
constexpr double max_delay_share = 0.1;
constexpr duration max_delay = std::chrono::milliseconds{500};
/// Time without a statement after which a limit is forgotten.
constexpr duration limit_lifetime = std::chrono::seconds{30};
/// Requests in progress from which on a backend server has recovered.
constexpr std::uint32_t recovered_in_progress = 64;

} // namespace

void stated_terms::ask_for_rest(duration span, time_point now, std::mt19937_64& random) {
    const auto granted = std::clamp(span, duration{0}, max_rest);
    const auto longest_delay =
        std::min(std::chrono::duration_cast<duration>(granted * max_delay_share), max_delay);
    std::uniform_int_distribution<duration::rep> delay{0, longest_delay.count()};
    rests_until_ = std::max(rests_until_, now + granted + duration{delay(random)});
    max_in_progress_ = 1;
}

bool stated_terms::set_limit(std::optional<double> requests_per_s, time_point stated_at,
                             time_point now) {
    const bool is_unlimited = !limit_ && !requests_per_s;
    if (is_unlimited || stated_at <= limit_stated_at_) {
        return false;
    }
    limit_stated_at_ = stated_at;
    if (!limit_) {
        // This gateway has sent requests just now.
        bucket_ = token_bucket{0, 1, 0, now};
    }
    return std::exchange(limit_, requests_per_s) != requests_per_s;
}

void stated_terms::expire_limit(time_point now) {
    if (limit_ && now - limit_stated_at_ > limit_lifetime) {
        limit_.reset();
    }
}

void stated_terms::set_share(double requests_per_s, time_point now) {
    bucket_.configure(requests_per_s, 1, now);
    if (requests_per_s <= 0) {
        bucket_.clear(now);
    }
}

void stated_terms::on_sent(time_point now) {
    if (limit_) {
        bucket_.take_up_to(1, now);
    }
}

void stated_terms::on_answered() {
    if (max_in_progress_ != unlimited) {
        max_in_progress_ *= 2;
        max_in_progress_ = max_in_progress_ >= recovered_in_progress ? unlimited : max_in_progress_;
    }
}

} // namespace magnolia
