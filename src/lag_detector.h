/// Detects from the digests of other hosts that this host has missed a change although its own
/// watch on the store appears to work.
#pragma once

#include <magnolia/types.h>

namespace magnolia {

/// Requests a full resync once other hosts have reported newer state for a minimum time. Used by
/// the gateway. Not thread-safe.
class lag_detector {
public:
    /// Handles a digest from another host.
    /// @param is_behind        the other host has newer state.
    /// @param is_disconnected  this host's calls to the store fail: it already retries, and a
    /// resync would fail as well.
    /// @returns whether to read the complete state again.
    [[nodiscard]] bool on_digest(bool is_behind, bool is_disconnected, time_point now);

private:
    time_point behind_since_{};
    time_point next_resync_at_{};
};

} // namespace magnolia
