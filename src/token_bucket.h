/// Token bucket for rate limits; the time is passed in.
#pragma once

#include <magnolia/types.h>

namespace magnolia {

/// Fills at a constant rate up to its burst. Not thread-safe.
class token_bucket {
public:
    token_bucket() = default;
    /// @param rate   tokens per second.
    /// @param burst  capacity, tokens.
    /// @param level  initial tokens.
    token_bucket(double rate, double burst, double level, time_point now);

    /// Changes rate and burst. Tokens above the new burst are discarded.
    void configure(double rate, double burst, time_point now);
    /// Tokens available at `now`.
    [[nodiscard]] double level(time_point now) const;
    [[nodiscard]] double rate() const { return rate_; }
    [[nodiscard]] double burst() const { return burst_; }

    /// Takes `amount` tokens; false, without effect, if there are fewer.
    [[nodiscard]] bool take(double amount, time_point now);
    /// Takes as many tokens as there are, up to `amount`; returns the number taken.
    double take_up_to(double amount, time_point now);
    /// Returns tokens; those above the burst are discarded.
    void put(double amount, time_point now);
    /// Empties the bucket.
    void clear(time_point now);

    /// Time until take() can succeed; duration::max() if it never can.
    [[nodiscard]] duration wait_for(double amount, time_point now) const;
    [[nodiscard]] bool is_full(time_point now) const { return level(now) >= burst_; }

private:
    double rate_ = 0;
    double burst_ = 0;
    double level_ = 0;
    time_point filled_{};
};

} // namespace magnolia
