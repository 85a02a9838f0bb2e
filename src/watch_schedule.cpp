#include "watch_schedule.h"

#include <algorithm>

namespace magnolia {
namespace {

/// Shares of the contact time. Wait and timeout together detect a dead connection within it, but
/// for further watchers.
constexpr double timeout_share = 0.23;
constexpr double first_watcher_share = 0.5;
constexpr double further_watcher_share = 2;
constexpr double reader_share = 0.5;
/// Each wait is drawn from the range between this share and all of it, so that hosts do not call at
/// the same time.
constexpr double min_share = 0.8;

/// Time between the ends of any two watch calls of all single hosts together.
constexpr milliseconds cluster_interval{180};
constexpr int max_contact_times = 2;

double share_of(watch_role role) {
    switch (role) {
    case watch_role::single:
    case watch_role::first_watcher:
        return first_watcher_share;
    case watch_role::further_watcher:
        return further_watcher_share;
    case watch_role::reader:
        break;
    }
    return reader_share;
}

milliseconds fraction_of(milliseconds span, double share) {
    return std::chrono::duration_cast<milliseconds>(span * share);
}

} // namespace

milliseconds store_timeout(milliseconds contact_time) {
    return fraction_of(contact_time, timeout_share);
}

milliseconds max_outage_age(milliseconds contact_time) {
    // The call that failed may have been under way for this long.
    const auto under_way = store_timeout(contact_time) + watch_wait_after_failure;
    return std::max(contact_time - under_way, contact_time / 2);
}

milliseconds watch_wait(milliseconds contact_time, watch_role role, std::size_t hosts,
                        std::mt19937_64& random) {
    std::uniform_real_distribution<double> jitter{min_share, 1.0};
    auto wait = fraction_of(contact_time, share_of(role));
    if (role == watch_role::single) {
        const auto shared = cluster_interval * static_cast<std::int64_t>(hosts);
        wait = std::max(wait, std::min<milliseconds>(shared, contact_time * max_contact_times));
    }
    return fraction_of(wait, jitter(random));
}

} // namespace magnolia
