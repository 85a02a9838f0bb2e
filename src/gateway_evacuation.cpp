/// Fourth part of the gateway: zones that operators evacuate.
#include "gateway_p.h"

#include <ranges>

namespace magnolia {
namespace {

std::vector<std::string> names_in(const object_cache& cache) {
    std::vector<std::string> names;
    std::ranges::transform(cache.list().items, std::back_inserter(names),
                           [](const stored_object& object) { return object.id.name; });
    return names;
}

} // namespace

void gateway::state::apply_evacuations() {
    const auto names = names_in(evacuation_watcher_.cache());
    report_evacuations(
        fleet_.evacuation().update(names, evacuation_watcher_.last_change(), steady_now()),
        "store");
}

void gateway::state::on_evacuations_told(std::span<const evacuation_state> told,
                                         const std::string& sender, time_point now) {
    if (!watches_evacuations() || told.empty()) {
        return;
    }
    const auto& state = told.front();
    evacuations_lag_.on_digest({{state.epoch, state.revision}, hash_of(state.zones)}, now, sender);
    report_evacuations(fleet_.evacuation().apply(state, now), sender);
}

void gateway::state::report_evacuations(const zone_evacuation::changes& changes,
                                        std::string_view source) {
    const auto position = fleet_.evacuation().position();
    const auto told = " source=" + std::string{source} +
                      " epoch=" + std::to_string(position.epoch) +
                      " revision=" + std::to_string(position.revision);
    for (const auto& zone : changes.evacuated) {
        log_.info("zone evacuated, sends nothing to its backend servers zone=" + zone + told);
        if (!fleet_.has_zone(zone)) {
            log_.warn("evacuated zone has no backend server in the list zone=" + zone);
        }
    }
    if (!changes.taken_back.empty()) {
        log_.info("evacuation taken back, sends to the backend servers again zones=" +
                  join(changes.taken_back) + told);
    }
    if (!changes.held.empty()) {
        log_.warn("restored store lacks the evacuation, holds it ms=" +
                  std::to_string(settings_.evacuation_ms.count()) + " zones=" + join(changes.held) +
                  told);
    }
    for (const auto& name : changes.refused) {
        log_.error("evacuation refused, no name of a zone, the others hold name=" + name + told);
    }
    if (changes.ignored > 0) {
        log_.error("evacuations beyond the most zones at once are ignored count=" +
                   std::to_string(changes.ignored) + told);
    }
}

told_list gateway::state::watched_evacuations() const {
    // As other hosts tell it: without names that no zone can have.
    return {evacuation_watcher_.last_change(),
            hash_of(accepted_zones(names_in(evacuation_watcher_.cache())))};
}

bool gateway::state::may_know_evacuations() const {
    return !watches_evacuations() || fleet_.evacuation().is_known() ||
           (is_watching_ && steady_now() - watching_since_ >= settings_.evacuation_ms);
}

} // namespace magnolia
