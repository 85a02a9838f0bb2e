/// Finds out from other hosts' digests that this host has missed a change, although its own watch
/// seems to wait.
#pragma once

#include <magnolia/types.h>

namespace magnolia {

class lag_detector {
public:
    /// Another host's digest came.
    /// @param is_behind   it knows something newer.
    /// @param is_cut_off  calls of this host fail: it tries again by itself, and a hint helps
    /// nothing.
    /// @returns whether to read everything anew.
    [[nodiscard]] bool on_digest(bool is_behind, bool is_cut_off, time_point now);

private:
    time_point behind_since_{};
    time_point next_resync_at_{};
};

} // namespace magnolia
