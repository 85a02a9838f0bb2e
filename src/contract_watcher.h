/// Follows the contracts in the platform's store: lists them, then watches for changes.
#pragma once

#include "platform_port.h"

#include <magnolia/types.h>

#include <optional>
#include <random>
#include <span>

namespace magnolia {

/// Call to the platform; the reply comes back with the same number.
struct numbered_call {
    std::uint64_t number = 0;
    platform_call call;
    call_priority priority = call_priority::configuration;
};

/// What a reply brought.
struct watch_update {
    std::vector<contract_version> contracts;
    /// Moment up to which the store is known to hold nothing newer than `revision`.
    std::optional<time_point> confirmed;
    std::uint64_t revision = 0;
};

/// One call at a time. A watch that is answered confirms the moment at which it was sent: every
/// change accepted before is in its answer. Not thread-safe.
class contract_watcher {
public:
    explicit contract_watcher(std::uint64_t seed) : random_{seed} {}

    /// Starts to follow. @param revision  revision of the table here, 0 for a list first.
    void start(std::uint64_t revision, time_point now);
    void stop();
    [[nodiscard]] bool is_running() const { return is_running_; }

    /// The call due now, if there is one. @param number  number of the call.
    [[nodiscard]] std::optional<numbered_call> poll(std::uint64_t number, time_point now);
    /// Takes the reply to the call; replies to other numbers are ignored.
    [[nodiscard]] watch_update on_reply(std::uint64_t number, const result<platform_reply>& reply,
                                        time_point now);

    /// Objects that could not be read as contracts.
    [[nodiscard]] std::uint32_t rejected() const { return rejected_; }

private:
    void on(const object_page& page, watch_update& update);
    void on(const watch_page& page, watch_update& update);
    template <class Other>
    void on(const Other&, watch_update&) {}
    void read_contracts(std::span<const stored_object> objects, watch_update& update);
    void back_off(time_point now);

    std::mt19937_64 random_;
    bool is_running_ = false;
    bool is_listing_ = true;
    /// Last name of the list so far, and revision of its first page.
    std::string list_after_;
    std::optional<std::uint64_t> list_revision_;
    std::uint64_t revision_ = 0;
    std::optional<std::uint64_t> pending_call_;
    time_point sent_at_{};
    time_point next_poll_{};
    std::chrono::milliseconds backoff_{0};
    std::uint32_t rejected_ = 0;
};

/// Reads the value of an object as a contract. Errors: bad_contract with the first key that breaks
/// the schema.
[[nodiscard]] result<contract_version> read_contract(const stored_object& object);

} // namespace magnolia
