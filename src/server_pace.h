/// How fast a backend server that has just started or recovered is given requests. Does no I/O; the
/// time is passed in.
#pragma once

#include "token_bucket.h"

#include <magnolia/types.h>

#include <cstdint>
#include <optional>

namespace magnolia {

/// Pace of one process of a backend server at this gateway. Not thread-safe.
///
/// Stated: while it is cold, a token bucket holds this gateway's part of the rate that its service
/// states for all gateways together (limit_sharing.h).
///
/// Learned, where nothing is stated: after a start or a recovery the first request waits for the
/// gateway's turn, and the number of requests in progress grows from one with each good answer. A
/// bad sign halves it. It ends when it no longer binds, or after max_ramp.
class server_pace {
public:
    /// Longest wait of a gateway for its turn, and the wait for each gateway before it.
    static constexpr duration max_turn = std::chrono::seconds{1};
    static constexpr duration turn_interval = std::chrono::milliseconds{50};
    /// Time after which the learned pace ends in any case.
    static constexpr duration max_ramp = std::chrono::seconds{5};

    /// The process was first seen now, while its service had requests.
    void on_started(time_point now) { started_at_ = now; }
    /// It was stated that it stays cold for this time. Of several statements, the one that ends
    /// last counts. Returns whether it was not known to be cold.
    bool on_cold_stated(duration left, time_point now);
    /// @param cold_time  time for which backend servers of the service are cold after a start.
    [[nodiscard]] bool is_cold(duration cold_time, time_point now) const;
    /// End of the cold time; time_point{} if there was none.
    [[nodiscard]] time_point cold_until(duration cold_time) const;
    /// Requests per second that this gateway may send while it is cold; 0 for none.
    void set_cold_share(double requests_per_s, time_point now);
    [[nodiscard]] double cold_share() const { return bucket_.rate(); }
    /// Whether a cold one takes another request of this gateway.
    [[nodiscard]] bool has_cold_token(time_point now) const { return bucket_.level(now) >= 1; }

    /// Begins a learned pace; one that is under way starts anew.
    /// @param turn   position of this gateway among those that share the backend server, 0 to 1.
    /// @param hosts  number of these gateways, at least 1.
    void begin_ramp(double turn, std::size_t hosts, time_point now);
    [[nodiscard]] bool is_ramping(time_point now) const;
    /// Whether the learned pace lets another request go there.
    /// @param in_progress  requests of this gateway that it works on.
    [[nodiscard]] bool admits(std::uint32_t in_progress, time_point now) const;
    /// An answer was as good as forecast.
    /// @param peers  most requests of this gateway in progress at another backend server.
    /// Returns whether the ramp has ended.
    bool on_good(std::uint32_t peers, time_point now);
    /// A late event, a failure or a refusal.
    void on_bad(time_point now);
    /// Requests of this gateway that may be in progress while it ramps.
    [[nodiscard]] double allowance() const { return allowance_; }

    /// A request or a share of one is sent to it.
    void on_sent(time_point now);

private:
    std::optional<time_point> started_at_;
    time_point stated_until_{};
    /// Requests that this gateway may send while it is cold.
    token_bucket bucket_{0, 1, 0, time_point{}};

    /// Set while it ramps.
    std::optional<time_point> ramp_begin_;
    time_point first_allowed_{};
    double allowance_ = 1;
    /// No bad sign since the begin: the allowance doubles with each round of answers.
    bool doubles_ = true;
};

} // namespace magnolia
