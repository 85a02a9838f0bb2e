#include "object_watcher.h"

#include "log.h"
#include "watch_schedule.h"

#include <algorithm>

namespace magnolia {
namespace {

/// Pause of a watch at the store after a change. Changes often come in series, where each would
/// wake the watch of each watcher.
constexpr milliseconds pause_after_change{200};

const logger& log_of() {
    static const logger log{"store"};
    return log;
}

} // namespace

object_watcher::object_watcher(store_reader& reader, std::string kind,
                               std::function<milliseconds()> wait, handlers on)
    : reader_{reader}, kind_{std::move(kind)}, watch_wait_{std::move(wait)},
      handlers_{std::move(on)} {}

void object_watcher::start() {
    ++generation_;
    cache_.clear();
    list_items_.clear();
    list({});
}

void object_watcher::call(platform_call request,
                          void (object_watcher::*on_reply)(const sourced_reply&)) {
    reader_.read(std::move(request),
                 [this, generation = generation_, on_reply](const sourced_reply& answer) {
                     if (generation == generation_) {
                         (this->*on_reply)(answer);
                     }
                 });
}

void object_watcher::list(std::string after) {
    call(object_list{.kind = kind_, .after = std::move(after)}, &object_watcher::on_page);
}

void object_watcher::on_page(const sourced_reply& answer) {
    if (!answer.reply) {
        on_failure(answer.reply.error());
        return start();
    }
    const auto& page = std::get<object_page>(*answer.reply);
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
    cache_.replace(list_items_, position_);
    confirm(answer);
    handlers_.on_list(std::exchange(list_items_, {}));
    advance();
    watch();
}

void object_watcher::watch() {
    // The call may be the one that finds out whether the store answers again.
    const bool may_be_down =
        (is_disconnected_ || reader_.is_store_failing()) && reader_.reads_from_store();
    const auto wait = may_be_down ? watch_wait_after_failure : watch_wait_();
    call(object_watch{kind_, position_, wait}, &object_watcher::on_changes);
}

void object_watcher::on_changes(const sourced_reply& answer) {
    if (!answer.reply) {
        on_failure(answer.reply.error());
        return watch();
    }
    const auto& page = std::get<watch_page>(*answer.reply);
    // Revisions of another epoch, or one below the last, count changes of another history.
    const bool is_same_history =
        page.position.epoch == position_.epoch && page.position >= position_;
    if (page.gap || !is_same_history) {
        log_of().info("store no longer has the history of " + kind_ + "; lists all objects again");
        return start();
    }
    confirm(answer);
    position_ = page.position;
    cache_.apply(page.changes, position_);
    if (!page.changes.empty()) {
        last_change_ = position_;
    }
    for (const auto& change : page.changes) {
        handlers_.on_change(change);
    }
    if (page.changes.empty()) {
        return watch();
    }
    advance();
    if (!answer.is_from_store) {
        return watch();
    }
    reader_.call_after(pause_after_change, [this, generation = generation_] {
        if (generation == generation_) {
            watch();
        }
    });
}

void object_watcher::advance() const {
    if (handlers_.on_advance) {
        handlers_.on_advance();
    }
}

void object_watcher::on_failure(const error& failure) {
    failed_at_ = steady_now();
    if (!is_disconnected_) {
        is_disconnected_ = true;
        log_of().warn("call to the store failed, keeps the last state and retries; " + kind_ +
                      ": " + to_string(failure));
    }
}

void object_watcher::confirm(const sourced_reply& answer) {
    const auto now = steady_now();
    confirmed_at_ = std::max(confirmed_at_, now - answer.age);
    if (answer.since_reconnect) {
        reconnected_at_ = std::max(reconnected_at_, now - *answer.since_reconnect);
    }
    if (answer.is_lost) {
        on_failure({error_code::platform_down, "all sources have lost the store"});
    } else if (is_disconnected_ && (answer.is_from_store || now - answer.age >= failed_at_)) {
        is_disconnected_ = false;
        reconnected_at_ = now;
        log_of().info("store responds again for " + kind_ +
                      (answer.is_from_store ? "" : ", to another host"));
    }
}

} // namespace magnolia
