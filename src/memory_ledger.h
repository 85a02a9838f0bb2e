/// Every reservation of engine memory that this process has asked for, until its release is
/// certain. Pure decisions.
#pragma once

#include "engine_port.h"

#include <map>

namespace magnolia {

struct memory_ledger_settings {
    /// Time for which an engine keeps a reservation without a renewal.
    duration expiry{30000000};
    /// Time between renewals; several fit into the expiry.
    duration renewal_interval{8000000};
    /// Time between two tries of a renewal or a release.
    duration retry_interval{1000000};
    /// Longest time that a command without an answer can still reach an engine.
    duration linger{20000000};
};

/// A reservation that lapsed or was refused while it was in use.
struct lost_reservation {
    attempt_id id;
    engine_handle engine;
    std::string reservation;
};

/// Reservations of one process. Not thread-safe; owned by the duty of decisions.
///
/// A name is used for one reservation only, so that whatever an engine grants after the release was
/// asked for is released again. An engine's expiry is counted from the moment when the last
/// confirmed reserve or renewal was sent; past it the reservation counts as lost and is never
/// renewed, also if this process was paused meanwhile.
class memory_ledger {
public:
    explicit memory_ledger(memory_ledger_settings settings) : settings_{settings} {}

    /// Begins a reservation under a new name; poll() gives the command.
    [[nodiscard]] std::string reserve(const attempt_id& id, engine_handle engine,
                                      std::uint32_t tokens, time_point now);

    /// Begins the release; commands follow until the engine has confirmed it. Idempotent.
    void release(engine_handle engine, const std::string& reservation, time_point now);

    /// Releases everything of a request.
    void release_all(const request_id& request, time_point now);

    /// Takes engine_reserved, engine_released and engine_failed with a reservation; ignores others.
    void on_event(const engine_event& event, time_point now);

    /// The engine started anew; what it held is gone.
    void on_engine_restarted(engine_handle engine, time_point now);

    /// The engine was removed for good.
    void forget_engine(engine_handle engine);

    /// Commands due now.
    [[nodiscard]] std::vector<engine_command> poll(time_point now);
    /// Reservations lost since the last call; their release has begun.
    [[nodiscard]] std::vector<lost_reservation> take_lost();
    /// Time of the next poll that matters.
    [[nodiscard]] time_point next_due() const;

    /// Whether the engine has confirmed the reservation and it has not lapsed.
    [[nodiscard]] bool is_held(engine_handle engine, const std::string& reservation,
                               time_point now) const;
    /// Reservations whose release is not certain yet, wanted ones included.
    [[nodiscard]] std::size_t size() const { return items_.size(); }

private:
    enum class phase : std::uint8_t { reserving, held, releasing };

    struct item {
        attempt_id id;
        std::uint32_t tokens = 0;
        phase state = phase::reserving;
        /// A reserve without its answer, and when it was sent.
        bool is_asking = false;
        time_point asked_at{};
        /// A release without its answer.
        bool is_releasing = false;
        /// The engine may still take a reserve that was given up until then.
        time_point doubtful_until{};
        /// The engine keeps it at least until then.
        time_point safe_until{};
        time_point due{};
    };
    using item_key = std::pair<engine_handle, std::string>;

    void on(const engine_reserved& event, time_point now);
    void on(const engine_released& event, time_point now);
    void on(const engine_failed& event, time_point now);
    template <class Other>
    void on(const Other&, time_point) {}

    void begin_release(item& value, time_point now);
    void lose(const item_key& key, item& value, time_point now);
    [[nodiscard]] engine_command ask(const item_key& key, item& value, time_point now) const;

    memory_ledger_settings settings_;
    std::map<item_key, item> items_;
    std::vector<lost_reservation> lost_;
    std::uint64_t names_ = 0;
};

} // namespace magnolia
