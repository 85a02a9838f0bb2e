#include "server_pace.h"

#include <algorithm>
#include <cmath>

namespace magnolia {
namespace {

/// Longest cold time that is believed: a wrong number must not remove a server for good.
constexpr duration max_cold_time = std::chrono::minutes{1};

} // namespace

bool server_pace::on_cold_stated(duration left, time_point now) {
    const bool is_news = now >= stated_until_ && left.count() > 0;
    stated_until_ = std::max(stated_until_, now + std::min(left, max_cold_time));
    return is_news;
}

time_point server_pace::cold_until(duration cold_time) const {
    const bool has_cold_start = started_at_ && cold_time.count() > 0;
    return std::max(stated_until_, has_cold_start
                                       ? *started_at_ + std::min(cold_time, max_cold_time)
                                       : time_point{});
}

bool server_pace::is_cold(duration cold_time, time_point now) const {
    return now < cold_until(cold_time);
}

void server_pace::set_cold_share(double requests_per_s, time_point now) {
    bucket_.configure(requests_per_s, 1, now);
    if (requests_per_s <= 0) {
        bucket_.clear(now);
    }
}

void server_pace::begin_ramp(double turn, std::size_t hosts, time_point now) {
    const auto others = static_cast<duration::rep>(std::max<std::size_t>(hosts, 1) - 1);
    const auto last_turn = std::min(turn_interval * others, max_turn);
    ramp_begin_ = now;
    first_allowed_ = now + std::chrono::duration_cast<duration>(last_turn * turn);
    allowance_ = 1;
    doubles_ = true;
}

bool server_pace::is_ramping(time_point now) const {
    return ramp_begin_ && now < *ramp_begin_ + max_ramp;
}

bool server_pace::admits(std::uint32_t in_progress, time_point now) const {
    return !is_ramping(now) || (now >= first_allowed_ && in_progress + 1 <= allowance_);
}

bool server_pace::on_good(std::uint32_t peers, time_point now) {
    if (!is_ramping(now)) {
        return false;
    }
    // One more for each answer doubles the requests in progress with each round of answers.
    const bool is_far = allowance_ * 2 <= peers;
    allowance_ += doubles_ && is_far ? 1 : 1 / allowance_;
    const bool has_ended = allowance_ > peers;
    if (has_ended) {
        ramp_begin_.reset();
    }
    return has_ended;
}

void server_pace::on_bad(time_point now) {
    if (is_ramping(now)) {
        allowance_ = std::max(1.0, allowance_ / 2);
        doubles_ = false;
    }
}

void server_pace::on_sent(time_point now) {
    bucket_.take_up_to(1, now);
}

} // namespace magnolia
