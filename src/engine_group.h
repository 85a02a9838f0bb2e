/// Runs a long prompt on a group of engines (one engine, if it fits): reserves memory on all
/// members or none, prefills the parts in order, generates on the last member, and releases
/// everything.
#pragma once

#include "group_holds.h"

#include <memory>

namespace magnolia {

/// Parameters of the request that the group serves.
struct group_request {
    request_id request;
    /// Number of the first command; each further command takes the next number.
    std::uint32_t first_number = 1;
    std::string model;
    std::string adapter;
    shared_text prompt;
    std::uint32_t max_generated_tokens = 0;
    /// Urgency passed to the engine that generates.
    urgency_level urgency = urgency_level::background;
    time_point received_at{};
    /// Deadline of the complete answer.
    time_point deadline{};
};

/// Members with their parts of the prompt, and spare engines.
struct group_plan {
    std::vector<group_member> members;
    /// Names of the members' engines, in the order of `members`.
    std::vector<std::string> names;
    /// Engines that can take over the part of a failed member; each is tried once.
    std::vector<named_engine> spares;
};

/// Builds the plan for a group that the router chose.
[[nodiscard]] group_plan make_plan(const group_route& route, const router& engines);

/// Phase of a group.
enum class group_phase : std::uint8_t {
    idle,
    reserving,
    /// Holds no memory; retries after a pause.
    backing_off,
    prefilling,
    generating,
    /// Succeeded; releases its memory.
    finished,
    /// Failed; releases its memory.
    failed,
};

/// State machine of the group of one request. Performs no I/O: events and the time go in, commands
/// come out. Owned by entry_core, which keeps it until is_settled(). Not thread-safe.
class engine_group {
public:
    /// @param seed  seed of the jitter.
    engine_group(group_request request, group_plan plan, std::uint64_t seed);
    ~engine_group();
    engine_group(engine_group&&) noexcept;
    engine_group& operator=(engine_group&&) noexcept;

    /// Starts the first round of reservations.
    [[nodiscard]] std::vector<engine_command> begin(time_point now);
    /// Handles an event whose id or reservation belongs to this request, including late ones.
    [[nodiscard]] std::vector<engine_command> on_event(const engine_event& event, time_point now);
    /// Does what is due: renewals, retries, repeated releases, and the deadline. To be called at
    /// next_due().
    [[nodiscard]] std::vector<engine_command> poll(time_point now);
    /// Cancels the request; its memory is still being released afterwards.
    [[nodiscard]] std::vector<engine_command> cancel(time_point now);
    /// Replaces the plan while backing off; the next round uses it.
    void replan(group_plan plan);

    [[nodiscard]] time_point next_due() const;
    [[nodiscard]] group_phase phase() const;
    /// Whether the group has ended and no engine can hold memory for it.
    [[nodiscard]] bool is_settled() const;
    /// Id of the attempt that generates, whose tokens go to the caller; its number is 0 before it
    /// starts.
    [[nodiscard]] attempt_id generation() const;
    /// Error of a failed group.
    [[nodiscard]] const error& failure() const;
    /// Smallest number that a later command of the request may take.
    [[nodiscard]] std::uint32_t next_number() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace magnolia
