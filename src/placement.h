/// Chooses the backend servers of a request among those that may take it. Pure: all that it looks
/// at is passed in.
#pragma once

#include "engine_partition.h"

#include <random>
#include <span>
#include <variant>

namespace magnolia {

/// A backend server as the choice sees it.
struct placement_candidate {
    /// Position in the fleet; comes back in the choice.
    std::uint32_t index = 0;
    bool is_own_zone = true;
    /// Requests of this host under way there.
    std::uint32_t open_calls = 0;
    std::uint32_t slots = 1;
    /// Share of recent requests that it failed.
    double failure_rate = 0;
    /// Kept for long prompts.
    bool is_reserved_for_long = false;
    /// Set for engines.
    engine_forecast* forecast = nullptr;
};

/// What is to be placed.
struct placement_query {
    job_demand demand;
    /// Time until which an answer is of use.
    duration time_left{0};
    short_prompt_load short_load{};
};

/// An engine that takes part.
struct placement_member {
    std::uint32_t index = 0;
    /// Memory to reserve there for the prompt; 0 if none is.
    std::uint32_t reserved_tokens = 0;
};

/// The first member gets the request; the others read parts of its prompt.
struct placement_choice {
    std::vector<placement_member> members;
    /// What each member reads.
    prefill_share share;
    /// Predicted moment of the first event.
    time_point first_event{};
    /// Value that is expected to be gained, less what others lose by it.
    double net_value = 0;
};

/// Next backend server in turn.
class round_robin_placement {
public:
    [[nodiscard]] result<placement_choice> choose(const placement_query& query,
                                                  std::span<const placement_candidate> candidates,
                                                  time_point now, std::mt19937_64& random);

private:
    std::size_t next_ = 0;
};

/// Backend server with the fewest requests of this host for its slots, the own zone first.
class least_outstanding_placement {
public:
    [[nodiscard]] result<placement_choice> choose(const placement_query& query,
                                                  std::span<const placement_candidate> candidates,
                                                  time_point now, std::mt19937_64& random);
};

/// Engine, or set of engines that share the reading, where the least value is expected to be lost:
/// by the request itself, and by the streams that the reading would hold up. Answers the pattern of
/// few very long prompts among many short ones. Without forecasts it is
/// least_outstanding_placement.
class pause_aware_placement {
public:
    [[nodiscard]] result<placement_choice> choose(const placement_query& query,
                                                  std::span<const placement_candidate> candidates,
                                                  time_point now, std::mt19937_64& random);
};

using any_placement =
    std::variant<round_robin_placement, least_outstanding_placement, pause_aware_placement>;

[[nodiscard]] any_placement make_placement(placement_policy policy);

} // namespace magnolia
