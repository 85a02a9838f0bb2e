/// What one entry holds of a workspace's limits, and what it asks of the keepers.
#pragma once

#include "limit_topology.h"

#include <algorithm>
#include <array>
#include <optional>

namespace magnolia {

/// Dealings with one keeper of a workspace. Not thread-safe.
class allocator_client {
public:
    /// Prepares a demand; from now on the entry uses no more slots than it asks for.
    /// @param more_slots  slots wanted beside those under way.
    /// @param number  higher than that of any demand of this process before.
    [[nodiscard]] limit_demand make_demand(std::string_view workspace, std::uint64_t boot,
                                           const limit_amounts& required,
                                           const limit_amounts& prefetch,
                                           const limit_amounts& demand, std::uint32_t more_slots,
                                           std::uint32_t number, time_point now);
    /// Takes a grant if it answers the last demand; returns whether it did.
    [[nodiscard]] bool on_grant(const limit_grant& message, time_point now);
    /// Takes amounts if they are all here.
    [[nodiscard]] bool try_take(const limit_amounts& needed, time_point now);
    /// Takes a slot of this source, if one is free.
    [[nodiscard]] bool try_take_slot(time_point now);
    void release_slot() { slots_in_use_ -= std::min(slots_in_use_, 1U); }
    /// Forgets the keeper that this source stood for; what is under way stays.
    void reset();
    /// Keeps amounts that a request did not use.
    void return_unused(const limit_amounts& unused, time_point now);
    /// Amounts whose lease has ended go back with the next demand.
    void expire(time_point now);

    [[nodiscard]] limit_amounts available(time_point now) const;
    /// Amounts of these that stay when the next grant comes; the older batch goes back then.
    [[nodiscard]] limit_amounts retained(time_point now) const;
    [[nodiscard]] std::uint32_t slots(time_point now) const {
        return now < slots_expire_at_ ? slots_ : 0U;
    }
    [[nodiscard]] std::uint32_t slots_in_use() const { return slots_in_use_; }
    [[nodiscard]] bool has_amounts_to_return() const;
    [[nodiscard]] bool is_awaiting_grant() const { return is_awaiting_grant_; }
    [[nodiscard]] std::optional<time_point> demand_sent_at() const { return demand_sent_at_; }
    [[nodiscard]] const limit_grant& last_grant() const { return last_grant_; }
    /// Need of the demand that the last grant answers, with what was held then.
    [[nodiscard]] const limit_amounts& answered_need() const { return answered_need_; }
    /// Moment at which the demand was sent that the last grant answers.
    [[nodiscard]] std::optional<time_point> answered_demand_sent_at() const {
        return answered_demand_sent_at_;
    }

private:
    /// Amounts of one grant, until their lease ends.
    struct batch {
        limit_amounts amounts;
        time_point expires_at{};
    };

    /// The last two grants, older first.
    std::array<batch, 2> batches_;
    limit_amounts to_return_;
    std::uint32_t slots_ = 0;
    std::uint32_t slots_in_use_ = 0;
    time_point slots_expire_at_{};
    std::uint32_t demand_number_ = 0;
    std::uint32_t last_received_ = 0;
    bool is_awaiting_grant_ = false;
    std::optional<time_point> demand_sent_at_;
    std::optional<time_point> answered_demand_sent_at_;
    limit_amounts pending_need_;
    limit_amounts answered_need_;
    limit_grant last_grant_;
};

} // namespace magnolia
