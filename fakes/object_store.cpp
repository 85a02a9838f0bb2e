#include "object_store.h"

#include <magnolia/config.h>

#include <algorithm>
#include <iterator>

namespace magnolia {

object_store::object_store(std::size_t history, std::size_t page_items)
    : max_history_{history}, page_items_{page_items} {}

stored_object object_store::get(const object_id& id) const {
    const auto found = objects_.find(id);
    return found == objects_.end() ? stored_object{id, 0, {}, false} : found->second;
}

result<stored_object> object_store::put(const object_put& call) {
    if (call.value.size() > config::max_object_bytes) {
        return fail(error_code::too_large, call.id.name);
    }
    if (get(call.id).version != call.expected_version) {
        return fail(error_code::conflict, call.id.name);
    }
    const stored_object object{call.id, ++revision_, call.value, false};
    objects_[call.id] = object;
    record(object);
    return object;
}

result<stored_object> object_store::erase(const object_delete& call) {
    if (call.expected_version == 0 || get(call.id).version != call.expected_version) {
        return fail(error_code::conflict, call.id.name);
    }
    objects_.erase(call.id);
    const stored_object change{call.id, ++revision_, {}, true};
    record(change);
    return change;
}

object_page object_store::list(const object_list& call) const {
    object_page page{{}, {.revision = revision_}, false};
    const auto max_items =
        call.limit == 0 ? page_items_ : std::min<std::size_t>(call.limit, page_items_);
    auto next = objects_.upper_bound(object_id{call.kind, call.after});
    while (next != objects_.end() && next->first.kind == call.kind) {
        if (page.items.size() == max_items) {
            page.more = true;
            break;
        }
        page.items.push_back(next->second);
        ++next;
    }
    return page;
}

std::optional<watch_page> object_store::changes(const object_watch& call) const {
    if (call.after.revision < history_start_ || call.after.revision > revision_) {
        return watch_page{{}, {.revision = revision_}, true};
    }
    watch_page page{{}, {.revision = revision_}, false};
    std::ranges::copy_if(
        history_, std::back_inserter(page.changes), [&](const stored_object& change) {
            return change.id.kind == call.kind && change.version > call.after.revision;
        });
    return page.changes.empty() ? std::nullopt : std::optional{page};
}

void object_store::discard_history() {
    history_.clear();
    history_start_ = revision_;
}

void object_store::restore(const object_store& copy) {
    const auto epoch = epoch_ + 1;
    *this = copy;
    epoch_ = epoch;
}

void object_store::record(const stored_object& change) {
    history_.push_back(change);
    if (history_.size() > max_history_) {
        history_start_ = history_.front().version;
        history_.pop_front();
    }
}

} // namespace magnolia
