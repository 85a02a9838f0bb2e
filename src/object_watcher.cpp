#include "object_watcher.h"

#include "log.h"

namespace magnolia {
namespace {

/// Wait of a watch call after a failed call: the store may still not respond, and a lost call must
/// not delay the next one for long.
constexpr milliseconds watch_wait_after_failure{100};

const logger& log_of() {
    static const logger log{"store"};
    return log;
}

} // namespace

object_watcher::object_watcher(platform_client& client, std::string kind,
                               std::function<milliseconds()> wait, handlers on)
    : client_{client}, kind_{std::move(kind)}, watch_wait_{std::move(wait)},
      handlers_{std::move(on)} {}

void object_watcher::start() {
    ++generation_;
    list_items_.clear();
    list({});
}

void object_watcher::call(platform_call request,
                          void (object_watcher::*on_reply)(const result<platform_reply>&)) {
    client_.execute(
        std::move(request), call_priority::configuration,
        [this, generation = generation_, on_reply](const result<platform_reply>& reply) {
            if (generation == generation_) {
                (this->*on_reply)(reply);
            }
        });
}

void object_watcher::list(std::string after) {
    call(object_list{.kind = kind_, .after = std::move(after)}, &object_watcher::on_page);
}

void object_watcher::on_page(const result<platform_reply>& reply) {
    if (!reply) {
        on_failure(reply.error());
        return start();
    }
    const auto& page = std::get<object_page>(*reply);
    if (list_items_.empty()) {
        list_position_ = page.position;
    }
    if (page.position.epoch != list_position_.epoch) {
        return start();
    }
    list_items_.insert(list_items_.end(), page.items.begin(), page.items.end());
    if (page.more) {
        return list(page.items.back().id.name);
    }
    // Changes to objects of an earlier page may be missing in later pages; a watch from the
    // position of the first page reports them.
    position_ = list_position_;
    last_change_ = position_;
    confirm();
    handlers_.on_list(std::exchange(list_items_, {}));
    watch();
}

void object_watcher::watch() {
    const auto wait = is_disconnected_ ? watch_wait_after_failure : watch_wait_();
    call(object_watch{kind_, position_, wait}, &object_watcher::on_changes);
}

void object_watcher::on_changes(const result<platform_reply>& reply) {
    if (!reply) {
        on_failure(reply.error());
        return watch();
    }
    const auto& page = std::get<watch_page>(*reply);
    // Revisions of another epoch, or one below the last, count changes of another history.
    const bool is_same_history =
        page.position.epoch == position_.epoch && page.position >= position_;
    if (page.gap || !is_same_history) {
        log_of().info("store no longer has the history of " + kind_ + "; lists all objects again");
        return start();
    }
    confirm();
    position_ = page.position;
    if (!page.changes.empty()) {
        last_change_ = position_;
    }
    for (const auto& change : page.changes) {
        handlers_.on_change(change);
    }
    watch();
}

void object_watcher::on_failure(const error& failure) {
    if (!is_disconnected_) {
        is_disconnected_ = true;
        log_of().warn("call to the store failed, keeps the last state and retries; " + kind_ +
                      ": " + to_string(failure));
    }
}

void object_watcher::confirm() {
    confirmed_at_ = steady_now();
    if (is_disconnected_) {
        is_disconnected_ = false;
        reconnected_at_ = confirmed_at_;
        log_of().info("store responds again for " + kind_);
    }
}

} // namespace magnolia
