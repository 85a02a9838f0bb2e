/// What this host still has to tell the others of the work that it placed. Pure.
#pragma once

#include "exchange_topology.h"

#include <magnolia/schema.h>

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace magnolia {

/// A message and the hosts that have to get it.
struct addressed_update {
    audience_id audience;
    placement_update update;
};

/// Collects placements, first events and ends by audience. Owned by backend_fleet. Not thread-safe.
class placement_outbox {
public:
    using audience_set = std::set<audience_id>;

    void on_placed(const placed_work& work, const audience_id& audience);
    void on_answer_started(std::uint64_t number, const audience_set& audiences);
    void on_ended(std::uint64_t number, const audience_set& audiences);

    /// Whether a placement has not been taken yet. Others may place work on the same engine until
    /// they are told of it, so that it must not wait.
    [[nodiscard]] bool has_placements() const;
    /// Takes the changes since the last call.
    [[nodiscard]] std::vector<addressed_update> take_changes();
    /// Takes the changes for one audience, together with the placements sent since its last digest:
    /// the datagrams that carried them may be lost.
    [[nodiscard]] placement_update take_digest(const audience_id& audience);

private:
    std::map<audience_id, placement_update> pending_;
    /// Sent since the last digest.
    std::vector<placed_work> placed_since_digest_;
};

} // namespace magnolia
