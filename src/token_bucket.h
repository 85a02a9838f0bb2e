/// Token bucket with an injected clock.
#pragma once

#include <magnolia/types.h>

namespace magnolia {

/// Bucket that fills at a rate up to its burst. The level never exceeds the burst.
class token_bucket {
public:
    token_bucket() = default;
    /// @param rate   tokens a second. @param burst  capacity, tokens.
    /// @param level  tokens at the start.
    token_bucket(double rate, double burst, double level, time_point now);

    /// Changes rate and burst; what is above the new burst is lost.
    void configure(double rate, double burst, time_point now);
    /// Tokens now.
    [[nodiscard]] double level(time_point now) const;
    [[nodiscard]] double rate() const { return rate_; }
    [[nodiscard]] double burst() const { return burst_; }

    /// Takes the amount if it is there.
    [[nodiscard]] bool take(double amount, time_point now);
    /// Takes up to the amount; returns what was taken.
    double take_up_to(double amount, time_point now);
    /// Puts tokens back, up to the burst.
    void put(double amount, time_point now);
    /// Empties the bucket.
    void clear(time_point now);

    /// Time until the amount is there; duration::max() if it never will be.
    [[nodiscard]] duration wait_for(double amount, time_point now) const;
    [[nodiscard]] bool is_full(time_point now) const { return level(now) >= burst_; }

private:
    double rate_ = 0;
    double burst_ = 0;
    double level_ = 0;
    time_point filled_{};
};

} // namespace magnolia
