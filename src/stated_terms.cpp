#include "stated_terms.h"

#include <algorithm>

namespace magnolia {
namespace {

/// Longest rest that is granted.
constexpr duration max_rest = std::chrono::hours{1};
/// Random time after the rest, at most this share of it and this time.
constexpr double max_delay_share = 0.1;
constexpr duration max_delay = std::chrono::milliseconds{500};
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

void stated_terms::on_answered() {
    if (max_in_progress_ != unlimited) {
        max_in_progress_ *= 2;
        max_in_progress_ = max_in_progress_ >= recovered_in_progress ? unlimited : max_in_progress_;
    }
}

} // namespace magnolia
