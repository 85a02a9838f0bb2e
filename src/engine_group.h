/// Runs a prompt that is longer than one engine's memory on a group of engines: reserves all of
/// them or none, computes the parts in order, generates on the last, and frees everything.
#pragma once

#include "group_holds.h"

#include <memory>

namespace magnolia {

/// The request as the group needs it.
struct group_request {
    request_id request;
    /// Number of the first command; every command takes a further one.
    std::uint32_t first_number = 1;
    std::string model;
    std::string adapter;
    shared_text prompt;
    std::uint32_t max_generated_tokens = 0;
    /// Urgency for the engine that generates.
    urgency_level urgency = urgency_level::background;
    time_point received_at{};
    /// Time at which the request has to have ended.
    time_point deadline{};
};

/// Shares of the prompt and the engines for them.
struct group_plan {
    std::vector<group_member> members;
    /// Names of the members' engines, in the same order.
    std::vector<std::string> names;
    /// Engines that may take over a share; tried once each.
    std::vector<named_engine> spares;
};

/// Plan for the group that the router chose.
[[nodiscard]] group_plan make_plan(const group_route& route, const router& engines);

/// What a group is doing.
enum class group_phase : std::uint8_t {
    idle,
    reserving,
    /// Holds nothing; tries again later.
    backing_off,
    prefilling,
    generating,
    /// Ended well; frees what it holds.
    finished,
    /// Ended with a failure; frees what it holds.
    failed,
};

/// One request's group. Pure: events and the time go in, commands come out.
class engine_group {
public:
    /// @param seed  seed of the jitter.
    engine_group(group_request request, group_plan plan, std::uint64_t seed);
    ~engine_group();
    engine_group(engine_group&&) noexcept;
    engine_group& operator=(engine_group&&) noexcept;

    [[nodiscard]] std::vector<engine_command> begin(time_point now);
    /// Takes any event whose id or reservation belongs to this request, late ones too.
    [[nodiscard]] std::vector<engine_command> on_event(const engine_event& event, time_point now);
    /// Does what is due: renewals_per_expiry, retries, repeated releases, the deadline.
    [[nodiscard]] std::vector<engine_command> poll(time_point now);
    /// Gives the request up.
    [[nodiscard]] std::vector<engine_command> cancel(time_point now);
    /// Takes a fresh plan while backing off; the next try uses it.
    void replan(group_plan plan);

    [[nodiscard]] time_point next_due() const;
    [[nodiscard]] group_phase phase() const;
    /// Whether no engine can hold memory for this request any more.
    [[nodiscard]] bool is_settled() const;
    /// Attempt that generates; its number is 0 before it starts. Its tokens are passed to callers.
    [[nodiscard]] attempt_id generation() const;
    /// Why it failed.
    [[nodiscard]] const error& failure() const;
    /// First number that a later command of the request may take.
    [[nodiscard]] std::uint32_t next_number() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
