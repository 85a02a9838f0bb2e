#include "object_cache.h"

#include <ranges>

namespace magnolia {
namespace {

/// Bounds of the changes that are kept: some seconds of the fastest replacement of servers.
constexpr std::size_t max_changes = 512;
constexpr std::size_t max_change_bytes = std::size_t{2} << 20U;

std::size_t size_of(const stored_object& object) {
    return object.id.name.size() + object.value.size();
}

} // namespace

void object_cache::replace(std::span<const stored_object> objects, store_position position) {
    objects_.clear();
    for (const auto& object : objects) {
        objects_[object.id.name] = object;
    }
    changes_.clear();
    change_bytes_ = 0;
    position_ = position;
    kept_from_ = position;
    is_complete_ = true;
}

void object_cache::apply(std::span<const stored_object> changes, store_position position) {
    for (const auto& object : changes) {
        if (object.deleted) {
            objects_.erase(object.id.name);
        } else {
            objects_[object.id.name] = object;
        }
        changes_.push_back({position, object});
        change_bytes_ += size_of(object);
    }
    position_ = position;
    trim();
}

void object_cache::trim() {
    while (changes_.size() > max_changes ||
           (change_bytes_ > max_change_bytes && changes_.size() > 1)) {
        kept_from_ = changes_.front().position;
        // A page is kept as a whole or not at all.
        while (!changes_.empty() && changes_.front().position == kept_from_) {
            change_bytes_ -= size_of(changes_.front().object);
            changes_.pop_front();
        }
    }
}

object_page object_cache::list() const {
    object_page page{{}, position_, false};
    page.items.reserve(objects_.size());
    for (const auto& object : objects_ | std::views::values) {
        page.items.push_back(object);
    }
    return page;
}

std::optional<watch_page> object_cache::changes_after(store_position position) const {
    if (position > position_) {
        return std::nullopt;
    }
    if (position.epoch != position_.epoch || position < kept_from_) {
        return watch_page{{}, position_, true};
    }
    watch_page page{{}, position_, false};
    for (const auto& item : changes_) {
        if (item.position > position) {
            page.changes.push_back(item.object);
        }
    }
    return page;
}

} // namespace magnolia
