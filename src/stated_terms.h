/// What a backend server states about itself in its answers to this gateway, and whether it takes a
/// request now. Does no I/O; the time is passed in.
#pragma once

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
    /// Requests per second that it takes from all gateways together; empty if it states no limit.
    void set_limit(std::optional<double> requests_per_s) { limit_ = requests_per_s; }
    [[nodiscard]] std::optional<double> limit() const { return limit_; }

    [[nodiscard]] bool rests(time_point now) const { return now < rests_until_; }
    /// End of the last rest; time_point{} if it never asked for one.
    [[nodiscard]] time_point rests_until() const { return rests_until_; }
    /// Whether it takes another request of this gateway.
    /// @param in_progress  requests of this gateway that it works on.
    [[nodiscard]] bool admits(std::uint32_t in_progress, time_point now) const {
        return !rests(now) && in_progress < max_in_progress_;
    }

private:
    static constexpr auto unlimited = std::numeric_limits<std::uint32_t>::max();

    time_point rests_until_{};
    std::uint32_t max_in_progress_ = unlimited;
    std::optional<double> limit_;
};

} // namespace magnolia
