/// What a backend server states about itself in its answers to this gateway, and whether it takes a
/// request now. Does no I/O; the time is passed in.
#pragma once

#include "token_bucket.h"

#include <magnolia/types.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <random>

namespace magnolia {

/// Terms of one process of a backend server. Not thread-safe.
///
/// A backend server that asks for rest gets no requests until its end. After it the number of
/// requests in progress grows from one, doubled by each complete answer.
class stated_terms {
public:
    /// It asks for rest from now on. Of several requests for rest, the one that ends last counts.
    /// @param random  delays the end a little, as the rests of several gateways may end together.
    void ask_for_rest(duration span, time_point now, std::mt19937_64& random);
    /// It has sent a complete answer.
    void on_answered();
    /// An answer of this time states a limit, in requests per second of all gateways together, or
    /// none. Ignored if it is older than what is known. Returns whether the limit changed.
    bool set_limit(std::optional<double> requests_per_s, time_point stated_at, time_point now);
    [[nodiscard]] std::optional<double> limit() const { return limit_; }
    /// Time of the last answer that stated a limit, or none after one; time_point{} if there was
    /// none.
    [[nodiscard]] time_point limit_stated_at() const { return limit_stated_at_; }
    /// Forgets a limit that no answer has stated for long: this gateway may not have been told its
    /// end.
    void expire_limit(time_point now);
    /// Requests per second that this gateway may send while there is a limit; 0 for none.
    void set_share(double requests_per_s, time_point now);
    /// As set_share() has set it; 0 without a limit.
    [[nodiscard]] double share() const { return limit_ ? bucket_.rate() : 0; }
    /// A request is sent to it.
    void on_sent(time_point now);

    [[nodiscard]] bool rests(time_point now) const { return now < rests_until_; }
    /// Whether it takes requests of this gateway now or will soon.
    [[nodiscard]] bool is_open(time_point now) const {
        return !rests(now) && (!limit_ || bucket_.rate() > 0);
    }
    /// End of the last rest; time_point{} if it never asked for one.
    [[nodiscard]] time_point rests_until() const { return rests_until_; }
    /// Whether it takes another request of this gateway.
    /// @param in_progress  requests of this gateway that it works on.
    [[nodiscard]] bool admits(std::uint32_t in_progress, time_point now) const {
        return !rests(now) && in_progress < max_in_progress_ &&
               (!limit_ || bucket_.level(now) >= 1);
    }

private:
    static constexpr auto unlimited = std::numeric_limits<std::uint32_t>::max();

    time_point rests_until_{};
    std::uint32_t max_in_progress_ = unlimited;
    std::optional<double> limit_;
    time_point limit_stated_at_{};
    /// Requests that this gateway may send while there is a limit.
    token_bucket bucket_;
};

} // namespace magnolia
