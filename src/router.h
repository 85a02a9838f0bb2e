/// Routes a prompt to an engine or a group of engines, and refuses prompts that cannot meet their
/// deadlines (admission control).
#pragma once

#include "engine_port.h"

#include <memory>
#include <span>

namespace magnolia {

/// Description of an engine.
struct engine_info {
    std::string name;
    std::string zone;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    std::uint32_t memory_tokens = 0;
    engine_role role = engine_role::any;
};

/// Properties of a request that the routing decision depends on.
struct route_query {
    request_id request;
    std::string_view model;
    std::string_view adapter;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_generated_tokens = 0;
    /// Hashes of the prefixes of the prompt at the block boundaries, shortest first; see
    /// prefix_hashes().
    std::span<const std::uint64_t> prefix_hashes;
    urgency_level urgency = urgency_level::standard;
    /// Time left until the deadlines of the first token and of the complete answer.
    duration first_token_budget{0};
    duration finish_budget{0};
    /// Engines on which earlier attempts failed.
    std::span<const engine_handle> excluded;
};

/// Route to one engine that serves the complete prompt.
struct single_route {
    engine_handle engine;
    /// Urgency passed to the engine; derived from the length of the prompt and the contract.
    urgency_level engine_urgency = urgency_level::standard;
    duration predicted_first_token{0};
    duration predicted_finish{0};
};

/// Part of a prompt assigned to one member of a group.
struct group_member {
    engine_handle engine;
    std::uint32_t first_token = 0;
    std::uint32_t token_count = 0;
};

/// Route to several engines that hold the prompt together; the last one generates. A long prompt
/// that fits one engine gets a group of one member: its memory is reserved first, so that it never
/// waits inside an engine for memory that another reservation holds.
struct group_route {
    std::vector<group_member> members;
    /// Engines of the same zones that can take over the part of a failed member.
    std::vector<engine_handle> spares;
    urgency_level engine_urgency = urgency_level::background;
    duration predicted_first_token{0};
    duration predicted_finish{0};
};

/// No engine can serve the request in time. Errors: model_unknown, no_capacity or
/// deadline_unreachable, with retry_after.
struct route_refused {
    error failure;
};

using route_decision = std::variant<single_route, group_route, route_refused>;

/// Algorithm for choosing an engine.
enum class route_policy : std::uint8_t { round_robin, least_outstanding, length_aware };

/// Components of the length_aware policy; each can be disabled for comparison.
struct route_settings {
    bool prefix_affinity = true;
    /// Urgency by prompt length, and engines reserved for short prompts.
    bool length_classes = true;
    /// Adds own attempts that the last load report does not include yet.
    bool in_flight_correction = true;
    /// Refuses prompts that are predicted to miss their deadline.
    bool admission = true;
};

/// Tracks the engines known to one entry (reported load, own attempts in progress, health, costs)
/// and decides on routes. Owned by entry_core. Not thread-safe.
class router {
public:
    /// @param zone  availability zone of this entry; its engines are preferred.
    /// @param seed  seed of the random choices.
    router(std::string zone, route_policy policy, std::uint64_t seed, route_settings settings = {});
    ~router();
    router(router&&) noexcept;
    router& operator=(router&&) noexcept;

    /// Adds an engine, or updates its description.
    engine_handle put_engine(const engine_info& info, time_point now);
    [[nodiscard]] engine_handle find(std::string_view name) const;
    [[nodiscard]] const engine_info& info(engine_handle engine) const;
    /// Engines that are leaving, suspect or gone get no new attempts.
    void set_state(engine_handle engine, host_state state, time_point now);
    /// Applies a load report of an engine.
    void on_load(engine_handle engine, const engine_load& load, time_point now);

    /// Decides on a route. Records nothing: on_started() or on_group_started() accounts for the
    /// attempt.
    [[nodiscard]] route_decision decide(const route_query& query, time_point now);

    /// Accounts for an attempt from its start until on_ended() or on_cancelled().
    void on_started(attempt_id id, engine_handle engine, const route_query& query, time_point now);
    /// Accounts for a group as for one attempt; on_ended() ends it on all members.
    void on_group_started(attempt_id id, const group_route& group, const route_query& query,
                          time_point now);
    void on_accepted(attempt_id id, std::uint32_t prompt_tokens, std::uint32_t cached_tokens,
                     time_point now);
    void on_first_token(attempt_id id, time_point now);
    void on_ended(attempt_id id, bool succeeded, std::uint32_t generated_tokens, time_point now);

    /// Ends an attempt that this entry cancelled because its caller left or another attempt
    /// replaced it. Does not count against the engine unless the first token was overdue.
    void on_cancelled(attempt_id id, time_point now);

    /// Estimates the number of tokens of a text for a model, calibrated with the counts that its
    /// engines reported.
    [[nodiscard]] std::uint32_t estimate_tokens(std::string_view model, std::size_t bytes) const;

    class state;

private:
    std::unique_ptr<state> state_;
};

/// Hashes of the prefixes of a prompt at the block boundaries, shortest first.
[[nodiscard]] std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

} // namespace magnolia
