/// What one entry holds of a workspace's limits, and what it asks of the keepers.
#pragma once

#include "limit_view.h"

#include <algorithm>
#include <array>
#include <optional>

namespace magnolia {

/// Dealings with one keeper of a workspace. Not thread-safe.
class limit_source {
public:
    /// Prepares a demand; from now on the entry uses no more slots than it asks for.
    /// @param more_slots  slots wanted beside those under way.
    /// @param number  higher than that of any demand of this process before.
    [[nodiscard]] limit_demand ask(std::string_view workspace, std::uint64_t boot,
                                   const limit_amounts& wanted, const limit_amounts& extra,
                                   const limit_amounts& demand, std::uint32_t more_slots,
                                   std::uint32_t number, time_point now);
    /// Takes a grant if it answers the last demand; returns whether it did.
    [[nodiscard]] bool on_grant(const limit_grant& message, time_point now);
    /// Takes amounts if they are all here.
    [[nodiscard]] bool take(const limit_amounts& needed, time_point now);
    /// Takes a slot of this source, if one is free.
    [[nodiscard]] bool take_slot(time_point now);
    void free_slot() { under_way_ -= std::min(under_way_, 1U); }
    /// Forgets the keeper that this source stood for; what is under way stays.
    void reset();
    /// Keeps amounts that a request did not use.
    void put_back(const limit_amounts& unused, time_point now);
    /// Amounts whose lease has ended go back with the next demand.
    void expire(time_point now);

    [[nodiscard]] limit_amounts held(time_point now) const;
    /// Amounts of these that stay when the next grant comes; the older batch goes back then.
    [[nodiscard]] limit_amounts kept(time_point now) const;
    [[nodiscard]] std::uint32_t slots(time_point now) const {
        return now < slots_until_ ? slots_ : 0U;
    }
    [[nodiscard]] std::uint32_t under_way() const { return under_way_; }
    [[nodiscard]] bool has_returns() const;
    [[nodiscard]] bool is_waiting() const { return is_waiting_; }
    [[nodiscard]] std::optional<time_point> asked_at() const { return asked_at_; }
    [[nodiscard]] const limit_grant& last_grant() const { return last_grant_; }
    /// Need of the demand that the last grant answers, with what was held then.
    [[nodiscard]] const limit_amounts& answered_need() const { return answered_need_; }
    /// Moment at which the demand was sent that the last grant answers.
    [[nodiscard]] std::optional<time_point> answered_demand_at() const { return answered_at_; }

private:
    /// Amounts of one grant, until their lease ends.
    struct batch {
        limit_amounts amounts;
        time_point until{};
    };

    /// The last two grants, older first.
    std::array<batch, 2> batches_;
    limit_amounts returned_;
    std::uint32_t slots_ = 0;
    std::uint32_t under_way_ = 0;
    time_point slots_until_{};
    std::uint32_t number_ = 0;
    std::uint32_t received_ = 0;
    bool is_waiting_ = false;
    std::optional<time_point> asked_at_;
    std::optional<time_point> answered_at_;
    limit_amounts asked_need_;
    limit_amounts answered_need_;
    limit_grant last_grant_;
};

} // namespace magnolia
