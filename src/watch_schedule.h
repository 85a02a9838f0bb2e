/// How long the hosts of a deployment wait for changes of the platform's store, and how long for
/// its replies, so that each learns of a change within the contact time even if its connection is
/// dead.
#pragma once

#include <magnolia/types.h>

#include <cstdint>
#include <random>

namespace magnolia {

using std::chrono::milliseconds;

/// Timeout of the reply to a call to the store.
/// @param contact_time  time after a disruption within which a host must be up to date.
[[nodiscard]] milliseconds store_timeout(milliseconds contact_time);

/// Age of the last sign of an outage from which a host that hears nothing must count on the store
/// having answered again for the contact time.
[[nodiscard]] milliseconds max_outage_age(milliseconds contact_time);

/// Wait of a watch call while calls to the store fail: it may still not respond, and a lost call
/// must not delay the next one for long.
inline constexpr milliseconds watch_wait_after_failure{100};

/// How a host learns of changes.
enum class watch_role : std::uint8_t {
    /// Reads from the store for itself, as all hosts of a small deployment do.
    single,
    /// First watcher of its zone: notices a dead connection by itself.
    first_watcher,
    /// Further watcher: one whose connection is dead learns of changes from the digests of others.
    further_watcher,
    /// Reads from a watcher, within the zone, where calls cost little.
    reader,
};

/// Longest wait of the next watch call, with jitter.
/// @param hosts  hosts of the deployment; single ones wait the longer the more they are.
[[nodiscard]] milliseconds watch_wait(milliseconds contact_time, watch_role role, std::size_t hosts,
                                      std::mt19937_64& random);

} // namespace magnolia
