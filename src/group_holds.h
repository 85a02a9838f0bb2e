/// Reservations of an engine group: asked for in order, renewed, and released until the engine
/// confirms.
#pragma once

#include "router.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace magnolia {

/// An engine with its name; names order the acquisition alike at all entries.
struct named_engine {
    engine_handle engine;
    std::string name;
};

/// Whether an engine holds a reservation.
enum class hold_state : std::uint8_t { none, requested, held };

/// One reservation of the current round.
struct group_hold {
    named_engine where;
    std::uint32_t tokens = 0;
    hold_state state = hold_state::none;
    /// Number of the last engine_reserve.
    std::uint32_t number = 0;
    /// When the engine was last asked, and when it last agreed.
    time_point requested_at{};
    time_point confirmed_at{};
};

/// Numbers the commands of one request.
struct command_numbers {
    request_id request;
    std::uint32_t next = 1;

    [[nodiscard]] attempt_id take() { return {request, next++}; }
};

/// What an event meant for the holds.
enum class hold_change : std::uint8_t { none, confirmed, refused };

/// A change and the place of the hold that changed.
struct hold_result {
    hold_change change = hold_change::none;
    std::size_t index = 0;
};

class group_holds {
public:
    /// @param expiry  time after which an engine frees a reservation that is not renewed.
    group_holds(command_numbers& numbers, duration expiry);

    /// Starts a round under a fresh reservation name. Nothing may be held.
    void begin_round(std::vector<group_hold> wanted);
    /// Replaces the hold at `index` by one on another engine; the old one is released.
    void replace(std::size_t index, named_engine where, time_point now,
                 std::vector<engine_command>& out);

    /// Asks the next engine in the order of names. False if all agree already.
    [[nodiscard]] bool request_next(time_point now, std::vector<engine_command>& out);
    /// Releases everything that is held or may be held.
    void release_all(time_point now, std::vector<engine_command>& out);

    [[nodiscard]] hold_result on_event(const engine_event& event, time_point now,
                                       std::vector<engine_command>& out);
    /// Renews holds and repeats releases. Returns the index of a hold that is no longer sure.
    [[nodiscard]] std::optional<std::size_t> poll(time_point now, std::vector<engine_command>& out);
    [[nodiscard]] time_point next_due() const;

    [[nodiscard]] std::span<const group_hold> holds() const { return holds_; }
    [[nodiscard]] const std::string& reservation() const { return reservation_; }
    /// Whether no engine can hold anything of this group.
    [[nodiscard]] bool is_empty() const;

private:
    struct pending_release {
        engine_handle engine;
        std::string reservation;
        std::uint32_t number = 0;
        time_point retry_at{};
        /// The engine has freed it by itself.
        time_point expires_at{};
    };

    void send_reserve(group_hold& hold, time_point now, std::vector<engine_command>& out);
    void release(engine_handle engine, const std::string& reservation, time_point now,
                 std::vector<engine_command>& out);
    [[nodiscard]] hold_result take(const engine_reserved& event, time_point now,
                                   std::vector<engine_command>& out);
    [[nodiscard]] hold_result take(const engine_failed& event, time_point now,
                                   std::vector<engine_command>& out);

    command_numbers& numbers_;
    duration expiry_;
    std::string reservation_;
    std::uint32_t round_ = 0;
    std::vector<group_hold> holds_;
    std::vector<pending_release> releases_;
};

} // namespace magnolia
