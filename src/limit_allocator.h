/// Allocates a zone's share of the limits to the entries of the zone, and exchanges unused shares
/// with other zones.
#pragma once

#include "limit_topology.h"
#include "outgoing_message.h"
#include "token_bucket.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <optional>

namespace magnolia {

/// Time for which granted amounts and slots may be used, counted from the sending of the demand.
inline constexpr std::chrono::milliseconds grant_lease{2000};

/// Token buckets and slots of the workspaces whose limits this entry allocates as primary or
/// standby. Owned by the limiter. Not thread-safe; does no I/O: outgoing messages are collected
/// until take_messages().
///
/// Entries of the zone send demands, which are answered with grants (on_demand()). If the zone's
/// share is used up, the primary borrows from the primaries of the other zones; they lend what
/// their own zones do not need (on_borrow(), on_loan()). Grants and loans are leases. Slots of a
/// holder that no longer answers become free once no request that holds one can still run, or once
/// the entry is gone; its unused amounts are not recovered, the buckets refill instead. A workspace
/// has a pool only while it has traffic.
class limit_allocator {
public:
    /// @param topology  must outlive the allocator.
    /// @param boot      random number that identifies this run of the process.
    limit_allocator(const limit_topology& topology, std::uint64_t boot)
        : topology_{topology}, boot_{boot} {}

    /// Grants what is free and starts borrowing from other zones if that is not enough.
    /// Returns nothing for a duplicate or outdated demand.
    [[nodiscard]] std::optional<limit_grant> on_demand(std::string_view from,
                                                       const limit_demand& message,
                                                       const contract_limits& limits,
                                                       time_point now);
    /// Lends amounts and slots that the own zone does not need. `message.slots` is the total that
    /// the borrower wants to hold, so a smaller number than before returns slots. Returns nothing
    /// for a duplicate or outdated request.
    [[nodiscard]] std::optional<limit_loan> on_borrow(std::string_view from,
                                                      const limit_borrow& message,
                                                      const contract_limits& limits,
                                                      time_point now);
    /// Adds a loan to the pool. Ignored unless it answers the last request to that lender.
    void on_loan(std::string_view from, const limit_loan& message, time_point now);
    /// Applies new contract limits, or the current topology, to the workspace's pool. A pool whose
    /// role changed is emptied.
    void reconfigure(std::string_view workspace, const contract_limits& limits, time_point now);
    /// Empties all pools after a pause of the process: other entries may have granted the same
    /// amounts meanwhile.
    void reset_after_pause(time_point now);
    /// Removes pools that are unused, full, and without loans or slots in use.
    void evict_idle(time_point now);

    /// Returns and clears the messages to be sent.
    [[nodiscard]] std::vector<outgoing_message> take_messages();
    /// Returns the workspaces that received a loan since the last call.
    [[nodiscard]] std::vector<std::string> take_workspaces_with_loans();
    /// Number of pools.
    [[nodiscard]] std::size_t size() const { return pools_.size(); }

private:
    /// Grants to one entry of the zone.
    struct entry_state {
        /// Run of the entry's process and number of its last demand.
        std::uint64_t boot = 0;
        std::uint32_t number = 0;
        limit_amounts last_grant;
        /// Demand per second, reported with the last demand.
        limit_amounts demand;
        time_point last_seen{};
        /// Slots of the last grant.
        std::uint32_t granted_slots = 0;
        /// Slots counted as used by the entry: those of the last grant, or of an earlier grant that
        /// the entry may still use.
        std::uint32_t charged_slots = 0;
        /// Time after which no request that holds one of these slots can still run.
        time_point charged_until{};
    };
    /// Slots lent to another zone. They count as used until `expires_at`, when no request that
    /// holds one can still run.
    struct slot_loan {
        std::uint32_t number = 0;
        std::uint32_t slots = 0;
        time_point expires_at{};
    };
    /// Slots borrowed from another zone. New requests may use them until `expires_at`; the record
    /// stays while requests that hold one may still run, so that a renewal reports them.
    struct borrowed_slots {
        /// Primary allocator of the lending zone, and number of the last request to it.
        std::string lender;
        std::uint32_t number = 0;
        bool is_answered = true;
        std::uint32_t slots = 0;
        time_point requested_at{};
        time_point expires_at{};
    };
    /// What this entry may grant of one workspace's limits, and to whom it has granted it.
    struct limit_pool {
        allocator_role role = allocator_role::none;
        token_bucket requests;
        token_bucket prompt;
        token_bucket generated;
        /// Own slots, without borrowed ones.
        std::uint32_t slots = 0;
        /// Time since which this entry has had its role without a pause of the process.
        time_point allocating_since{};
        duration max_run_time{0};
        /// Rate per second of the contract over all zones.
        limit_amounts contract_rate;
        std::map<std::string, entry_state, std::less<>> entries;
        /// By "name/boot" of the borrowing primary.
        std::map<std::string, slot_loan, std::less<>> lent;
        /// By the lending zone.
        std::map<std::string, borrowed_slots, std::less<>> borrowed;
        /// Amounts borrowed from other zones and not yet granted.
        limit_amounts borrowed_amounts;
        time_point borrowed_amounts_until{};
        std::optional<time_point> last_borrow_at;
        /// Time until which loans for the last round of borrowing are expected.
        time_point loans_expected_until{};
        time_point last_used{};
    };

    /// Returns the pool of a workspace. A new pool starts full, or with what has accumulated since
    /// the last takeover.
    limit_pool& find_or_create_pool(std::string_view workspace, const contract_limits& limits,
                                    time_point now);
    /// Sets rates, bursts and slots from the contract, the topology and the pool's role.
    void configure(limit_pool& pool, std::string_view workspace, const contract_limits& limits,
                   time_point now) const;
    /// Requests missing amounts and slots from the other zones in equal parts, and renews or
    /// returns slots on loan. Does nothing if this entry is not the primary, its zone is cut off,
    /// or the last round is too recent.
    void borrow(limit_pool& pool, std::string_view workspace, const limit_amounts& missing,
                std::uint32_t missing_slots, time_point now);
    /// Slots that entries of the own zone hold or may still use.
    [[nodiscard]] std::uint32_t charged_slot_count(const limit_pool& pool, time_point now) const;
    /// Slots lent to other zones.
    [[nodiscard]] static std::uint32_t lent_slot_count(const limit_pool& pool);
    /// Slots on loan from other zones, expired ones included.
    [[nodiscard]] static std::uint32_t borrowed_slot_count(const limit_pool& pool);
    /// Own and unexpired borrowed slots that are neither charged nor lent.
    [[nodiscard]] std::uint32_t free_slot_count(const limit_pool& pool, time_point now) const;
    /// Updates the slots charged to an entry and returns the slots granted to it.
    /// @param usable_slots  slots of earlier grants that the entry may still use.
    std::uint32_t grant_slots(limit_pool& pool, entry_state& entry, const limit_demand& message,
                              std::uint32_t usable_slots, time_point now);

    /// Empties the buckets of a pool, drops its borrowed amounts and sets allocating_since. What
    /// the former allocator had left is unknown, so nothing is assumed to be left.
    static void clear_pool(limit_pool& pool, time_point now);
    /// Demand of the own zone per second, from recent reports; at most the contract's rate.
    static limit_amounts zone_demand(const limit_pool& pool, time_point now);
    /// Adds amounts to the buckets, up to their bursts.
    static void return_amounts(limit_pool& pool, const limit_amounts& amounts, time_point now);
    /// Amounts that can be granted now: borrowed ones and the levels of the buckets.
    static limit_amounts available(const limit_pool& pool, time_point now);
    /// Takes amounts from the borrowed ones first, then from the buckets.
    static void deduct(limit_pool& pool, const limit_amounts& amounts, time_point now);
    /// Drops lent and borrowed slots that no running request can hold any more, and adds borrowed
    /// amounts whose lease has ended to the own buckets.
    static void expire_loans(limit_pool& pool, time_point now);
    /// Time until the buckets have filled by the missing amounts.
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
