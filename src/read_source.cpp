#include "read_source.h"

#include <algorithm>
#include <ranges>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

/// Time for which a source that failed, lost the store or is behind is not preferred.
constexpr milliseconds avoidance_time{2000};
/// Time for which a host reads from the one that told it a newer state, and from a store that
/// answered a trial. Its own sources are tried again afterwards.
constexpr milliseconds detour_time{2000};
/// Time between two trials of all hosts together.
constexpr milliseconds trial_interval{500};

duration trial_pause(std::size_t host_count, double share) {
    return std::chrono::duration_cast<duration>(trial_interval *
                                                (share * static_cast<double>(host_count)));
}

} // namespace

void read_source::set_relays(const std::vector<std::string>& near,
                             const std::vector<std::string>& far, std::size_t host_count) {
    host_count_ = std::max<std::size_t>(host_count, 1);
    near_count_ = near.size();
    std::vector<relay_state> next;
    for (const auto& names : {near, far}) {
        for (const auto& name : names) {
            const auto* known = find(name);
            next.push_back(known != nullptr ? *known : relay_state{.host = name});
        }
    }
    relays_ = std::move(next);
}

bool read_source::uses_teller(time_point now) const {
    return !teller_.empty() && now < teller_until_;
}

const read_source::relay_state* read_source::first_usable(time_point now) const {
    const auto found = std::ranges::find_if(
        relays_, [now](const relay_state& relay) { return relay.avoided_until <= now; });
    return found == relays_.end() ? nullptr : &*found;
}

const read_source::relay_state* read_source::first_outdated() const {
    for (const auto cause : {fault::old, fault::lost}) {
        const auto found = std::ranges::find(relays_, cause, &relay_state::cause);
        if (found != relays_.end()) {
            return &*found;
        }
    }
    return nullptr;
}

read_source::relay_state* read_source::find(std::string_view host) {
    const auto found = std::ranges::find(relays_, host, &relay_state::host);
    return found == relays_.end() ? nullptr : &*found;
}

bool read_source::is_store_next(time_point now) const {
    if (uses_teller(now)) {
        return false;
    }
    return near_count_ == 0 || now < store_until_ ||
           (first_usable(now) == nullptr && first_outdated() == nullptr);
}

read_choice read_source::choose(time_point now, double random) {
    was_store_last_ = false;
    if (uses_teller(now)) {
        return {.host = teller_, .accepts_loss = true, .longest_wait = teller_until_ - now};
    }
    if (is_store_next(now)) {
        was_store_last_ = true;
        return {};
    }
    if (const auto* usable = first_usable(now)) {
        next_trial_.reset();
        return {.host = usable->host};
    }
    // Each of them alone would call the store all the time.
    if (!next_trial_) {
        next_trial_ = now + trial_pause(host_count_, random);
    }
    if (now >= *next_trial_) {
        constexpr double min_share = 0.5;
        next_trial_ = now + trial_pause(host_count_, min_share + random);
        was_store_last_ = true;
        return {};
    }
    return {.host = first_outdated()->host, .accepts_loss = true, .reports_loss = false};
}

void read_source::on_failure(std::string_view host, time_point now) {
    if (host == teller_) {
        teller_until_ = {};
    }
    if (auto* relay = find(host)) {
        relay->cause = fault::failed;
        relay->avoided_until = now + avoidance_time;
    }
}

bool read_source::on_answer(std::string_view host, duration age, bool is_lost, time_point now,
                            double random) {
    auto* relay = find(host);
    const bool is_worse = is_lost || age > max_age_;
    if (uses_teller(now)) {
        // It has told what it knew, and does not learn of more.
        const bool is_teller_worse = is_worse && host == teller_;
        teller_until_ = is_teller_worse ? time_point{} : teller_until_;
        return is_teller_worse;
    }
    if (relay == nullptr) {
        return false;
    }
    if (!is_worse) {
        relay->cause = fault::none;
        return false;
    }
    // The hosts that read from it do not come back together.
    constexpr double min_share = 0.75;
    relay->cause = is_lost ? fault::lost : fault::old;
    relay->avoided_until =
        now + std::chrono::duration_cast<duration>(avoidance_time * (min_share + random / 2));
    return true;
}

void read_source::on_store_answer(bool is_answered, time_point now) {
    is_store_failing_ = !is_answered;
    if (near_count_ == 0) {
        teller_until_ = is_answered ? time_point{} : teller_until_;
        return;
    }
    // It answered a trial: this host follows it for a while, and tells the others.
    const bool was_trial = first_usable(now) == nullptr && now >= store_until_;
    store_until_ = !is_answered ? time_point{} : was_trial ? now + detour_time : store_until_;
}

void read_source::on_lag(std::string_view teller, time_point now) {
    if (was_store_last_ && !is_store_failing_) {
        // It lists again there: a watch may have been lost.
        return;
    }
    for (auto& relay : relays_) {
        const bool is_near = &relay < relays_.data() + near_count_;
        if (is_near && relay.avoided_until <= now) {
            relay.cause = fault::behind;
            relay.avoided_until = now + avoidance_time;
        }
    }
    teller_ = teller;
    teller_until_ = now + detour_time;
}

std::string read_source::explain(time_point now) const {
    constexpr std::string_view names[]{"usable", "failed", "lost", "behind", "old"};
    std::string text;
    for (const auto& relay : relays_) {
        const auto cause = now < relay.avoided_until ? names[static_cast<std::size_t>(relay.cause)]
                                                     : std::string_view{"usable"};
        text += (text.empty() ? "" : " ") + relay.host + "=" + std::string{cause};
    }
    return text + (is_store_failing_ ? " store=failed" : "");
}

} // namespace magnolia
