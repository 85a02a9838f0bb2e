/// Detects from the digests of other hosts that this host has missed a change although its own
/// watch on the store appears to work.
#pragma once

#include <magnolia/types.h>

#include <optional>
#include <string>
#include <string_view>

namespace magnolia {

/// Requests a full resync once this host has lacked a state that another host told for a minimum
/// time. Hosts that lack it as well do not delay that. Used by the gateway. Not thread-safe.
///
/// A State has the member `is_newer_than(const State&)`.
template <class State>
class lag_detector {
public:
    /// Another host has this state.
    /// @param sender  name of the other host.
    void on_digest(const State& told, time_point now, std::string_view sender = {}) {
        if (!is_fresh(now) || !newest_->is_newer_than(told)) {
            newest_ = told;
            told_at_ = now;
            teller_ = sender;
        }
    }

    /// Host that told the newest state last.
    [[nodiscard]] const std::string& teller() const { return teller_; }

    /// Whether another host has recently told a state that is newer than this host's.
    [[nodiscard]] bool is_behind(const State& own, time_point now) const {
        return is_fresh(now) && newest_->is_newer_than(own);
    }

    /// Whether to read the complete state again, from another source if calls fail.
    [[nodiscard]] bool needs_resync(const State& own, time_point now) {
        if (!is_behind(own, now)) {
            behind_since_ = {};
            return false;
        }
        if (behind_since_ == time_point{}) {
            behind_since_ = now;
        }
        if (now - behind_since_ < min_lag_time || now < next_resync_at_) {
            return false;
        }
        behind_since_ = {};
        next_resync_at_ = now + min_resync_interval;
        return true;
    }

private:
    /// Time for which this host must lack the state. A change reaches hosts some hundred ms apart,
    /// as those that read from others are told of changes a few times a second.
    static constexpr duration min_lag_time = std::chrono::milliseconds{400};
    /// Minimum time between resyncs. A list takes a few round trips, more if the store is slow.
    static constexpr duration min_resync_interval = std::chrono::milliseconds{1000};
    /// Time after which a state that no host tells any more is forgotten.
    static constexpr duration told_lifetime = std::chrono::seconds{5};

    [[nodiscard]] bool is_fresh(time_point now) const {
        return newest_ && now - told_at_ <= told_lifetime;
    }

    std::optional<State> newest_;
    std::string teller_;
    time_point told_at_{};
    time_point behind_since_{};
    time_point next_resync_at_{};
};

} // namespace magnolia
