/// How long the hosts of a deployment wait for changes of the platform's store, and how long for
/// its replies, so that each learns of a change within the contact time even if its connection is
/// dead.
#pragma once

#include <magnolia/types.h>

#include <random>

namespace magnolia {

using std::chrono::milliseconds;

/// Timeout of the reply to a call to the store.
/// @param contact_time  time after a disruption within which a host must be up to date.
[[nodiscard]] milliseconds store_timeout(milliseconds contact_time);

/// Longest wait of the next watch call, with jitter.
/// @param hosts  hosts that are heard, this one included. The more there are, the longer each
/// waits:
///               one whose connection is dead learns of changes from the digests of the others.
[[nodiscard]] milliseconds watch_wait(milliseconds contact_time, std::size_t hosts,
                                      std::mt19937_64& random);

} // namespace magnolia
