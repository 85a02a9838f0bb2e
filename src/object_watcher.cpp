#include "object_watcher.h"

#include "log.h"

namespace magnolia {
namespace {

/// Wait of a watch after a failed call: the store may still be silent, and a call that is lost must
/// not hold up the next one.
constexpr milliseconds probing_watch{100};

const logger& log_of() {
    static const logger log{"store"};
    return log;
}

} // namespace

object_watcher::object_watcher(platform_client& client, std::string kind,
                               std::function<milliseconds()> wait, handlers on)
    : client_{client}, kind_{std::move(kind)}, wait_{std::move(wait)}, on_{std::move(on)} {}

void object_watcher::start() {
    ++run_;
    listed_.clear();
    list({});
}

void object_watcher::call(platform_call request,
                          void (object_watcher::*answered)(const result<platform_reply>&)) {
    client_.execute(std::move(request), call_priority::configuration,
                    [this, run = run_, answered](const result<platform_reply>& reply) {
                        if (run == run_) {
                            (this->*answered)(reply);
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
    if (listed_.empty()) {
        list_revision_ = page.revision;
    }
    listed_.insert(listed_.end(), page.items.begin(), page.items.end());
    if (page.more && !page.items.empty()) {
        return list(page.items.back().id.name);
    }
    // Later pages may miss changes to names of earlier ones; the watch tells those again.
    revision_ = list_revision_;
    last_change_revision_ = revision_;
    confirm();
    on_.on_list(std::exchange(listed_, {}));
    watch();
}

void object_watcher::watch() {
    const auto wait = is_disconnected_ ? probing_watch : wait_();
    call(object_watch{kind_, revision_, wait}, &object_watcher::on_changes);
}

void object_watcher::on_changes(const result<platform_reply>& reply) {
    if (!reply) {
        on_failure(reply.error());
        return watch();
    }
    const auto& page = std::get<watch_page>(*reply);
    if (page.gap) {
        log_of().info("history of " + kind_ + " is gone; lists again");
        return start();
    }
    confirm();
    revision_ = page.revision;
    if (!page.changes.empty()) {
        last_change_revision_ = page.revision;
    }
    for (const auto& change : page.changes) {
        on_.on_change(change);
    }
    watch();
}

void object_watcher::on_failure(const error& failure) {
    if (!is_disconnected_) {
        is_disconnected_ = true;
        log_of().warn("lost the store for " + kind_ + ": " + to_string(failure));
    }
}

void object_watcher::confirm() {
    confirmed_ = steady_now();
    if (is_disconnected_) {
        is_disconnected_ = false;
        reconnected_at_ = confirmed_;
        log_of().info("store answers again for " + kind_);
    }
}

} // namespace magnolia
