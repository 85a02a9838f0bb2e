/// Objects of one kind as the store reported them, with the recent changes, so that a host can
/// answer lists and watches of other hosts as the store would. Pure.
#pragma once

#include "platform_port.h"

#include <deque>
#include <map>
#include <optional>
#include <span>

namespace magnolia {

/// Owned by object_watcher. Not thread-safe.
class object_cache {
public:
    /// Forgets everything until the next list.
    void clear() { is_complete_ = false; }
    /// Replaces everything by a complete list as of the position.
    void replace(std::span<const stored_object> objects, store_position position);
    /// Applies changes up to the position.
    void apply(std::span<const stored_object> changes, store_position position);

    [[nodiscard]] bool is_complete() const { return is_complete_; }
    [[nodiscard]] store_position position() const { return position_; }
    /// All objects as one page.
    [[nodiscard]] object_page list() const;
    /// What a watch from the position has to report: an empty page if nothing has changed, one with
    /// a gap if the changes are not kept any more. Absent if the position is later than that of
    /// this cache, which cannot tell.
    [[nodiscard]] std::optional<watch_page> changes_after(store_position position) const;

private:
    struct change {
        /// Position of the page that reported it. Earlier ones of the same page may be reported
        /// again to a host that knows them, in the same order, which ends in the same state.
        store_position position;
        stored_object object;
    };

    void trim();

    bool is_complete_ = false;
    store_position position_{};
    std::map<std::string, stored_object> objects_;
    std::deque<change> changes_;
    std::size_t change_bytes_ = 0;
    /// Changes after this position are kept.
    store_position kept_from_{};
};

} // namespace magnolia
