/// Grants parts of the zone's limits to its entries, and borrows from and lends to other zones.
#pragma once

#include "limit_view.h"
#include "outgoing_message.h"
#include "token_bucket.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <optional>

namespace magnolia {

/// Longest use of granted tokens and slots, from the moment when the demand was sent.
inline constexpr std::chrono::milliseconds grant_lease{2000};

/// Pools of the workspaces that this entry keeps, only while they have traffic. Not thread-safe.
class limit_keeper {
public:
    /// @param view  outlives the keeper. @param boot  random number of the process's start.
    limit_keeper(const limit_view& view, std::uint64_t boot) : view_{view}, boot_{boot} {}

    /// Takes what is free and asks other zones for the rest.
    /// Returns nothing for a message that was answered before.
    [[nodiscard]] std::optional<limit_grant> on_demand(std::string_view from,
                                                       const limit_demand& message,
                                                       const contract_limits& limits,
                                                       time_point now);
    [[nodiscard]] std::optional<limit_loan> on_borrow(std::string_view from,
                                                      const limit_borrow& message,
                                                      const contract_limits& limits,
                                                      time_point now);
    void on_loan(std::string_view from, const limit_loan& message, time_point now);
    /// A newer contract or another view: pools take the new parts.
    void reconfigure(std::string_view workspace, const contract_limits& limits, time_point now);
    /// This entry was paused: what its pools hold may have been granted by others meanwhile.
    void restart(time_point now);
    /// Forgets pools that are full and unused.
    void forget_idle(time_point now);

    [[nodiscard]] std::vector<outgoing_message> take_messages();
    /// Workspaces that got a loan since the last call.
    [[nodiscard]] std::vector<std::string> take_loaned();
    [[nodiscard]] std::size_t size() const { return pools_.size(); }

private:
    /// What an entry of the zone holds.
    struct client {
        std::uint64_t boot = 0;
        std::uint32_t number = 0;
        limit_amounts last_grant;
        /// Demand per second, as reported at a moment.
        limit_amounts demand;
        time_point heard{};
        /// Slots granted last, and those that the entry may still use.
        std::uint32_t granted_slots = 0;
        std::uint32_t slots = 0;
        /// Last moment at which a request under these slots can still run.
        time_point slots_until{};
    };
    /// Slots lent to another zone until a moment at which no request can use them any more.
    struct lent_slots {
        std::uint32_t number = 0;
        std::uint32_t slots = 0;
        time_point until{};
    };
    /// Slots held from another zone; usable for new requests until their lease ends, and
    /// remembered while requests may run under them.
    struct held_slots {
        std::string lender;
        std::uint32_t number = 0;
        bool is_answered = true;
        std::uint32_t slots = 0;
        time_point asked{};
        time_point until{};
    };
    struct pool {
        keeper_role role = keeper_role::none;
        token_bucket requests;
        token_bucket prompt;
        token_bucket generated;
        std::uint32_t slots = 0;
        time_point since{};
        duration longest_finish{0};
        /// Rate of the whole contract.
        limit_amounts whole_rate;
        std::map<std::string, client, std::less<>> clients;
        /// By the name and start of the other zone's keeper.
        std::map<std::string, lent_slots, std::less<>> lent;
        /// By the other zone.
        std::map<std::string, held_slots, std::less<>> held;
        /// Loaned amounts, usable until their lease ends.
        limit_amounts loaned;
        time_point loaned_until{};
        std::optional<time_point> borrowed_at;
        /// Moment until which loans that were asked for may come.
        time_point borrow_until{};
        time_point used{};
    };

    pool& pool_of(std::string_view workspace, const contract_limits& limits, time_point now);
    void configure(pool& kept, std::string_view workspace, const contract_limits& limits,
                   time_point now) const;
    void borrow(pool& kept, std::string_view workspace, const limit_amounts& missing,
                std::uint32_t missing_slots, time_point now);
    [[nodiscard]] std::uint32_t charged_slots(const pool& kept, time_point now) const;
    /// Slots that other zones have on loan from here, and that this zone has on loan from them.
    [[nodiscard]] static std::uint32_t lent_slots(const pool& kept);
    [[nodiscard]] static std::uint32_t held_slots_of(const pool& kept);
    [[nodiscard]] std::uint32_t free_slots(const pool& kept, time_point now) const;
    std::uint32_t grant_slots(pool& kept, client& to, const limit_demand& message,
                              std::uint32_t limit, time_point now);

    /// What the former keeper had left is unknown, so nothing is taken to be left.
    static void empty(pool& kept, time_point now);
    /// Demand of the own zone per second.
    static limit_amounts demand_of(const pool& kept, time_point now);
    static void put(pool& kept, const limit_amounts& amounts, time_point now);
    static limit_amounts available(const pool& kept, time_point now);
    static void take(pool& kept, const limit_amounts& amounts, time_point now);
    static void expire_loans(pool& kept, time_point now);
    static duration wait_for(const pool& kept, const limit_amounts& wanted, time_point now);

    const limit_view& view_;
    boost::unordered_flat_map<std::string, std::unique_ptr<pool>> pools_;
    std::vector<outgoing_message> outgoing_;
    std::vector<std::string> loaned_;
    std::uint64_t boot_;
    std::uint32_t next_number_ = 0;
};

} // namespace magnolia
