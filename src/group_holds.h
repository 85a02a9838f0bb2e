/// Memory reservations (holds) of an engine group: acquired one engine at a time in name order,
/// renewed, and released until the engine confirms.
#pragma once

#include "router.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace magnolia {

/// An engine and its name. Every entry acquires engines in the order of their names, which prevents
/// deadlocks between groups.
struct named_engine {
    engine_handle engine;
    std::string name;
};

/// State of a hold.
enum class hold_state : std::uint8_t { none, requested, held };

/// Reservation on one engine in the current round.
struct group_hold {
    named_engine target;
    std::uint32_t tokens = 0;
    hold_state state = hold_state::none;
    /// Number of the last engine_reserve command.
    std::uint32_t number = 0;
    /// Time of the last request to the engine, and of its last confirmation.
    time_point requested_at{};
    time_point confirmed_at{};
};

/// Generates the ids of the commands of one request.
struct command_id_generator {
    request_id request;
    std::uint32_t next = 1;

    [[nodiscard]] attempt_id generate() { return {request, next++}; }
};

/// Effect of an event on a hold.
enum class hold_change : std::uint8_t { none, confirmed, refused };

/// A change and the index of the hold concerned.
struct hold_result {
    hold_change change = hold_change::none;
    std::size_t index = 0;
};

/// Holds of one engine_group, which owns it. Emits commands to `out` and does no I/O. Not
/// thread-safe.
class group_holds {
public:
    /// @param expiry  time after which an engine frees a reservation that is not renewed.
    group_holds(command_id_generator& ids, duration expiry);

    /// Starts a round under a new reservation name. Nothing may be held at that time.
    void begin_round(std::vector<group_hold> holds);
    /// Replaces the hold at `index` by one on another engine and releases the old one.
    void replace(std::size_t index, named_engine target, time_point now,
                 std::vector<engine_command>& out);

    /// Requests the next missing hold in name order, unless its request is already pending. Returns
    /// false if all holds are confirmed.
    [[nodiscard]] bool request_next(time_point now, std::vector<engine_command>& out);
    /// Releases every hold that is confirmed or may have been granted.
    void release_all(time_point now, std::vector<engine_command>& out);

    [[nodiscard]] hold_result on_event(const engine_event& event, time_point now,
                                       std::vector<engine_command>& out);
    /// Renews holds and repeats unanswered releases. Returns the index of a hold whose request
    /// timed out or whose reservation expired.
    [[nodiscard]] std::optional<std::size_t> poll(time_point now, std::vector<engine_command>& out);
    [[nodiscard]] time_point next_due() const;

    [[nodiscard]] std::span<const group_hold> holds() const { return holds_; }
    [[nodiscard]] const std::string& reservation() const { return reservation_; }
    /// Whether no engine can hold memory for this group.
    [[nodiscard]] bool is_empty() const;

private:
    struct pending_release {
        engine_handle engine;
        std::string reservation;
        std::uint32_t number = 0;
        time_point retry_at{};
        /// Time by which the engine has freed the reservation on its own.
        time_point expires_at{};
    };

    void send_reserve(group_hold& hold, time_point now, std::vector<engine_command>& out);
    void release(engine_handle engine, const std::string& reservation, time_point now,
                 std::vector<engine_command>& out);
    [[nodiscard]] hold_result on_reserved(const engine_reserved& event, time_point now,
                                          std::vector<engine_command>& out);
    [[nodiscard]] hold_result on_failed(const engine_failed& event, time_point now,
                                        std::vector<engine_command>& out);

    command_id_generator& ids_;
    duration expiry_;
    std::string reservation_;
    std::uint32_t round_ = 0;
    std::vector<group_hold> holds_;
    std::vector<pending_release> releases_;
};

} // namespace magnolia
