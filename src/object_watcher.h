/// Keeps a local view of the objects of one kind in the platform's store up to date: lists them,
/// then watches for changes (long polling), and lists again when changes were lost or the store was
/// restored from a copy.
#pragma once

#include "platform_client.h"

#include <functional>

namespace magnolia {

/// Lists and watches one kind of objects. Owned by the gateway. Not thread-safe: calls and handlers
/// run on the thread of the platform client.
class object_watcher {
public:
    struct handlers {
        /// A complete list of the objects of the kind; it replaces all earlier state.
        std::function<void(const std::vector<stored_object>&)> on_list;
        /// One object was written or deleted.
        std::function<void(const stored_object&)> on_change;
    };

    /// @param wait  returns the longest time for which the store may hold a watch call open while
    ///              nothing changes; not called while calls fail.
    object_watcher(platform_client& client, std::string kind, std::function<milliseconds()> wait,
                   handlers on);

    /// Lists, then watches. A second call lists again; the reply to a pending call is ignored.
    void start();
    /// Last moment at which a reply of the store confirmed that the view is complete; time_point{}
    /// if never.
    [[nodiscard]] time_point confirmed_at() const { return confirmed_at_; }
    /// Whether a complete list has arrived.
    [[nodiscard]] bool has_synced() const { return confirmed_at_ != time_point{}; }
    /// Position of the store at the last list or change received; {} if none.
    [[nodiscard]] store_position last_change() const { return last_change_; }
    /// Whether a call failed since the last confirmation.
    [[nodiscard]] bool is_disconnected() const { return is_disconnected_; }
    /// Moment of the first successful call after the last failure; time_point{} if none failed.
    [[nodiscard]] time_point reconnected_at() const { return reconnected_at_; }

private:
    void list(std::string after);
    void watch();
    /// Executes the call and passes its reply to `on_reply` unless start() was called meanwhile.
    void call(platform_call request,
              void (object_watcher::*on_reply)(const result<platform_reply>&));
    void on_page(const result<platform_reply>& reply);
    void on_changes(const result<platform_reply>& reply);
    /// Records a failed call and logs the first one of an outage.
    void on_failure(const error& failure);
    /// Records that the view is complete as of now.
    void confirm();

    platform_client& client_;
    std::string kind_;
    std::function<milliseconds()> watch_wait_;
    /// Incremented by each start; replies to calls of an earlier generation are ignored.
    std::uint64_t generation_ = 0;
    store_position last_change_{};
    handlers handlers_;
    std::vector<stored_object> list_items_;
    /// Position after which the next watch call reports changes.
    store_position position_{};
    /// Position of the first page of the pending list.
    store_position list_position_{};
    time_point confirmed_at_{};
    time_point reconnected_at_{};
    bool is_disconnected_ = false;
};

} // namespace magnolia
