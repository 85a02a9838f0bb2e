/// Outlier ejection: engines that answer far later than predicted are excluded for a while.
#pragma once

#include <magnolia/types.h>

#include <cstddef>
#include <span>

namespace magnolia {

/// Measured over predicted times of one engine, and its ejections. One per engine of the engine
/// table. Not thread-safe.
class lateness_tracker {
public:
    /// @param ratio  measured time over predicted time.
    void observe(double ratio);
    /// Moving geometric mean of the ratios; 1 means as predicted.
    [[nodiscard]] double ratio() const { return ratio_; }
    /// Whether there are enough samples to judge the engine.
    [[nodiscard]] bool has_enough_samples() const;
    /// Halves the deviation and discards the sample count, so that an engine is judged by new
    /// answers after an ejection.
    void reset();

    [[nodiscard]] bool is_ejected(time_point now) const { return now < ejected_until_; }
    [[nodiscard]] time_point ejected_until() const { return ejected_until_; }
    /// Ejects the engine. The time doubles with each ejection until it answers as predicted again.
    void eject(time_point now);

private:
    void set_log_ratio(double value);

    double log_ratio_ = 0;
    /// exp(log_ratio_), cached as every prediction reads it.
    double ratio_ = 1;
    unsigned samples_ = 0;
    /// Consecutive ejections.
    unsigned ejections_ = 0;
    time_point ejected_until_{};
};

/// Whether an engine is an outlier among the engines of its model.
/// @param ratios   ratio() of all engines of the model; reordered by the call.
/// @param ejected  engines that are ejected already; at most a fifth may be.
[[nodiscard]] bool is_outlier(const lateness_tracker& engine, std::span<double> ratios,
                              std::size_t ejected);

} // namespace magnolia
