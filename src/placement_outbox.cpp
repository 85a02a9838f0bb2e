#include "placement_outbox.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace magnolia {

void placement_outbox::on_placed(const placed_work& work, const audience_id& audience) {
    pending_[audience].placed.push_back(work);
}

void placement_outbox::on_answer_started(std::uint64_t number, const audience_set& audiences) {
    for (const auto& audience : audiences) {
        pending_[audience].answer_started.push_back(number);
    }
}

void placement_outbox::on_ended(std::uint64_t number, const audience_set& audiences) {
    for (const auto& audience : audiences) {
        pending_[audience].ended.push_back(number);
    }
}

bool placement_outbox::has_placements() const {
    return std::ranges::any_of(pending_ | std::views::values,
                               [](const auto& update) { return !update.placed.empty(); });
}

std::vector<addressed_update> placement_outbox::take_changes() {
    std::vector<addressed_update> updates;
    for (auto& [audience, update] : std::exchange(pending_, {})) {
        std::ranges::copy(update.placed, std::back_inserter(placed_since_digest_));
        updates.push_back({audience, std::move(update)});
    }
    return updates;
}

placement_update placement_outbox::take_digest(const audience_id& audience) {
    placement_update update;
    if (auto node = pending_.extract(audience); !node.empty()) {
        update = std::move(node.mapped());
    }
    const auto repeated = std::exchange(placed_since_digest_, update.placed);
    std::ranges::copy(repeated, std::back_inserter(update.placed));
    return update;
}

} // namespace magnolia
