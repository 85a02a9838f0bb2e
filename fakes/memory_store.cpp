#include "memory_store.h"

#include <algorithm>
#include <ranges>

namespace magnolia {
namespace {

/// Maximum number of objects in a list page.
constexpr std::size_t page_items = 500;

} // namespace

std::uint64_t memory_store::visible_revision() const {
    return stale_revision_ == 0 ? revision() : std::min(stale_revision_, revision());
}

const stored_object* memory_store::latest(const object_id& id) const {
    for (auto index = visible_revision(); index > 0; --index) {
        if (changes_[index - 1].id == id) {
            return &changes_[index - 1];
        }
    }
    return nullptr;
}

std::uint64_t memory_store::write(const object_id& id, std::string value) {
    const auto* current = latest(id);
    const auto version = current ? current->version + 1 : 1;
    changes_.push_back({id, version, std::move(value), false});
    return version;
}

result<platform_reply> memory_store::answer(const platform_call& call) {
    ++calls_;
    return std::visit([&](const auto& value) { return on(value); }, call);
}

bool memory_store::has_changes(const object_watch& watch) const {
    const auto visible = std::span{changes_}.first(visible_revision());
    return std::ranges::any_of(
        visible.subspan(std::min<std::size_t>(watch.after.revision, visible.size())),
        [&](const auto& change) { return change.id.kind == watch.kind; });
}

result<platform_reply> memory_store::on(const object_get& call) {
    const auto* current = latest(call.id);
    return platform_reply{current ? *current : stored_object{call.id, 0, {}, false}};
}

result<platform_reply> memory_store::on(const object_put& call) {
    const auto* current = latest(call.id);
    if ((current ? current->version : 0) != call.expected_version) {
        return fail(error_code::conflict, call.id.name);
    }
    const auto version = write(call.id, call.value);
    return platform_reply{stored_object{call.id, version, {}, false}};
}

result<platform_reply> memory_store::on(const object_list& call) {
    std::map<std::string, const stored_object*> names;
    for (std::size_t index = 0; index < visible_revision(); ++index) {
        const auto& change = changes_[index];
        if (change.id.kind == call.kind && change.id.name > call.after) {
            names[change.id.name] = &change;
        }
    }
    object_page page;
    page.position.revision = visible_revision();
    page.more = names.size() > page_items;
    for (const auto& [name, object] : names | std::views::take(page_items)) {
        page.items.push_back(*object);
    }
    return platform_reply{std::move(page)};
}

result<platform_reply> memory_store::on(const object_watch& call) {
    watch_page page;
    page.position.revision = visible_revision();
    for (auto index = call.after.revision; index < visible_revision(); ++index) {
        if (changes_[index].id.kind == call.kind) {
            page.changes.push_back(changes_[index]);
        }
    }
    return platform_reply{std::move(page)};
}

} // namespace magnolia
