#include "token_bucket.h"

#include <algorithm>
#include <cmath>

namespace magnolia {
namespace {

/// Tolerates the rounding error of levels that are sums of many small amounts.
constexpr double tolerance = 1e-6;

double seconds(duration span) {
    return std::chrono::duration<double>(span).count();
}

} // namespace

token_bucket::token_bucket(double rate, double burst, double level, time_point now)
    : rate_{rate}, burst_{burst}, level_{std::min(level, burst)}, filled_{now} {}

void token_bucket::configure(double rate, double burst, time_point now) {
    level_ = std::min(level(now), burst);
    filled_ = std::max(filled_, now);
    rate_ = rate;
    burst_ = burst;
}

double token_bucket::level(time_point now) const {
    const auto passed = seconds(std::max(now - filled_, duration{0}));
    return std::min(burst_, level_ + rate_ * passed);
}

bool token_bucket::take(double amount, time_point now) {
    const auto available = level(now);
    if (available + tolerance < amount) {
        return false;
    }
    level_ = std::max(0.0, available - amount);
    filled_ = std::max(filled_, now);
    return true;
}

double token_bucket::take_up_to(double amount, time_point now) {
    const auto taken = std::clamp(amount, 0.0, level(now));
    level_ = level(now) - taken;
    filled_ = std::max(filled_, now);
    return taken;
}

void token_bucket::put(double amount, time_point now) {
    level_ = std::min(burst_, level(now) + amount);
    filled_ = std::max(filled_, now);
}

void token_bucket::clear(time_point now) {
    level_ = 0;
    filled_ = std::max(filled_, now);
}

duration token_bucket::wait_for(double amount, time_point now) const {
    const auto missing = amount - level(now);
    if (missing <= tolerance) {
        return duration{0};
    }
    if (amount > burst_ + tolerance || rate_ <= 0) {
        return duration::max();
    }
    const auto wait = std::ceil(missing / rate_ * 1e6);
    return wait < 1e15 ? duration{static_cast<duration::rep>(wait)} : duration::max();
}

} // namespace magnolia
