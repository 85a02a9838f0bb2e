/// Keeps a local view of the objects of one kind in the platform's store up to date: lists them,
/// then watches for changes (long polling), and lists again when changes were lost or the store was
/// restored from a copy. Reads from the store or from a host that watches it (store_reader).
#pragma once

#include "object_cache.h"
#include "store_reader.h"

#include <functional>

namespace magnolia {

/// Lists and watches one kind of objects. Owned by the gateway. Not thread-safe: calls and handlers
/// run on the thread of the store reader.
class object_watcher {
public:
    struct handlers {
        /// A complete list of the objects of the kind; it replaces all earlier state.
        std::function<void(const std::vector<stored_object>&)> on_list;
        /// One object was written or deleted.
        std::function<void(const stored_object&)> on_change;
        /// A list or changes were applied; may be empty.
        std::function<void()> on_advance;
    };

    /// @param wait  returns the longest time for which a watch call may be held open while nothing
    ///              changes; not called while calls to the store fail.
    object_watcher(store_reader& reader, std::string kind, std::function<milliseconds()> wait,
                   handlers on);

    [[nodiscard]] const std::string& kind() const { return kind_; }
    /// What this host has, for others.
    [[nodiscard]] const object_cache& cache() const { return cache_; }

    /// Lists, then watches. A second call lists again; the reply to a pending call is ignored.
    void start();
    /// Last moment at which a reply of the store, to this host or another one, confirmed that the
    /// view is complete; time_point{} if never.
    [[nodiscard]] time_point confirmed_at() const { return confirmed_at_; }
    /// Whether a complete list has arrived.
    [[nodiscard]] bool has_synced() const { return confirmed_at_ != time_point{}; }
    /// Position of the store at the last list or change received; {} if none.
    [[nodiscard]] store_position last_change() const { return last_change_; }
    /// Whether nothing has been confirmed since the last call that failed, by whichever source.
    [[nodiscard]] bool is_disconnected() const { return is_disconnected_; }
    /// Moment of the first successful call after the last failure, of this host or of the one that
    /// it reads from; time_point{} if none failed.
    [[nodiscard]] time_point reconnected_at() const { return reconnected_at_; }

private:
    void list(std::string after);
    void watch();
    /// Executes the call and passes its reply to `on_reply` unless start() was called meanwhile.
    void call(platform_call request, void (object_watcher::*on_reply)(const sourced_reply&));
    void on_page(const sourced_reply& answer);
    void on_changes(const sourced_reply& answer);
    /// Reports that the cache has changed.
    void advance() const;
    /// Records a failed call and logs the first one of an outage.
    void on_failure(const error& failure);
    /// Records that the view is as complete as the source of the reply knows.
    void confirm(const sourced_reply& answer);

    store_reader& reader_;
    std::string kind_;
    std::function<milliseconds()> watch_wait_;
    /// Incremented by each start; replies to calls of an earlier generation are ignored.
    std::uint64_t generation_ = 0;
    store_position last_change_{};
    handlers handlers_;
    object_cache cache_;
    std::vector<stored_object> list_items_;
    /// Position after which the next watch call reports changes.
    store_position position_{};
    /// Position of the first page of the pending list.
    store_position list_position_{};
    time_point confirmed_at_{};
    time_point reconnected_at_{};
    bool is_disconnected_ = false;
    /// Moment of the last failed call.
    time_point failed_at_{};
};

} // namespace magnolia
