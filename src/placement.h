/// Placement policies: choose the backend servers of a request among the candidates. They do no
/// I/O; only round_robin_placement has state, its position.
#pragma once

#include "engine_partition.h"

#include <random>
#include <span>
#include <variant>

namespace magnolia {

/// A backend server that may take the request.
struct placement_candidate {
    /// Identifies the candidate in placement_choice.
    std::uint32_t index = 0;
    bool is_own_zone = true;
    /// Every placement there is told to this host; else only those of long prompts.
    bool is_well_known = true;
    /// Requests of this host in progress there.
    std::uint32_t open_calls = 0;
    std::uint32_t slots = 1;
    /// Moving average of failed attempts, 0 to 1.
    double failure_rate = 0;
    /// Reserved for long prompts, see engine_partition.
    bool is_reserved_for_long = false;
    /// Set for engines. Choosing advances it to the current time.
    engine_forecast* forecast = nullptr;
};

/// The request to place.
struct placement_query {
    job_demand demand;
    /// Time from now after which a first event has no value.
    duration time_left{0};
    /// Recent load by short prompts, for the loss when long prompts displace them.
    short_prompt_load short_load{};
};

/// A chosen backend server.
struct placement_member {
    /// placement_candidate::index
    std::uint32_t index = 0;
    /// KV memory to reserve there before the request is sent, tokens; 0 if none.
    std::uint32_t reserved_tokens = 0;
};

/// The first member receives the request and decodes the answer; the others are prefill helpers.
struct placement_choice {
    std::vector<placement_member> members;
    /// Share of the prefill that each member computes.
    prefill_share share;
    /// Predicted time of the first event.
    time_point first_event{};
    /// Expected value of the request minus the expected loss that it imposes on other requests.
    double net_value = 0;
};

/// Takes the candidates in turn.
class round_robin_placement {
public:
    [[nodiscard]] result<placement_choice> choose(const placement_query& query,
                                                  std::span<const placement_candidate> candidates,
                                                  time_point now, std::mt19937_64& random);

private:
    std::size_t next_ = 0;
};

/// Least outstanding requests: the candidate with the fewest requests of this host per slot. The
/// failure rate counts as additional load, and another zone as a load of half the slots.
class least_outstanding_placement {
public:
    [[nodiscard]] result<placement_choice> choose(const placement_query& query,
                                                  std::span<const placement_candidate> candidates,
                                                  time_point now, std::mt19937_64& random);
};

/// Minimizes the expected loss of value: of the request itself, and of the streams that its prefill
/// would delay (head-of-line blocking by a few very long prompts among many short ones). Evaluates
/// single engines and sets of engines that split the prefill, with their forecasts. Without
/// forecasts it behaves as least_outstanding_placement.
class pause_aware_placement {
public:
    [[nodiscard]] result<placement_choice> choose(const placement_query& query,
                                                  std::span<const placement_candidate> candidates,
                                                  time_point now, std::mt19937_64& random);
};

/// All policies have the same choose(); it fails with no_capacity and a retry_after.
using any_placement =
    std::variant<round_robin_placement, least_outstanding_placement, pause_aware_placement>;

/// Creates the placement of a policy from the settings.
[[nodiscard]] any_placement make_placement(placement_policy policy);

} // namespace magnolia
