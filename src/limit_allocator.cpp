#include "limit_allocator.h"

#include "limit_amounts.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace magnolia {
namespace {

/// Shortest time between two rounds of borrowing for a workspace while it needs more.
constexpr std::chrono::milliseconds borrow_period{250};
/// Time between two renewals of borrowed slots while no more are needed.
constexpr std::chrono::milliseconds loan_renewal_period{1000};
/// Seconds of the demand above the zone's own rate that a round of borrowing covers.
constexpr double borrow_ahead_seconds = 0.5;
/// Time within which another zone is expected to answer a borrow request.
constexpr std::chrono::milliseconds borrow_timeout{100};
/// Time after a takeover in which every entry has reported its requests in progress to the new
/// allocator.
constexpr std::chrono::milliseconds takeover_report_time{4000};
/// Slots that an allocator grants an entry per demand during takeover_report_time, when it does not
/// know yet how many requests are in progress.
constexpr std::uint32_t takeover_slots = 1;
/// Time after which an entry's report of its demand is ignored.
constexpr std::chrono::milliseconds demand_report_ttl{2000};
/// Time without traffic after which a full pool is removed.
constexpr std::chrono::seconds idle_timeout{5};
/// Seconds of its own zone's demand that a lender does not lend.
constexpr double lender_reserve_seconds = 1.0;

double seconds(duration span) {
    return std::chrono::duration<double>(span).count();
}

/// Returns the first limit that is used up: concurrency, requests, prompt tokens, generated tokens.
limit_kind exhausted_limit(const limit_amounts& missing, bool has_no_slot) {
    if (has_no_slot) {
        return limit_kind::concurrency;
    }
    if (missing.requests > 0) {
        return limit_kind::requests;
    }
    if (missing.prompt > 0) {
        return limit_kind::prompt_tokens;
    }
    return missing.generated > 0 ? limit_kind::generated_tokens : limit_kind::none;
}

/// Level of a bucket that was empty at `emptied_at`.
double level_filled_since(const token_bucket& bucket, time_point emptied_at, time_point now) {
    return std::min(bucket.burst(), bucket.rate() * seconds(now - emptied_at));
}

} // namespace

limit_allocator::limit_pool& limit_allocator::find_or_create_pool(std::string_view workspace,
                                                                  const contract_limits& limits,
                                                                  time_point now) {
    const auto found = pools_.find(std::string{workspace});
    if (found != pools_.end()) {
        return *found->second;
    }
    auto created = std::make_unique<limit_pool>();
    created->role = topology_.role(workspace);
    created->allocating_since = topology_.role_since(workspace);
    configure(*created, workspace, limits, now);
    const auto taken_over_at = topology_.taken_over_at(workspace);
    for (auto* bucket : {&created->requests, &created->prompt, &created->generated}) {
        bucket->put(taken_over_at ? level_filled_since(*bucket, *taken_over_at, now)
                                  : bucket->burst(),
                    now);
    }
    return *pools_.emplace(std::string{workspace}, std::move(created)).first->second;
}

void limit_allocator::configure(limit_pool& pool, std::string_view workspace,
                                const contract_limits& limits, time_point now) const {
    const auto fraction = topology_.fraction(limits, pool.role);
    const auto rate = scaled(limits.rate, fraction);
    auto burst = scaled(limits.burst, fraction);
    if (pool.role != allocator_role::none) {
        // A request with the longest allowed answer must fit, however small this entry's share is.
        burst.requests = std::max(burst.requests, 1.0);
        burst.generated =
            std::max(burst.generated, static_cast<double>(limits.max_generated_tokens));
    }
    pool.requests.configure(rate.requests, burst.requests, now);
    pool.prompt.configure(rate.prompt, burst.prompt, now);
    pool.generated.configure(rate.generated, burst.generated, now);
    pool.slots = topology_.slots(workspace, limits, pool.role);
    pool.max_run_time = limits.max_run_time;
    pool.contract_rate = limits.rate;
}

void limit_allocator::reconfigure(std::string_view workspace, const contract_limits& limits,
                                  time_point now) {
    const auto found = pools_.find(std::string{workspace});
    if (found == pools_.end()) {
        return;
    }
    auto& pool = *found->second;
    const auto role = topology_.role(workspace);
    if (std::exchange(pool.role, role) != role) {
        clear_pool(pool, now);
    }
    configure(pool, workspace, limits, now);
}

void limit_allocator::clear_pool(limit_pool& pool, time_point now) {
    pool.allocating_since = now;
    pool.borrowed_amounts = {};
    pool.requests.clear(now);
    pool.prompt.clear(now);
    pool.generated.clear(now);
}

void limit_allocator::reset_after_pause(time_point now) {
    for (auto& [name, pool] : pools_) {
        clear_pool(*pool, now);
    }
}

std::optional<limit_grant> limit_allocator::on_demand(std::string_view from,
                                                      const limit_demand& message,
                                                      const contract_limits& limits,
                                                      time_point now) {
    auto& pool = find_or_create_pool(message.workspace, limits, now);
    auto& entry = pool.entries[std::string{from}];
    const bool is_same_boot = entry.boot == message.boot;
    if (is_same_boot && message.number <= entry.number) {
        return std::nullopt;
    }
    if (is_same_boot && message.lost == entry.number && entry.number != 0) {
        // The entry sent a new demand without having received that grant; it will not accept it.
        return_amounts(pool, entry.last_grant, now);
    }
    // Slots of earlier grants that the entry may still use: none after its restart, those of the
    // last grant if it has arrived, otherwise all that were charged.
    auto usable_slots = entry.charged_slots;
    if (!is_same_boot) {
        usable_slots = 0;
    } else if (message.received >= entry.number) {
        usable_slots = entry.granted_slots;
    }
    entry.boot = message.boot;
    entry.number = message.number;
    entry.last_grant = {};
    pool.last_used = now;
    expire_loans(pool, now);
    return_amounts(pool, message.returned, now);
    entry.demand = message.demand;
    entry.last_seen = now;

    limit_grant grant;
    grant.workspace = message.workspace;
    grant.number = message.number;
    grant.slots = grant_slots(pool, entry, message, usable_slots, now);
    const auto free_amounts = available(pool, now);
    const auto missing = excess(message.required, free_amounts);
    if (is_zero(missing)) {
        grant.granted = minimum(free_amounts, sum(message.required, message.prefetch));
        deduct(pool, grant.granted, now);
        entry.last_grant = grant.granted;
    }
    const auto missing_slots = message.slots - std::min(message.slots, grant.slots);
    borrow(pool, message.workspace, missing, missing_slots, now);
    const bool has_no_slot = message.slots > message.in_use && grant.slots <= message.in_use;
    grant.exhausted = exhausted_limit(missing, has_no_slot);
    grant.borrowing = grant.exhausted != limit_kind::none && now < pool.loans_expected_until;
    const auto wait =
        std::min<duration>(time_until_available(pool, missing, now), std::chrono::hours{1});
    grant.retry_after = std::chrono::ceil<std::chrono::milliseconds>(wait);
    return grant;
}

limit_amounts limit_allocator::zone_demand(const limit_pool& pool, time_point now) {
    limit_amounts total;
    for (const auto& [name, entry] : pool.entries) {
        total = now - entry.last_seen < demand_report_ttl ? sum(total, entry.demand) : total;
    }
    return minimum(total, pool.contract_rate);
}

void limit_allocator::return_amounts(limit_pool& pool, const limit_amounts& amounts,
                                     time_point now) {
    pool.requests.put(amounts.requests, now);
    pool.prompt.put(amounts.prompt, now);
    pool.generated.put(amounts.generated, now);
}

limit_amounts limit_allocator::available(const limit_pool& pool, time_point now) {
    return sum(pool.borrowed_amounts,
               {pool.requests.level(now), pool.prompt.level(now), pool.generated.level(now)});
}

void limit_allocator::deduct(limit_pool& pool, const limit_amounts& amounts, time_point now) {
    const auto from_loans = minimum(pool.borrowed_amounts, amounts);
    pool.borrowed_amounts = excess(pool.borrowed_amounts, from_loans);
    const auto remaining = excess(amounts, from_loans);
    pool.requests.take_up_to(remaining.requests, now);
    pool.prompt.take_up_to(remaining.prompt, now);
    pool.generated.take_up_to(remaining.generated, now);
}

void limit_allocator::expire_loans(limit_pool& pool, time_point now) {
    if (now >= pool.borrowed_amounts_until) {
        return_amounts(pool, std::exchange(pool.borrowed_amounts, {}), now);
    }
    std::erase_if(pool.lent, [&](const auto& item) { return now >= item.second.expires_at; });
    for (auto& [zone, borrowed] : pool.borrowed) {
        // No request that holds one of these slots can still run: stop reporting them as held.
        if (now >= borrowed.expires_at + grant_lease + pool.max_run_time) {
            borrowed.slots = 0;
        }
    }
    std::erase_if(pool.borrowed, [&](const auto& item) {
        return item.second.slots == 0 && now - item.second.requested_at >= grant_lease;
    });
}

duration limit_allocator::time_until_available(const limit_pool& pool, const limit_amounts& missing,
                                               time_point now) {
    const auto wait = [&](const token_bucket& bucket, double amount) {
        return amount > 0 ? bucket.wait_for(bucket.level(now) + amount, now) : duration{0};
    };
    return std::max({wait(pool.requests, missing.requests), wait(pool.prompt, missing.prompt),
                     wait(pool.generated, missing.generated)});
}

std::uint32_t limit_allocator::charged_slot_count(const limit_pool& pool, time_point now) const {
    std::uint32_t charged = 0;
    for (const auto& [name, entry] : pool.entries) {
        charged += now < entry.charged_until && !topology_.is_gone(name, entry.last_seen)
                       ? entry.charged_slots
                       : 0U;
    }
    return charged;
}

std::uint32_t limit_allocator::lent_slot_count(const limit_pool& pool) {
    return std::accumulate(pool.lent.begin(), pool.lent.end(), 0U,
                           [](auto sum, const auto& item) { return sum + item.second.slots; });
}

std::uint32_t limit_allocator::borrowed_slot_count(const limit_pool& pool) {
    return std::accumulate(pool.borrowed.begin(), pool.borrowed.end(), 0U,
                           [](auto sum, const auto& item) { return sum + item.second.slots; });
}

std::uint32_t limit_allocator::free_slot_count(const limit_pool& pool, time_point now) const {
    auto total = pool.slots;
    for (const auto& [zone, borrowed] : pool.borrowed) {
        total += now < borrowed.expires_at ? borrowed.slots : 0U;
    }
    const auto used = charged_slot_count(pool, now) + lent_slot_count(pool);
    return total - std::min(total, used);
}

std::uint32_t limit_allocator::grant_slots(limit_pool& pool, entry_state& entry,
                                           const limit_demand& message, std::uint32_t usable_slots,
                                           time_point now) {
    entry.charged_slots = message.in_use;
    entry.charged_until = now + grant_lease + pool.max_run_time;
    const auto wanted = message.slots - std::min(message.slots, message.in_use);
    const bool has_all_reports =
        topology_.is_alone() || now - pool.allocating_since >= takeover_report_time;
    const auto max_slots = has_all_reports ? wanted : std::min(wanted, takeover_slots);
    entry.granted_slots = message.in_use + std::min(max_slots, free_slot_count(pool, now));
    // Until this grant arrives, the entry may still start requests under an earlier one.
    entry.charged_slots = std::max(entry.granted_slots, std::min(message.slots, usable_slots));
    return entry.granted_slots;
}

void limit_allocator::borrow(limit_pool& pool, std::string_view workspace,
                             const limit_amounts& missing, std::uint32_t missing_slots,
                             time_point now) {
    const auto zones = topology_.other_zones();
    const bool has_need = !is_zero(missing) || missing_slots > 0;
    const auto borrowed_count = borrowed_slot_count(pool);
    const auto period = has_need ? borrow_period : loan_renewal_period;
    const bool is_early = pool.last_borrow_at && now - *pool.last_borrow_at < period;
    if (pool.role != allocator_role::primary || topology_.is_cut_off() || zones.empty() ||
        is_early || (!has_need && borrowed_count == 0)) {
        return;
    }
    pool.last_borrow_at = now;
    const auto zone_count = static_cast<std::uint32_t>(zones.size());
    const auto charged = charged_slot_count(pool, now) + lent_slot_count(pool) + missing_slots;
    // Slots that have to be borrowed to cover all that are in use or missing.
    const auto needed = charged - std::min(charged, pool.slots);
    auto surplus = borrowed_count - std::min(borrowed_count, needed);
    const auto more_per_zone =
        (needed - std::min(borrowed_count, needed) + zone_count - 1) / zone_count;
    const limit_amounts own_rate{pool.requests.rate(), pool.prompt.rate(), pool.generated.rate()};
    const auto demand_above_rate = excess(zone_demand(pool, now), own_rate);
    const auto wanted = sum(missing, scaled(demand_above_rate, borrow_ahead_seconds));
    for (const auto& zone : zones) {
        const auto lender = topology_.allocators(workspace, zone).primary;
        if (lender.empty()) {
            continue;
        }
        auto& borrowed = pool.borrowed[zone];
        const auto returned = std::min(borrowed.slots, surplus);
        surplus -= returned;
        const auto slots = borrowed.slots - returned + more_per_zone;
        const limit_borrow message{
            std::string{workspace},           ++next_number_, boot_,
            scaled(wanted, 1.0 / zone_count), slots,          borrowed.slots};
        borrowed = {lender, next_number_,       false, std::min(borrowed.slots, slots),
                    now,    borrowed.expires_at};
        outgoing_.push_back({lender, message});
    }
    if (has_need) {
        pool.loans_expected_until = now + borrow_timeout;
    }
}

std::optional<limit_loan> limit_allocator::on_borrow(std::string_view from,
                                                     const limit_borrow& message,
                                                     const contract_limits& limits,
                                                     time_point now) {
    auto& pool = find_or_create_pool(message.workspace, limits, now);
    expire_loans(pool, now);
    const auto key = std::string{from} + "/" + std::to_string(message.boot);
    auto& lent = pool.lent[key];
    if (message.number <= lent.number) {
        return std::nullopt;
    }
    pool.last_used = now;
    lent.number = message.number;
    // A former allocator of this zone may have lent slots that this one has no record of.
    lent.slots = std::max(lent.slots, message.held);
    const auto wanted = message.slots;
    const auto more = wanted - std::min(wanted, lent.slots);
    // A zone that has itself borrowed lends no further slots: slots must not be lent in a circle.
    const bool may_lend =
        (topology_.is_alone() || now - pool.allocating_since >= takeover_report_time) &&
        borrowed_slot_count(pool) == 0;
    const auto lendable = may_lend ? std::min(more, free_slot_count(pool, now)) : 0U;
    lent.slots = std::min(wanted, lent.slots) + lendable;
    lent.expires_at = now + 2 * grant_lease + pool.max_run_time;

    const auto spare =
        excess(available(pool, now), scaled(zone_demand(pool, now), lender_reserve_seconds));
    limit_loan loan{message.workspace, message.number, {}, lent.slots};
    if (pool.role == allocator_role::primary) {
        loan.granted = minimum(spare, message.wanted);
        deduct(pool, loan.granted, now);
    }
    return loan;
}

void limit_allocator::on_loan(std::string_view from, const limit_loan& message, time_point now) {
    const auto found = pools_.find(message.workspace);
    if (found == pools_.end()) {
        return;
    }
    auto& pool = *found->second;
    const auto borrowed = std::ranges::find_if(pool.borrowed, [&](const auto& item) {
        return item.second.lender == from && item.second.number == message.number;
    });
    if (borrowed == pool.borrowed.end() || std::exchange(borrowed->second.is_answered, true)) {
        return;
    }
    auto& record = borrowed->second;
    record.slots = message.slots;
    record.expires_at = record.requested_at + grant_lease;
    expire_loans(pool, now);
    pool.borrowed_amounts = sum(pool.borrowed_amounts, message.granted);
    pool.borrowed_amounts_until = now + grant_lease;
    if (!is_zero(message.granted) || message.slots > 0) {
        workspaces_with_loans_.push_back(message.workspace);
    }
}

void limit_allocator::evict_idle(time_point now) {
    boost::unordered::erase_if(pools_, [&](auto& item) {
        auto& pool = *item.second;
        if (now - pool.last_used < idle_timeout) {
            return false;
        }
        expire_loans(pool, now);
        borrow(pool, item.first, {}, 0, now);
        const bool is_full =
            pool.requests.is_full(now) && pool.prompt.is_full(now) && pool.generated.is_full(now);
        return is_full && pool.lent.empty() && pool.borrowed.empty() &&
               charged_slot_count(pool, now) == 0;
    });
}

std::vector<outgoing_message> limit_allocator::take_messages() {
    return std::exchange(outgoing_, {});
}

std::vector<std::string> limit_allocator::take_workspaces_with_loans() {
    return std::exchange(workspaces_with_loans_, {});
}

} // namespace magnolia
