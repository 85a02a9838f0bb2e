/// Chooses the engine, or the group of engines, that serves a prompt, and refuses what cannot make
/// its deadline.
#pragma once

#include "engine_port.h"

#include <memory>
#include <span>

namespace magnolia {

/// What is known of an engine.
struct engine_info {
    std::string name;
    std::string zone;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    std::uint32_t memory_tokens = 0;
    engine_role role = engine_role::any;
};

/// A request as the router sees it.
struct route_query {
    request_id request;
    std::string_view model;
    std::string_view adapter;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_generated_tokens = 0;
    /// Hashes of the prompt's prefixes, one a block, shortest first.
    std::span<const std::uint64_t> prefix_hashes;
    urgency_level urgency = urgency_level::standard;
    /// Time left to the first token and to the end.
    duration first_token_budget{0};
    duration finish_budget{0};
    /// Engines that earlier attempts failed on.
    std::span<const engine_handle> excluded;
};

/// One engine serves the whole prompt.
struct single_route {
    engine_handle engine;
    /// Urgency to give to the engine: it follows from the prompt's length and the contract.
    urgency_level engine_urgency = urgency_level::standard;
    duration predicted_first_token{0};
    duration predicted_finish{0};
};

/// Share of a prompt that a member of a group holds.
struct group_member {
    engine_handle engine;
    std::uint32_t first_token = 0;
    std::uint32_t token_count = 0;
};

/// Several engines hold the prompt together; the last one generates. A long prompt that fits one
/// engine has one member: its memory is reserved first, so that it never waits inside an engine for
/// memory that another reservation holds.
struct group_route {
    std::vector<group_member> members;
    /// Engines of the same zones that could take over a member's share.
    std::vector<engine_handle> spares;
    urgency_level engine_urgency = urgency_level::background;
    duration predicted_first_token{0};
    duration predicted_finish{0};
};

/// Nothing can serve the request in time: model_unknown, no_capacity or deadline_unreachable, with
/// retry_after.
struct route_refused {
    error failure;
};

using route_decision = std::variant<single_route, group_route, route_refused>;

/// How the router chooses.
enum class route_policy : std::uint8_t { round_robin, least_outstanding, length_aware };

/// Parts of the length_aware policy, each of which can be turned off for comparison.
struct route_settings {
    bool prefix_affinity = true;
    /// Priorities by length and engines kept for short prompts.
    bool length_classes = true;
    /// Corrects load reports by own work that they do not show yet.
    bool in_flight_correction = true;
    /// Refuses what is predicted to miss its deadline.
    bool admission = true;
};

/// Decisions over the engines that one entry knows. Not thread-safe; owned by the duty of
/// decisions.
class router {
public:
    /// @param zone  availability zone of this entry; its engines go first.
    /// @param seed  seed of the random choices.
    router(std::string zone, route_policy policy, std::uint64_t seed, route_settings settings = {});
    ~router();
    router(router&&) noexcept;
    router& operator=(router&&) noexcept;

    /// Adds an engine, or changes what is known of it.
    engine_handle put_engine(const engine_info& info, time_point now);
    [[nodiscard]] engine_handle find(std::string_view name) const;
    [[nodiscard]] const engine_info& info(engine_handle engine) const;
    /// A leaving, suspect or gone engine gets no new work.
    void set_state(engine_handle engine, host_state state, time_point now);
    void on_load(engine_handle engine, const engine_load& load, time_point now);

    /// Decides without changing any accounts.
    [[nodiscard]] route_decision decide(const route_query& query, time_point now);

    /// Accounts for an attempt from its start to its end.
    void on_started(attempt_id id, engine_handle engine, const route_query& query, time_point now);
    /// Accounts for a group as for one attempt; on_ended ends it on all members.
    void on_group_started(attempt_id id, const group_route& group, const route_query& query,
                          time_point now);
    void on_accepted(attempt_id id, std::uint32_t prompt_tokens, std::uint32_t cached_tokens,
                     time_point now);
    void on_first_token(attempt_id id, time_point now);
    void on_ended(attempt_id id, bool succeeded, std::uint32_t generated_tokens, time_point now);

    /// Ends an attempt that this entry gave up: its caller left, or another attempt took over. It
    /// says nothing against the engine unless the first token was overdue.
    void on_cancelled(attempt_id id, time_point now);

    /// Estimated tokens of a text for a model, corrected by what its engines counted.
    [[nodiscard]] std::uint32_t estimate_tokens(std::string_view model, std::size_t bytes) const;

    class state;

private:
    std::unique_ptr<state> state_;
};

/// Hashes of the prefixes of a prompt at the block boundaries, shortest first.
[[nodiscard]] std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

} // namespace magnolia
