/// Frees engine memory whose owner is dead, for engines that do not do it at its expiry. Pure
/// decisions.
#pragma once

#include "order_port.h"

#include <map>
#include <set>
#include <span>

namespace magnolia {

struct orphan_sweep_settings {
    /// Least time between the two sightings that decide.
    duration least_interval{5000000};
    /// Oldest list of owners that may be relied on.
    duration max_owner_age{10000000};
};

/// Memory to release.
struct orphan {
    engine_handle engine;
    held_memory memory;
};

/// Sweeps for one control process. Not thread-safe.
///
/// Memory is freed once it was seen past its expiry twice in a row, in the same start of its
/// engine, while no live process had its owner's name and epoch. An owner that lives renews before
/// the expiry, so a list of owners that misses one does no harm by itself.
class orphan_sweep {
public:
    explicit orphan_sweep(orphan_sweep_settings settings) : settings_{settings} {}

    /// Processes that live or are suspected, with the epoch of each.
    void set_owners(std::span<const memory_owner> owners, time_point now);

    /// Takes what an engine holds; returns what to free now.
    [[nodiscard]] std::vector<orphan> on_listing(engine_handle engine, std::uint64_t boot,
                                                 std::span<const held_memory> held, time_point now);
    /// The engine could not be asked or was removed.
    void forget_engine(engine_handle engine) { sightings_.erase(engine); }

private:
    struct sighting {
        memory_owner owner;
        time_point since{};
    };
    struct engine_sightings {
        std::uint64_t boot = 0;
        std::map<std::string, sighting> expired;
    };

    [[nodiscard]] bool is_dead(const memory_owner& owner, time_point now) const;

    orphan_sweep_settings settings_;
    std::set<memory_owner> owners_;
    std::optional<time_point> owners_at_;
    std::map<engine_handle, engine_sightings> sightings_;
};

} // namespace magnolia
