/// Client side of the protocol between an entry and a limit allocator.
#pragma once

#include "limit_topology.h"

#include <algorithm>
#include <array>
#include <optional>

namespace magnolia {

/// Amounts and slots granted to this entry by one allocator of one workspace, and the demand that
/// is waiting for its grant. The limiter owns two for each workspace: for the primary and for the
/// standby. Not thread-safe.
///
/// Unused amounts are not lost: they go back to the allocator with the next demand, both those that
/// a request did not use and those of a grant that was replaced or expired.
class allocator_client {
public:
    /// Builds the next demand and marks it as sent. Lowers slots() to the number demanded, because
    /// the allocator may grant the others elsewhere as soon as it has the demand.
    /// @param required    amounts needed now, beside those retained.
    /// @param prefetch    amounts expected to be needed next; granted as far as available.
    /// @param demand      average demand per second at this entry.
    /// @param more_slots  slots wanted beside those in use.
    /// @param number      greater than the number of any earlier demand of this process.
    [[nodiscard]] limit_demand make_demand(std::string_view workspace, std::uint64_t boot,
                                           const limit_amounts& required,
                                           const limit_amounts& prefetch,
                                           const limit_amounts& demand, std::uint32_t more_slots,
                                           std::uint32_t number, time_point now);
    /// Accepts a grant if it answers the last demand; returns whether it did.
    [[nodiscard]] bool on_grant(const limit_grant& message, time_point now);
    /// Takes the amounts if all of them are available; otherwise takes nothing and returns false.
    [[nodiscard]] bool try_take(const limit_amounts& needed, time_point now);
    /// Takes a slot if one is free; returns whether it did.
    [[nodiscard]] bool try_take_slot(time_point now);
    void release_slot() { slots_in_use_ -= std::min(slots_in_use_, 1U); }
    /// Drops all state of a former allocator except the count of slots in use.
    void reset();
    /// Stores amounts that a request did not use; they are returned with the next demand.
    void return_unused(const limit_amounts& unused, time_point now);
    /// Moves amounts whose lease has ended to those that the next demand returns.
    void expire(time_point now);

    /// Granted amounts that are unused and unexpired.
    [[nodiscard]] limit_amounts available(time_point now) const;
    /// The part of available() that stays usable when the next grant arrives. The older of the two
    /// batches is returned then.
    [[nodiscard]] limit_amounts retained(time_point now) const;
    /// Granted slots, used ones included; 0 after their lease.
    [[nodiscard]] std::uint32_t slots(time_point now) const {
        return now < slots_expire_at_ ? slots_ : 0U;
    }
    /// Admitted requests that hold a slot of this allocator.
    [[nodiscard]] std::uint32_t slots_in_use() const { return slots_in_use_; }
    /// Whether the next demand has amounts to return.
    [[nodiscard]] bool has_amounts_to_return() const;
    /// Whether the last demand has not been answered.
    [[nodiscard]] bool is_awaiting_grant() const { return is_awaiting_grant_; }
    [[nodiscard]] std::optional<time_point> demand_sent_at() const { return demand_sent_at_; }
    [[nodiscard]] const limit_grant& last_grant() const { return last_grant_; }
    /// Amounts that the demand answered by the last grant was sent for, retained ones included.
    [[nodiscard]] const limit_amounts& answered_need() const { return answered_need_; }
    /// Time at which the demand answered by the last grant was sent.
    [[nodiscard]] std::optional<time_point> answered_demand_sent_at() const {
        return answered_demand_sent_at_;
    }

private:
    /// Unused amounts of one grant.
    struct batch {
        limit_amounts amounts;
        time_point expires_at{};
    };

    /// Batches of the last two grants, older first.
    std::array<batch, 2> batches_;
    /// Amounts that the next demand returns.
    limit_amounts to_return_;
    std::uint32_t slots_ = 0;
    std::uint32_t slots_in_use_ = 0;
    time_point slots_expire_at_{};
    /// Numbers of the last demand and of the last demand whose grant arrived.
    std::uint32_t demand_number_ = 0;
    std::uint32_t last_received_ = 0;
    bool is_awaiting_grant_ = false;
    std::optional<time_point> demand_sent_at_;
    std::optional<time_point> answered_demand_sent_at_;
    /// See answered_need(): of the demand that awaits its grant, and of the last answered one.
    limit_amounts pending_need_;
    limit_amounts answered_need_;
    limit_grant last_grant_;
};

} // namespace magnolia
