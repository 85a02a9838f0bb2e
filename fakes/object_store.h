/// Objects with versions, conditional writes, lists and watches, as the platform's store gives
/// them. Pure; for tests and fake-platform.
#pragma once

#include "platform_port.h"

#include <deque>
#include <map>
#include <optional>

namespace magnolia {

/// A store in memory. Versions are positions in one history, so that a deleted object's version is
/// never used again.
class object_store {
public:
    /// @param history  changes that a watch can reach back over.
    /// @param page_items  objects of a list page.
    explicit object_store(std::size_t history = 10000, std::size_t page_items = 500);

    /// The object, with version 0 if it does not exist.
    [[nodiscard]] stored_object get(const object_id& id) const;
    /// Errors: conflict, too_large.
    result<stored_object> put(const object_put& call);
    /// Errors: conflict.
    result<stored_object> erase(const object_delete& call);
    [[nodiscard]] object_page list(const object_list& call) const;
    /// Changes after the revision; none if there is nothing to tell yet.
    [[nodiscard]] std::optional<watch_page> changes(const object_watch& call) const;
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    /// Forgets the history, so that every older watch finds a gap.
    void discard_history();

private:
    void record(const stored_object& change);

    std::size_t max_history_;
    std::size_t page_items_;
    std::uint64_t revision_ = 0;
    /// Oldest revision that a watch may continue from.
    std::uint64_t history_start_ = 0;
    std::map<object_id, stored_object> objects_;
    std::deque<stored_object> history_;
};

} // namespace magnolia
