#include "watch_schedule.h"

#include <algorithm>

namespace magnolia {
namespace {

constexpr double timeout_share = 0.23;
/// Wait of a host alone, as a share of the contact time. With the timeout it detects a dead
/// connection within three quarters of the contact time.
constexpr double single_host_share = 0.5;
/// Time between the ends of any two watch calls of all hosts together.
constexpr milliseconds cluster_interval{220};
constexpr int max_contact_times = 2;
/// Each wait is drawn from the range between this share and all of it, so that hosts do not call at
/// the same time.
constexpr double min_share = 0.8;

milliseconds fraction_of(milliseconds span, double share) {
    return std::chrono::duration_cast<milliseconds>(span * share);
}

} // namespace

milliseconds store_timeout(milliseconds contact_time) {
    return fraction_of(contact_time, timeout_share);
}

milliseconds watch_wait(milliseconds contact_time, std::size_t hosts, std::mt19937_64& random) {
    const auto shared = std::min(cluster_interval * static_cast<std::int64_t>(hosts),
                                 contact_time * max_contact_times);
    std::uniform_real_distribution<double> jitter{min_share, 1.0};
    return fraction_of(std::max(fraction_of(contact_time, single_host_share), shared),
                       jitter(random));
}

} // namespace magnolia
