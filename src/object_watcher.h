/// Follows the objects of one kind in the platform's store: lists them, then waits for changes, and
/// lists again when changes were lost.
#pragma once

#include "platform_client.h"

#include <functional>

namespace magnolia {

class object_watcher {
public:
    struct handlers {
        /// All objects of the kind.
        std::function<void(const std::vector<stored_object>&)> on_list;
        /// One object that was written or deleted.
        std::function<void(const stored_object&)> on_change;
    };

    /// @param wait  gives the longest time that the store is asked to wait for a change; not asked
    ///              while calls fail.
    object_watcher(platform_client& client, std::string kind, std::function<milliseconds()> wait,
                   handlers on);

    /// Lists and follows. Called again, it leaves the call under way to its end and lists anew.
    void start();
    /// Last moment at which the store confirmed that nothing is missing here; time_point{} if
    /// never.
    [[nodiscard]] time_point confirmed_at() const { return confirmed_at_; }
    [[nodiscard]] bool has_synced() const { return confirmed_at_ != time_point{}; }
    /// Revision of the store at the last list or change that was heard of; 0 if none.
    [[nodiscard]] std::uint64_t last_change_revision() const { return last_change_revision_; }
    /// Whether a call failed since the last confirmation.
    [[nodiscard]] bool is_disconnected() const { return is_disconnected_; }
    /// Moment at which the store on_reply again after a failure; time_point{} if it never failed.
    [[nodiscard]] time_point reconnected_at() const { return reconnected_at_; }

private:
    void list(std::string after);
    void watch();
    void call(platform_call request,
              void (object_watcher::*on_reply)(const result<platform_reply>&));
    void on_page(const result<platform_reply>& reply);
    void on_changes(const result<platform_reply>& reply);
    void on_failure(const error& failure);
    void confirm();

    platform_client& client_;
    std::string kind_;
    std::function<milliseconds()> watch_wait_;
    /// Raised by each start; answers to calls of a former one are passed over.
    std::uint64_t generation_ = 0;
    std::uint64_t last_change_revision_ = 0;
    handlers handlers_;
    std::vector<stored_object> list_items_;
    std::uint64_t revision_ = 0;
    /// Revision of the first page of the list under way.
    std::uint64_t list_revision_ = 0;
    time_point confirmed_at_{};
    time_point reconnected_at_{};
    bool is_disconnected_ = false;
};

} // namespace magnolia
