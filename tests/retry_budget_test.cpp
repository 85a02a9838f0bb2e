#include "retry_budget.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

constexpr time_point start{std::chrono::seconds{100}};
constexpr duration budget_period = std::chrono::seconds{10};

/// Number of sends that the budget allows in one period.
int sends_in_period(retry_budget& budget, time_point from) {
    int sends = 0;
    for (int ms = 0; ms < 10'000; ms += 10) {
        sends += budget.try_spend(1, from + std::chrono::milliseconds{ms}) ? 1 : 0;
    }
    return sends;
}

TEST(retry_budget, the_budget_shrinks_when_more_hosts_are_discovered) {
    constexpr double slack = 104;
    retry_budget budget{0.1, slack / 8, budget_period, 1};
    budget.set_reserve(slack / 76, start);
    // The remaining tokens and the refill: at most twice the reserve.
    EXPECT_LE(sends_in_period(budget, start), 2 * slack / 76 + 1);
}

TEST(retry_budget, the_sum_over_hosts_stays_within_the_slack) {
    constexpr double slack = 104;
    constexpr double granted_share = 0.4;
    constexpr int hosts = 8;
    int sends = 0;
    for (int host = 0; host < hosts; ++host) {
        retry_budget budget{0.1, slack * granted_share / hosts, budget_period, 1};
        sends += sends_in_period(budget, start);
    }
    EXPECT_LE(sends, slack);
}

} // namespace
} // namespace magnolia
