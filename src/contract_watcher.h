/// Tracks the contracts in the platform's store: lists them, then watches for changes (long
/// polling).
#pragma once

#include "platform_port.h"

#include <magnolia/types.h>

#include <optional>
#include <random>
#include <span>

namespace magnolia {

/// A call to the platform. Its reply is passed back with the same number.
struct numbered_call {
    std::uint64_t number = 0;
    platform_call call;
    call_priority priority = call_priority::configuration;
};

/// Contracts and confirmation of one reply.
struct watch_update {
    std::vector<contract_version> contracts;
    /// Time as of which the store is known to hold nothing newer than `revision`. Only the reply to
    /// a watch sets it; absent if that reply reports a gap or an older revision.
    std::optional<time_point> confirmed_at;
    std::uint64_t revision = 0;
};

/// Lists, then watches the contracts with one call at a time, and lists again when changes were
/// lost. The reply to a watch confirms the time at which the watch was sent, because it contains
/// every change accepted before. Failed calls are retried with exponential backoff. Does no I/O.
/// Owned by contract_relay; not thread-safe.
class contract_watcher {
public:
    explicit contract_watcher(std::uint64_t seed) : random_{seed} {}

    /// Starts watching.
    /// @param revision  revision of the table; 0 to list the contracts first.
    void start(std::uint64_t revision, time_point now);
    /// Stops watching; the reply to the pending call is ignored.
    void stop();
    [[nodiscard]] bool is_running() const { return is_running_; }

    /// Returns the call that is due, if any.
    /// @param number  number of the call.
    [[nodiscard]] std::optional<numbered_call> poll(std::uint64_t number, time_point now);
    /// Handles the reply to the pending call; replies with other numbers are ignored.
    [[nodiscard]] watch_update on_reply(std::uint64_t number, const result<platform_reply>& reply,
                                        time_point now);

    /// Number of objects that could not be read as contracts.
    [[nodiscard]] std::uint32_t rejected() const { return rejected_; }

private:
    void on(const object_page& page, watch_update& update);
    void on(const watch_page& page, watch_update& update);
    template <class Other>
    void on(const Other&, watch_update&) {}
    /// Adds the contracts of the objects; deleted objects become tombstones, invalid ones are
    /// counted and skipped.
    void read_contracts(std::span<const stored_object> objects, watch_update& update);
    /// Delays the next call by a random exponential backoff.
    void back_off(time_point now);

    std::mt19937_64 random_;
    bool is_running_ = false;
    bool is_listing_ = true;
    /// Last name listed so far, and the lowest revision of the pages.
    std::string list_after_;
    std::optional<std::uint64_t> list_revision_;
    std::uint64_t revision_ = 0;
    std::optional<std::uint64_t> pending_call_;
    time_point sent_at_{};
    time_point next_poll_{};
    std::chrono::milliseconds backoff_{0};
    std::uint32_t rejected_ = 0;
};

/// Parses the value of an object as a contract. Errors: bad_contract, with the first field that
/// violates the schema.
[[nodiscard]] result<contract_version> read_contract(const stored_object& object);

} // namespace magnolia
