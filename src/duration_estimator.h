/// Estimates how long operations of one kind take.
#pragma once

#include <magnolia/types.h>

#include <algorithm>
#include <optional>

namespace magnolia {

/// Moving average and mean deviation of durations, as TCP estimates round trip times. Not
/// thread-safe.
class duration_estimator {
public:
    void record(duration sample) {
        if (!mean_) {
            mean_ = sample;
            deviation_ = sample / first_deviation_divisor;
            return;
        }
        const auto error = sample - *mean_;
        deviation_ += (std::max(error, -error) - deviation_) / deviation_gain_divisor;
        *mean_ += error / mean_gain_divisor;
    }

    /// Time that most operations take at most; empty if there was none.
    [[nodiscard]] std::optional<duration> upper_estimate() const {
        return mean_ ? std::optional{*mean_ + deviation_ * deviations} : std::nullopt;
    }

private:
    static constexpr int first_deviation_divisor = 4;
    static constexpr int mean_gain_divisor = 8;
    static constexpr int deviation_gain_divisor = 4;
    static constexpr int deviations = 2;

    std::optional<duration> mean_;
    duration deviation_{0};
};

} // namespace magnolia
