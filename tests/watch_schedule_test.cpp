#include "exchange_topology.h"
#include "watch_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace magnolia {
namespace {

constexpr milliseconds contact_time{3000};
/// Times of the gateway: between two digests, and until a told state counts as missed.
constexpr milliseconds digest_interval{500};
constexpr milliseconds lag_time{400};
/// Connection, call and delays of timers on a busy host.
constexpr milliseconds reconnect_time{100};

/// Time in which a watcher answers a read that waits, within the zone.
constexpr milliseconds relay_time{300};
constexpr std::size_t zones = 3;
constexpr std::size_t watchers_per_zone = 2;

/// Hosts whose connections to the store all go silent at time zero, in the middle of watch calls.
class silent_deployment {
public:
    silent_deployment(std::size_t hosts, std::uint64_t seed) : random_{seed} {
        for (std::size_t host = 0; host < hosts; ++host) {
            if (hosts <= topology_limits{}.max_undivided_hosts) {
                detected_.push_back(
                    draw(watch_wait(contact_time, watch_role::single, hosts, random_)) +
                    store_timeout(contact_time) + reconnect_time);
                continue;
            }
            // The hosts of a zone: the first watcher, the second one, and readers of either.
            const auto rank = host / zones;
            if (rank >= watchers_per_zone) {
                const auto watcher = host % zones + zones * (rank % watchers_per_zone);
                detected_.push_back(detected_[watcher] + relay_time);
                continue;
            }
            const auto role = rank == 0 ? watch_role::first_watcher : watch_role::further_watcher;
            const auto remaining = draw(watch_wait(contact_time, role, hosts, random_));
            detected_.push_back(remaining + store_timeout(contact_time) + reconnect_time);
        }
    }

    /// Time at which the last host has what was written at time zero.
    milliseconds all_informed() {
        const auto hosts = static_cast<std::int64_t>(detected_.size());
        const auto first = std::ranges::min(detected_);
        milliseconds last{0};
        for (const auto own : detected_) {
            const auto told = first + draw(digest_interval);
            // Hosts check for a lag at each digest of any host.
            const auto checked = told + lag_time + draw(digest_interval / hosts);
            last = std::max(last, std::min(own, checked + reconnect_time));
        }
        return last;
    }

private:
    milliseconds draw(milliseconds longest) {
        return milliseconds{
            std::uniform_int_distribution<std::int64_t>{0, longest.count()}(random_)};
    }

    std::mt19937_64 random_;
    std::vector<milliseconds> detected_;
};

// Incident CONFIG: with all connections silent, hosts waited up to 6.7 s for a change.
TEST(watch_schedule,
     hosts_are_up_to_date_within_the_contact_time_after_all_connections_went_silent) {
    constexpr std::uint64_t seeds = 1000;
    for (const std::size_t hosts : {1, 2, 3, 6, 8, 12, 20, 30, 76, 100, 300, 380}) {
        milliseconds worst{0};
        for (std::uint64_t seed = 0; seed < seeds; ++seed) {
            worst = std::max(worst, silent_deployment{hosts, seed}.all_informed());
        }
        EXPECT_LE(worst, contact_time) << hosts << " hosts";
    }
}

// Review case 2, CONFIG: the waits between the end of a cut and the first reply of the store, one
// after the other at their longest, exceeded the contact time.
TEST(watch_schedule, the_longest_waits_after_a_cut_stay_within_the_contact_time) {
    /// Between two calls to the store that does not answer, and a call to another host that takes
    /// no connection.
    constexpr milliseconds backoff{500};
    constexpr milliseconds refused_relay{400};
    std::mt19937_64 random{1};
    for (const auto contact : {milliseconds{3000}, milliseconds{4000}, milliseconds{5000}}) {
        const auto hung_call = store_timeout(contact) + watch_wait_after_failure;
        // A host that asks the store: a call that was lost in the cut, and the next one.
        EXPECT_LE(hung_call + backoff + reconnect_time, contact);
        // The detour of such a host ends with the same calls, made beside it.
        EXPECT_LT(hung_call + backoff, max_outage_age(contact)) << "a cut host must go on serving";
        for (const std::size_t hosts : {89, 295}) {
            // A host that asks another one: a watch that was lost, and the next host.
            const auto hung_watch =
                watch_wait(contact, watch_role::reader, hosts, random) + store_timeout(contact);
            EXPECT_LE(hung_watch + refused_relay + reconnect_time, contact) << hosts << " hosts";
        }
    }
    for (const std::size_t hosts : {2, 8}) {
        // A cut so short that no call has failed: the watch that it broke.
        const auto hung_watch = watch_wait(contact_time, watch_role::single, hosts, random) +
                                store_timeout(contact_time);
        EXPECT_LE(hung_watch + backoff + reconnect_time, contact_time) << hosts << " hosts";
    }
}

} // namespace
} // namespace magnolia
