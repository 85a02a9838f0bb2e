#include "outlier_ejection.h"

#include <algorithm>
#include <cmath>

namespace magnolia {
namespace {

/// Smoothing factor of the moving average of log ratios.
constexpr double smoothing = 0.2;
/// Ratios are clamped to this factor either way.
constexpr double max_ratio = 20;
/// Samples needed before an engine is judged.
constexpr unsigned min_samples = 8;
/// The ratio of an outlier is this many times the median engine's.
constexpr double outlier_factor = 2.5;
/// At most one in this many engines may be ejected at a time.
constexpr std::size_t max_ejected_divisor = 5;
/// Duration of the first ejection, and the most times that it doubles.
constexpr duration first_ejection = std::chrono::seconds{10};
constexpr unsigned max_doublings = 4;

} // namespace

void lateness_tracker::observe(double ratio) {
    const double bounded = std::log(std::clamp(ratio, 1 / max_ratio, max_ratio));
    set_log_ratio(log_ratio_ + smoothing * (bounded - log_ratio_));
    ++samples_;
    // The engine answers about as predicted again.
    if (has_enough_samples() && ratio_ < 1.5) {
        ejections_ = 0;
    }
}

void lateness_tracker::set_log_ratio(double value) {
    log_ratio_ = value;
    ratio_ = std::exp(value);
}

bool lateness_tracker::has_enough_samples() const {
    return samples_ >= min_samples;
}

void lateness_tracker::reset() {
    set_log_ratio(log_ratio_ / 2);
    samples_ = 0;
}

void lateness_tracker::eject(time_point now) {
    ejected_until_ = now + first_ejection * (1U << std::min(ejections_, max_doublings));
    ++ejections_;
    reset();
}

bool is_outlier(const lateness_tracker& engine, std::span<double> ratios, std::size_t ejected) {
    if (!engine.has_enough_samples() || (ejected + 1) * max_ejected_divisor > ratios.size()) {
        return false;
    }
    const auto median = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::ranges::nth_element(ratios, median);
    return engine.ratio() > outlier_factor * std::max(1.0, *median);
}

} // namespace magnolia
