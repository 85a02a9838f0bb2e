#include "orphan_sweep.h"

namespace magnolia {

void orphan_sweep::set_owners(std::span<const memory_owner> owners, time_point now) {
    owners_ = {owners.begin(), owners.end()};
    owners_at_ = now;
}

bool orphan_sweep::is_dead(const memory_owner& owner, time_point now) const {
    const bool is_known = owners_at_ && now - *owners_at_ <= settings_.max_owner_age;
    return is_known && !owners_.contains(owner);
}

std::vector<orphan> orphan_sweep::on_listing(engine_handle engine, std::uint64_t boot,
                                             std::span<const held_memory> held, time_point now) {
    auto& seen = sightings_[engine];
    if (seen.boot != boot) {
        seen = {boot, {}};
    }
    std::vector<orphan> orphans;
    std::map<std::string, sighting> expired;
    for (const auto& memory : held) {
        if (memory.expires_in > duration::zero() || !is_dead(memory.owner, now)) {
            continue;
        }
        const auto before = seen.expired.find(memory.reservation);
        const bool is_same = before != seen.expired.end() && before->second.owner == memory.owner;
        const auto since = is_same ? before->second.since : now;
        expired[memory.reservation] = {memory.owner, since};
        if (is_same && now - since >= settings_.least_interval) {
            orphans.push_back({engine, memory});
        }
    }
    seen.expired = std::move(expired);
    return orphans;
}

} // namespace magnolia
