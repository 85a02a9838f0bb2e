/// The platform's object store in memory: versions, conditional writes, lists and watches. For
/// tests and fake-platform.
#pragma once

#include "platform_port.h"

#include <deque>
#include <map>
#include <optional>

namespace magnolia {

/// Store in memory. The version of an object is the store's revision at its last write, so that the
/// version of a deleted object is not reused within an epoch. Not thread-safe.
class object_store {
public:
    /// @param history     number of changes kept for watches.
    /// @param page_items  maximum number of objects in a list page.
    explicit object_store(std::size_t history = 10000, std::size_t page_items = 500);

    /// Returns the object; version 0 if it does not exist.
    [[nodiscard]] stored_object get(const object_id& id) const;
    /// Errors: conflict, too_large.
    result<stored_object> put(const object_put& call);
    /// Errors: conflict.
    result<stored_object> erase(const object_delete& call);
    /// Lists objects by name, at most `page_items`.
    [[nodiscard]] object_page list(const object_list& call) const;
    /// Changes of a kind after a revision; none if there are none yet. A page with a gap if the
    /// history does not reach back to the revision, or if the store has not reached it.
    [[nodiscard]] std::optional<watch_page> changes(const object_watch& call) const;
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    /// See store_position.
    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
    /// Drops the history, so that a watch after an earlier revision gets a gap.
    void discard_history();
    /// Replaces the state by an earlier copy of this store and begins a new epoch: what was written
    /// since is lost, and its revisions are given out again.
    void restore(const object_store& copy);

private:
    void record(const stored_object& change);

    std::size_t max_history_;
    std::size_t page_items_;
    std::uint64_t epoch_ = 0;
    std::uint64_t revision_ = 0;
    /// Oldest revision that a watch can continue from.
    std::uint64_t history_start_ = 0;
    std::map<object_id, stored_object> objects_;
    std::deque<stored_object> history_;
};

} // namespace magnolia
