/// Zones to whose backend servers nothing may be sent, as operators ask by objects in the store.
/// Pure: does no I/O, the time is passed in.
#pragma once

#include "platform_port.h"

#include <magnolia/schema.h>
#include <magnolia/types.h>

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia {

/// The evacuated zones as this host knows them: the set as of the newest position of the store of
/// which it was told, by the store, by a host that watches it or by a neighbour. A set is true of
/// its position whoever tells it, so that the newest one counts. Owned by backend_fleet. Not
/// thread-safe.
class zone_evacuation {
public:
    /// Most zones that are evacuated at once; the first ones in the order of their names count.
    static constexpr std::size_t max_zones = 32;
    /// Longest name of a zone, in bytes.
    static constexpr std::size_t max_name_bytes = 64;

    /// What an update changed, each sorted.
    struct changes {
        std::vector<std::string> evacuated;
        std::vector<std::string> taken_back;
        /// Names that no zone can have, without control characters and shortened to max_name_bytes.
        std::vector<std::string> refused;
        /// Zones beyond max_zones.
        std::size_t ignored = 0;
        /// The store was restored from a copy that lacks these: they stay evacuated for the hold.
        std::vector<std::string> held;
    };

    /// Sets the time for which a zone stays evacuated whose evacuation a restored store has lost:
    /// until an operator has written it again.
    void set_hold(duration hold) { hold_ = hold; }
    /// Replaces the set, unless the known one is of a later position.
    changes update(std::span<const std::string> names, store_position position, time_point now);
    /// This host reads another store from now on, whose positions are those of another history: the
    /// next set counts as one of a restored store.
    void on_other_store();
    /// Applies what another host has told. Errors are those of update(): names are not trusted.
    changes apply(const evacuation_state& told, time_point now);

    /// Whether nothing may be sent to the zone's backend servers now.
    [[nodiscard]] bool is_evacuated(std::string_view zone, time_point now) const;
    /// Whether a set has arrived.
    [[nodiscard]] bool is_known() const { return is_known_; }
    [[nodiscard]] store_position position() const { return position_; }
    /// Zones that are evacuated now, held ones included, sorted.
    [[nodiscard]] std::vector<std::string> zones(time_point now) const;
    /// For other hosts; held zones are not told, as each host holds them by itself.
    [[nodiscard]] evacuation_state state() const;

private:
    bool is_known_ = false;
    bool is_other_store_ = false;
    store_position position_{};
    duration hold_{0};
    std::set<std::string, std::less<>> zones_;
    /// End of the hold, by zone.
    std::map<std::string, time_point, std::less<>> held_until_;
};

/// Whether a zone can have this name: up to zone_evacuation::max_name_bytes printable characters
/// without blanks.
[[nodiscard]] bool is_zone_name(std::string_view name);

/// The names that zone_evacuation::update() takes, sorted.
[[nodiscard]] std::vector<std::string> accepted_zones(std::span<const std::string> names);

/// Hash of the names, whatever their order.
[[nodiscard]] std::uint64_t hash_of(std::span<const std::string> names);

} // namespace magnolia
