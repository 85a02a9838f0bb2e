/// Decides where a host reads the objects of the platform's store from: from the store, from the
/// hosts of its zone that watch it (near), from those of other zones (far), or from a host that has
/// told a newer state (teller). Pure: store_reader makes the calls.
#pragma once

#include <magnolia/types.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia {

/// Source of the next call.
struct read_choice {
    /// Empty for the store.
    std::string host;
    /// The reply of the host is used although it has lost the store.
    bool accepts_loss = false;
    /// The host answers at once if it has lost the store, instead of waiting for a change.
    bool reports_loss = true;
    /// Longest time for which it may wait for a change.
    duration longest_wait = duration::max();

    [[nodiscard]] bool is_store() const { return host.empty(); }
};

/// Owned by store_reader. Not thread-safe. Times must not decrease.
class read_source {
public:
    /// @param near        in the order of preference; none if this host reads from the store
    /// itself.
    /// @param far         in the order of preference.
    /// @param host_count  hosts of the deployment: while all sources have lost the store, these
    ///                    together try it about twice a second.
    void set_relays(const std::vector<std::string>& near, const std::vector<std::string>& far,
                    std::size_t host_count);
    /// Age of what a source has from which another one is preferred.
    void set_max_age(duration age) { max_age_ = age; }

    /// @param random  in [0, 1); spreads the trials of the hosts.
    [[nodiscard]] read_choice choose(time_point now, double random);
    /// Whether the next call goes to the store, trials apart.
    [[nodiscard]] bool is_store_next(time_point now) const;
    /// The last call of this host to the store has failed.
    [[nodiscard]] bool is_store_failing() const { return is_store_failing_; }
    /// Whether the store is this host's own source, so that a call elsewhere ends once it answers.
    [[nodiscard]] bool returns_to_store() const { return near_count_ == 0 && is_store_failing_; }

    /// The host refused or did not answer.
    void on_failure(std::string_view host, time_point now);
    /// The host answered. Returns whether another source is to be asked instead.
    /// @param age      time since the store confirmed the answer.
    /// @param is_lost  the host says that it has lost the store.
    /// @param random   in [0, 1).
    bool on_answer(std::string_view host, duration age, bool is_lost, time_point now,
                   double random);
    /// The store answered a call of this host, or did not.
    void on_store_answer(bool is_answered, time_point now);
    /// Another host has told a newer state for some time: what this host reads from is behind.
    void on_lag(std::string_view teller, time_point now);

    /// Sources and why they are avoided, for the log.
    [[nodiscard]] std::string explain(time_point now) const;

private:
    enum class fault : std::uint8_t { none, failed, lost, behind, old };

    struct relay_state {
        std::string host;
        fault cause = fault::none;
        /// Not preferred before this moment.
        time_point avoided_until{};
    };

    [[nodiscard]] const relay_state* first_usable(time_point now) const;
    [[nodiscard]] relay_state* find(std::string_view host);
    /// A relay that answers with an old view, better one that has not lost the store; null if there
    /// is none.
    [[nodiscard]] const relay_state* first_outdated() const;
    [[nodiscard]] bool uses_teller(time_point now) const;

    /// Near ones first.
    std::vector<relay_state> relays_;
    std::size_t near_count_ = 0;
    std::size_t host_count_ = 1;
    duration max_age_ = duration::max();
    std::string teller_;
    time_point teller_until_{};
    bool is_store_failing_ = false;
    bool was_store_last_ = true;
    time_point store_until_{};
    std::optional<time_point> next_trial_;
};

} // namespace magnolia
