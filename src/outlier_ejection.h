/// Finds engines that answer, yet far later than predicted, and takes them out for a while.
#pragma once

#include <magnolia/types.h>

#include <cstddef>
#include <span>

namespace magnolia {

/// Lateness of one engine against the predictions made for it.
class lateness_tracker {
public:
    /// @param ratio  measured time over predicted time.
    void observe(double ratio);
    /// Typical ratio, 1 if as predicted.
    [[nodiscard]] double ratio() const { return ratio_; }
    [[nodiscard]] bool has_enough_samples() const;
    /// Forgets half, so that an engine that comes back is judged by new answers.
    void reset();

    [[nodiscard]] bool is_ejected(time_point now) const { return now < ejected_until_; }
    [[nodiscard]] time_point ejected_until() const { return ejected_until_; }
    /// Takes the engine out; each time in a row for longer.
    void eject(time_point now);

private:
    void set_log_ratio(double value);

    double log_ratio_ = 0;
    /// Power of log_ratio_; read on every prediction.
    double ratio_ = 1;
    unsigned samples_ = 0;
    unsigned ejections_ = 0;
    time_point ejected_until_{};
};

/// Whether an engine is an outlier among its fellows.
/// @param ratios  typical ratios of all engines of the model, in any order; reordered.
/// @param ejected  engines that are out already; at most a fifth may be.
[[nodiscard]] bool is_outlier(const lateness_tracker& engine, std::span<double> ratios,
                              std::size_t ejected);

} // namespace magnolia
