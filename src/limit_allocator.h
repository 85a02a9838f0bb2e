/// Grants parts of the zone's limits to its entries, and borrows from and lends to other zones.
#pragma once

#include "limit_topology.h"
#include "outgoing_message.h"
#include "token_bucket.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <optional>

namespace magnolia {

/// Longest use of granted tokens and slots, from the moment when the demand was sent.
inline constexpr std::chrono::milliseconds grant_lease{2000};

/// Pools of the workspaces that this entry keeps, only while they have traffic. Not thread-safe.
class limit_allocator {
public:
    /// @param view  outlives the keeper. @param boot  random number of the process's start.
    limit_allocator(const limit_topology& topology, std::uint64_t boot)
        : topology_{topology}, boot_{boot} {}

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
    void reset_after_pause(time_point now);
    /// Forgets pools that are full and unused.
    void evict_idle(time_point now);

    [[nodiscard]] std::vector<outgoing_message> take_messages();
    /// Workspaces that got a loan since the last call.
    [[nodiscard]] std::vector<std::string> take_workspaces_with_loans();
    [[nodiscard]] std::size_t size() const { return pools_.size(); }

private:
    /// What an entry of the zone holds.
    struct entry_state {
        std::uint64_t boot = 0;
        std::uint32_t number = 0;
        limit_amounts last_grant;
        /// Demand per second, as reported at a moment.
        limit_amounts demand;
        time_point last_seen{};
        /// Slots granted last, and those that the entry may still use.
        std::uint32_t granted_slots = 0;
        std::uint32_t charged_slots = 0;
        /// Last moment at which a request under these slots can still run.
        time_point charged_until{};
    };
    /// Slots lent to another zone until a moment at which no request can use them any more.
    struct slot_loan {
        std::uint32_t number = 0;
        std::uint32_t slots = 0;
        time_point expires_at{};
    };
    /// Slots held from another zone; usable for new requests until their lease ends, and
    /// remembered while requests may run under them.
    struct borrowed_slots {
        std::string lender;
        std::uint32_t number = 0;
        bool is_answered = true;
        std::uint32_t slots = 0;
        time_point requested_at{};
        time_point expires_at{};
    };
    struct limit_pool {
        allocator_role role = allocator_role::none;
        token_bucket requests;
        token_bucket prompt;
        token_bucket generated;
        std::uint32_t slots = 0;
        time_point allocating_since{};
        duration max_run_time{0};
        /// Rate of the whole contract.
        limit_amounts contract_rate;
        std::map<std::string, entry_state, std::less<>> entries;
        /// By the name and start of the other zone's keeper.
        std::map<std::string, slot_loan, std::less<>> lent;
        /// By the other zone.
        std::map<std::string, borrowed_slots, std::less<>> borrowed;
        /// Loaned amounts, usable until their lease ends.
        limit_amounts borrowed_amounts;
        time_point borrowed_amounts_until{};
        std::optional<time_point> last_borrow_at;
        /// Moment until which loans that were asked for may come.
        time_point loans_expected_until{};
        time_point last_used{};
    };

    limit_pool& find_or_create_pool(std::string_view workspace, const contract_limits& limits,
                                    time_point now);
    void configure(limit_pool& pool, std::string_view workspace, const contract_limits& limits,
                   time_point now) const;
    void borrow(limit_pool& pool, std::string_view workspace, const limit_amounts& missing,
                std::uint32_t missing_slots, time_point now);
    [[nodiscard]] std::uint32_t charged_slot_count(const limit_pool& pool, time_point now) const;
    /// Slots that other zones have on loan from here, and that this zone has on loan from them.
    [[nodiscard]] static std::uint32_t lent_slot_count(const limit_pool& pool);
    [[nodiscard]] static std::uint32_t borrowed_slot_count(const limit_pool& pool);
    [[nodiscard]] std::uint32_t free_slot_count(const limit_pool& pool, time_point now) const;
    std::uint32_t grant_slots(limit_pool& pool, entry_state& entry, const limit_demand& message,
                              std::uint32_t usable_slots, time_point now);

    /// What the former keeper had left is unknown, so nothing is taken to be left.
    static void clear_pool(limit_pool& pool, time_point now);
    /// Demand of the own zone per second.
    static limit_amounts zone_demand(const limit_pool& pool, time_point now);
    static void return_amounts(limit_pool& pool, const limit_amounts& amounts, time_point now);
    static limit_amounts available(const limit_pool& pool, time_point now);
    static void deduct(limit_pool& pool, const limit_amounts& amounts, time_point now);
    static void expire_loans(limit_pool& pool, time_point now);
    static duration time_until_available(const limit_pool& pool, const limit_amounts& missing,
                                         time_point now);

    const limit_topology& topology_;
    boost::unordered_flat_map<std::string, std::unique_ptr<limit_pool>> pools_;
    std::vector<outgoing_message> outgoing_;
    std::vector<std::string> workspaces_with_loans_;
    std::uint64_t boot_;
    std::uint32_t next_number_ = 0;
};

} // namespace magnolia
