#include "zone_evacuation.h"

#include <xxhash.h>

#include <algorithm>
#include <ranges>
#include <utility>

namespace magnolia {
namespace {

bool is_printable(char letter) {
    return letter > ' ' && letter <= '~';
}

/// The name as it may appear in a log line.
std::string to_printable(std::string_view name) {
    std::string text{name.substr(0, zone_evacuation::max_name_bytes)};
    std::ranges::replace_if(
        text, [](char letter) { return !is_printable(letter); }, '?');
    return text;
}

/// Drops the zones beyond the most that are evacuated at once; returns their number.
std::size_t drop_excess(std::set<std::string, std::less<>>& zones) {
    std::size_t dropped = 0;
    while (zones.size() > zone_evacuation::max_zones) {
        zones.erase(std::prev(zones.end()));
        ++dropped;
    }
    return dropped;
}

} // namespace

bool is_zone_name(std::string_view name) {
    return !name.empty() && name.size() <= zone_evacuation::max_name_bytes &&
           std::ranges::all_of(name, is_printable);
}

std::uint64_t hash_of(std::span<const std::string> names) {
    std::uint64_t hash = 0;
    for (const auto& name : names) {
        hash ^= XXH3_64bits(name.data(), name.size());
    }
    return hash;
}

std::vector<std::string> accepted_zones(std::span<const std::string> names) {
    std::set<std::string, std::less<>> zones;
    std::ranges::copy_if(names, std::inserter(zones, zones.end()), is_zone_name);
    drop_excess(zones);
    return {zones.begin(), zones.end()};
}

zone_evacuation::changes zone_evacuation::update(std::span<const std::string> names,
                                                 store_position position, time_point now) {
    if (is_known_ && position < position_) {
        return {};
    }
    changes change;
    std::set<std::string, std::less<>> next;
    for (const auto& name : names) {
        if (is_zone_name(name)) {
            next.insert(name);
        } else if (change.refused.size() < max_zones) {
            change.refused.push_back(to_printable(name));
        }
    }
    change.ignored = drop_excess(next);
    std::ranges::sort(change.refused);
    std::erase_if(held_until_, [&](const auto& item) {
        return item.second <= now || next.contains(item.first);
    });
    const bool is_restored =
        std::exchange(is_other_store_, false) || (is_known_ && position.epoch != position_.epoch);
    std::ranges::set_difference(next, zones_, std::back_inserter(change.evacuated));
    std::ranges::set_difference(zones_, next,
                                std::back_inserter(is_restored ? change.held : change.taken_back));
    for (const auto& zone : change.held) {
        held_until_.emplace(zone, now + hold_);
    }
    zones_ = std::move(next);
    position_ = position;
    is_known_ = true;
    return change;
}

void zone_evacuation::on_other_store() {
    position_ = {};
    is_other_store_ = true;
}

zone_evacuation::changes zone_evacuation::apply(const evacuation_state& told, time_point now) {
    const store_position position{told.epoch, told.revision};
    // Of the same position it is the same set.
    return is_known_ && position <= position_ ? changes{} : update(told.zones, position, now);
}

bool zone_evacuation::is_evacuated(std::string_view zone, time_point now) const {
    if (zones_.contains(zone)) {
        return true;
    }
    const auto held = held_until_.find(zone);
    return held != held_until_.end() && now < held->second;
}

std::vector<std::string> zone_evacuation::zones(time_point now) const {
    auto all = zones_;
    for (const auto& [zone, end] : held_until_) {
        if (now < end) {
            all.insert(zone);
        }
    }
    return {all.begin(), all.end()};
}

evacuation_state zone_evacuation::state() const {
    return {.epoch = position_.epoch,
            .revision = position_.revision,
            .zones = {zones_.begin(), zones_.end()}};
}

} // namespace magnolia
