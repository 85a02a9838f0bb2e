#include "limit_keeper.h"

#include "limit_amounts.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace magnolia {
namespace {

/// Time between two rounds of borrowing for a workspace.
constexpr std::chrono::milliseconds borrow_period{250};
/// Time between two renewals of slots on loan.
constexpr std::chrono::milliseconds renew_period{1000};
/// Demand of the own zone that a round of borrowing covers.
constexpr double borrow_ahead_seconds = 0.5;
/// Time within which an asked zone answers.
constexpr std::chrono::milliseconds borrow_timeout{100};
/// Time in which every entry has reported its requests under way to a new keeper.
constexpr std::chrono::milliseconds report_time{4000};
/// Slots that a keeper grants at once before it knows what is under way.
constexpr std::uint32_t unsettled_slots = 1;
/// Time for which a report of demand counts.
constexpr std::chrono::milliseconds demand_memory{2000};
/// Time without traffic after which a full pool is forgotten.
constexpr std::chrono::seconds idle_time{5};
/// Demand that a lender keeps back for its own zone.
constexpr double lender_reserve_seconds = 1.0;

double seconds(duration span) {
    return std::chrono::duration<double>(span).count();
}

limit_kind lacking(const limit_amounts& missing, bool has_no_slot) {
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

/// Level of a bucket that is taken to have been empty at a moment.
double level_since(const token_bucket& bucket, time_point emptied, time_point now) {
    return std::min(bucket.burst(), bucket.rate() * seconds(now - emptied));
}

} // namespace

limit_keeper::pool& limit_keeper::pool_of(std::string_view workspace, const contract_limits& limits,
                                          time_point now) {
    const auto found = pools_.find(std::string{workspace});
    if (found != pools_.end()) {
        return *found->second;
    }
    auto fresh = std::make_unique<pool>();
    fresh->role = view_.role(workspace);
    fresh->since = view_.since(workspace);
    configure(*fresh, workspace, limits, now);
    const auto emptied = view_.emptied(workspace);
    for (auto* bucket : {&fresh->requests, &fresh->prompt, &fresh->generated}) {
        bucket->put(emptied ? level_since(*bucket, *emptied, now) : bucket->burst(), now);
    }
    return *pools_.emplace(std::string{workspace}, std::move(fresh)).first->second;
}

void limit_keeper::configure(pool& kept, std::string_view workspace, const contract_limits& limits,
                             time_point now) const {
    const auto part = view_.part(limits, kept.role);
    const auto rate = scaled(limits.rate, part);
    auto burst = scaled(limits.burst, part);
    if (kept.role != keeper_role::none) {
        // One request of the longest answer fits, however small the part.
        burst.requests = std::max(burst.requests, 1.0);
        burst.generated =
            std::max(burst.generated, static_cast<double>(limits.max_generated_tokens));
    }
    kept.requests.configure(rate.requests, burst.requests, now);
    kept.prompt.configure(rate.prompt, burst.prompt, now);
    kept.generated.configure(rate.generated, burst.generated, now);
    kept.slots = view_.slots(workspace, limits, kept.role);
    kept.longest_finish = limits.longest_finish;
    kept.whole_rate = limits.rate;
}

void limit_keeper::reconfigure(std::string_view workspace, const contract_limits& limits,
                               time_point now) {
    const auto found = pools_.find(std::string{workspace});
    if (found == pools_.end()) {
        return;
    }
    auto& kept = *found->second;
    const auto role = view_.role(workspace);
    if (std::exchange(kept.role, role) != role) {
        empty(kept, now);
    }
    configure(kept, workspace, limits, now);
}

void limit_keeper::empty(pool& kept, time_point now) {
    kept.since = now;
    kept.loaned = {};
    kept.requests.clear(now);
    kept.prompt.clear(now);
    kept.generated.clear(now);
}

void limit_keeper::restart(time_point now) {
    for (auto& [name, kept] : pools_) {
        empty(*kept, now);
    }
}

std::optional<limit_grant> limit_keeper::on_demand(std::string_view from,
                                                   const limit_demand& message,
                                                   const contract_limits& limits, time_point now) {
    auto& kept = pool_of(message.workspace, limits, now);
    auto& to = kept.clients[std::string{from}];
    const bool is_same = to.boot == message.boot;
    if (is_same && message.number <= to.number) {
        return std::nullopt;
    }
    if (is_same && message.lost == to.number && to.number != 0) {
        // The entry has asked again and takes no earlier grant any more.
        put(kept, to.last_grant, now);
    }
    auto limit = to.slots;
    if (!is_same) {
        limit = 0;
    } else if (message.received >= to.number) {
        limit = to.granted_slots;
    }
    to.boot = message.boot;
    to.number = message.number;
    to.last_grant = {};
    kept.used = now;
    expire_loans(kept, now);
    put(kept, message.returned, now);
    to.demand = message.demand;
    to.heard = now;

    limit_grant grant;
    grant.workspace = message.workspace;
    grant.number = message.number;
    grant.slots = grant_slots(kept, to, message, limit, now);
    const auto there = available(kept, now);
    const auto missing = excess(message.wanted, there);
    if (is_zero(missing)) {
        grant.granted = least(there, sum(message.wanted, message.extra));
        take(kept, grant.granted, now);
        to.last_grant = grant.granted;
    }
    const auto missing_slots = message.slots - std::min(message.slots, grant.slots);
    borrow(kept, message.workspace, missing, missing_slots, now);
    const bool has_no_slot = message.slots > message.in_use && grant.slots <= message.in_use;
    grant.lacking = lacking(missing, has_no_slot);
    grant.borrowing = grant.lacking != limit_kind::none && now < kept.borrow_until;
    const auto wait = std::min<duration>(wait_for(kept, missing, now), std::chrono::hours{1});
    grant.retry_after = std::chrono::ceil<std::chrono::milliseconds>(wait);
    return grant;
}

limit_amounts limit_keeper::demand_of(const pool& kept, time_point now) {
    limit_amounts all;
    for (const auto& [name, each] : kept.clients) {
        all = now - each.heard < demand_memory ? sum(all, each.demand) : all;
    }
    return least(all, kept.whole_rate);
}

void limit_keeper::put(pool& kept, const limit_amounts& amounts, time_point now) {
    kept.requests.put(amounts.requests, now);
    kept.prompt.put(amounts.prompt, now);
    kept.generated.put(amounts.generated, now);
}

limit_amounts limit_keeper::available(const pool& kept, time_point now) {
    return sum(kept.loaned,
               {kept.requests.level(now), kept.prompt.level(now), kept.generated.level(now)});
}

void limit_keeper::take(pool& kept, const limit_amounts& amounts, time_point now) {
    const auto from_loans = least(kept.loaned, amounts);
    kept.loaned = excess(kept.loaned, from_loans);
    const auto rest = excess(amounts, from_loans);
    kept.requests.take_up_to(rest.requests, now);
    kept.prompt.take_up_to(rest.prompt, now);
    kept.generated.take_up_to(rest.generated, now);
}

void limit_keeper::expire_loans(pool& kept, time_point now) {
    if (now >= kept.loaned_until) {
        put(kept, std::exchange(kept.loaned, {}), now);
    }
    std::erase_if(kept.lent, [&](const auto& item) { return now >= item.second.until; });
    for (auto& [zone, held] : kept.held) {
        // No request can run under these slots any more, so they are not claimed again.
        if (now >= held.until + grant_lease + kept.longest_finish) {
            held.slots = 0;
        }
    }
    std::erase_if(kept.held, [&](const auto& item) {
        return item.second.slots == 0 && now - item.second.asked >= grant_lease;
    });
}

duration limit_keeper::wait_for(const pool& kept, const limit_amounts& missing, time_point now) {
    const auto wait = [&](const token_bucket& bucket, double amount) {
        return amount > 0 ? bucket.wait_for(bucket.level(now) + amount, now) : duration{0};
    };
    return std::max({wait(kept.requests, missing.requests), wait(kept.prompt, missing.prompt),
                     wait(kept.generated, missing.generated)});
}

std::uint32_t limit_keeper::charged_slots(const pool& kept, time_point now) const {
    std::uint32_t charged = 0;
    for (const auto& [name, each] : kept.clients) {
        charged += now < each.slots_until && !view_.is_gone(name, each.heard) ? each.slots : 0U;
    }
    return charged;
}

std::uint32_t limit_keeper::lent_slots(const pool& kept) {
    return std::accumulate(kept.lent.begin(), kept.lent.end(), 0U,
                           [](auto sum, const auto& item) { return sum + item.second.slots; });
}

std::uint32_t limit_keeper::held_slots_of(const pool& kept) {
    return std::accumulate(kept.held.begin(), kept.held.end(), 0U,
                           [](auto sum, const auto& item) { return sum + item.second.slots; });
}

std::uint32_t limit_keeper::free_slots(const pool& kept, time_point now) const {
    auto all = kept.slots;
    for (const auto& [name, each] : kept.held) {
        all += now < each.until ? each.slots : 0U;
    }
    const auto used = charged_slots(kept, now) + lent_slots(kept);
    return all - std::min(all, used);
}

std::uint32_t limit_keeper::grant_slots(pool& kept, client& to, const limit_demand& message,
                                        std::uint32_t limit, time_point now) {
    to.slots = message.in_use;
    to.slots_until = now + grant_lease + kept.longest_finish;
    const auto wanted = message.slots - std::min(message.slots, message.in_use);
    const bool is_settled = view_.is_alone() || now - kept.since >= report_time;
    const auto most = is_settled ? wanted : std::min(wanted, unsettled_slots);
    to.granted_slots = message.in_use + std::min(most, free_slots(kept, now));
    // Until the grant arrives the entry may fill what it was granted before.
    to.slots = std::max(to.granted_slots, std::min(message.slots, limit));
    return to.granted_slots;
}

void limit_keeper::borrow(pool& kept, std::string_view workspace, const limit_amounts& missing,
                          std::uint32_t missing_slots, time_point now) {
    const auto zones = view_.other_zones();
    const bool has_need = !is_zero(missing) || missing_slots > 0;
    const auto on_loan = held_slots_of(kept);
    const auto period = has_need ? borrow_period : renew_period;
    const bool is_early = kept.borrowed_at && now - *kept.borrowed_at < period;
    if (kept.role != keeper_role::keeper || view_.is_cut_off() || zones.empty() || is_early ||
        (!has_need && on_loan == 0)) {
        return;
    }
    kept.borrowed_at = now;
    const auto count = static_cast<std::uint32_t>(zones.size());
    const auto charged = charged_slots(kept, now) + lent_slots(kept) + missing_slots;
    const auto needed = charged - std::min(charged, kept.slots);
    auto surplus = on_loan - std::min(on_loan, needed);
    const auto more = (needed - std::min(on_loan, needed) + count - 1) / count;
    const limit_amounts own_rate{kept.requests.rate(), kept.prompt.rate(), kept.generated.rate()};
    const auto coming = excess(demand_of(kept, now), own_rate);
    const auto wanted = sum(missing, scaled(coming, borrow_ahead_seconds));
    for (const auto& zone : zones) {
        const auto lender = view_.keepers(workspace, zone).keeper;
        if (lender.empty()) {
            continue;
        }
        auto& held = kept.held[zone];
        const auto returned = std::min(held.slots, surplus);
        surplus -= returned;
        const auto slots = held.slots - returned + more;
        const limit_borrow message{std::string{workspace},      ++next_number_, boot_,
                                   scaled(wanted, 1.0 / count), slots,          held.slots};
        held = {lender, next_number_, false, std::min(held.slots, slots), now, held.until};
        outgoing_.push_back({lender, message});
    }
    if (has_need) {
        kept.borrow_until = now + borrow_timeout;
    }
}

std::optional<limit_loan> limit_keeper::on_borrow(std::string_view from,
                                                  const limit_borrow& message,
                                                  const contract_limits& limits, time_point now) {
    auto& kept = pool_of(message.workspace, limits, now);
    expire_loans(kept, now);
    const auto key = std::string{from} + "/" + std::to_string(message.boot);
    auto& lent = kept.lent[key];
    if (message.number <= lent.number) {
        return std::nullopt;
    }
    kept.used = now;
    lent.number = message.number;
    // Another keeper of this zone may have lent slots meanwhile.
    lent.slots = std::max(lent.slots, message.held);
    const auto wanted = message.slots;
    const auto more = wanted - std::min(wanted, lent.slots);
    // A zone that has borrowed itself lends nothing more, so that no slots go in circles.
    const bool may_lend =
        (view_.is_alone() || now - kept.since >= report_time) && held_slots_of(kept) == 0;
    const auto lendable = may_lend ? std::min(more, free_slots(kept, now)) : 0U;
    lent.slots = std::min(wanted, lent.slots) + lendable;
    lent.until = now + 2 * grant_lease + kept.longest_finish;

    const auto spare =
        excess(available(kept, now), scaled(demand_of(kept, now), lender_reserve_seconds));
    limit_loan loan{message.workspace, message.number, {}, lent.slots};
    if (kept.role == keeper_role::keeper) {
        loan.granted = least(spare, message.wanted);
        take(kept, loan.granted, now);
    }
    return loan;
}

void limit_keeper::on_loan(std::string_view from, const limit_loan& message, time_point now) {
    const auto kept = pools_.find(message.workspace);
    if (kept == pools_.end()) {
        return;
    }
    auto& borrower = *kept->second;
    const auto held = std::ranges::find_if(borrower.held, [&](const auto& item) {
        return item.second.lender == from && item.second.number == message.number;
    });
    if (held == borrower.held.end() || std::exchange(held->second.is_answered, true)) {
        return;
    }
    auto& slots = held->second;
    slots.slots = message.slots;
    slots.until = slots.asked + grant_lease;
    expire_loans(borrower, now);
    borrower.loaned = sum(borrower.loaned, message.granted);
    borrower.loaned_until = now + grant_lease;
    if (!is_zero(message.granted) || message.slots > 0) {
        loaned_.push_back(message.workspace);
    }
}

void limit_keeper::forget_idle(time_point now) {
    boost::unordered::erase_if(pools_, [&](auto& item) {
        auto& kept = *item.second;
        if (now - kept.used < idle_time) {
            return false;
        }
        expire_loans(kept, now);
        borrow(kept, item.first, {}, 0, now);
        const bool is_full =
            kept.requests.is_full(now) && kept.prompt.is_full(now) && kept.generated.is_full(now);
        return is_full && kept.lent.empty() && kept.held.empty() && charged_slots(kept, now) == 0;
    });
}

std::vector<outgoing_message> limit_keeper::take_messages() {
    return std::exchange(outgoing_, {});
}

std::vector<std::string> limit_keeper::take_loaned() {
    return std::exchange(loaned_, {});
}

} // namespace magnolia
