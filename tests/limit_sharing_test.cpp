#include "limit_sharing.h"
#include "stated_terms.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};

std::vector<std::string> host_names(std::size_t count) {
    std::vector<std::string> names;
    for (std::size_t index = 0; index < count; ++index) {
        names.push_back("host" + std::to_string(index));
    }
    return names;
}

TEST(limit_sharing, the_parts_of_all_hosts_are_the_limit) {
    for (const std::size_t count : {1U, 3U, 8U, 76U, 380U}) {
        const auto hosts = host_names(count);
        for (const auto limit : {0.5, 1.0, 2.5, 8.0, 100.0}) {
            double sum = 0;
            double users = 0;
            for (const auto& host : hosts) {
                const auto share = limit_share(limit, "b1", host, hosts);
                sum += share;
                users += share > 0 ? 1 : 0;
            }
            EXPECT_NEAR(sum, limit, 1e-6) << count;
            EXPECT_LE(users, std::max(limit, 1.0)) << count;
        }
    }
}

TEST(limit_sharing, a_server_that_wants_no_requests_is_tried_rarely) {
    EXPECT_GT(limit_share(0, "b1", "host0", host_names(1)), 0);
    EXPECT_LE(limit_share(0, "b1", "host0", host_names(1)), 0.1);
}

TEST(limit_sharing, a_host_that_knows_no_others_uses_the_whole_limit) {
    EXPECT_EQ(limit_share(5, "b1", "host0", {}), 5);
}

TEST(limit_sharing, servers_are_divided_over_the_hosts) {
    const auto hosts = host_names(8);
    std::size_t used = 0;
    for (int server = 0; server < 64; ++server) {
        used += limit_share(1, "b" + std::to_string(server), "host3", hosts) > 0 ? 1 : 0;
    }
    EXPECT_GE(used, 2U);
    EXPECT_LE(used, 20U);
}

/// Hosts that all have more requests than a limited server takes. They learn of the limit and of
/// the loss of a host at different times.
class limited_hosts : public testing::TestWithParam<std::uint64_t> {
protected:
    static constexpr duration step = 5ms;
    static constexpr duration contact_time = 3s;
    static constexpr duration window = 4s;
    static constexpr duration run_time = 30s;
    static constexpr duration loss_at = 12s;

    duration random_time(duration longest) {
        return duration{std::uniform_int_distribution<duration::rep>{0, longest.count()}(random_)};
    }

    /// Most requests in a window, of hosts that had been told the limit, after the contact time.
    std::size_t most_requests(std::size_t host_count, double limit) {
        auto names = host_names(host_count);
        const auto lost = names[random_() % host_count];
        auto survivors = names;
        std::erase(survivors, lost);
        std::vector<stated_terms> terms(host_count);
        std::vector<time_point> told_at(host_count);
        std::vector<time_point> noticed_at(host_count);
        for (std::size_t host = 0; host < host_count; ++host) {
            told_at[host] = start + random_time(500ms);
            noticed_at[host] = start + loss_at + random_time(2500ms);
        }
        std::vector<time_point> sent;
        for (auto now = start; now < start + run_time; now += step) {
            for (std::size_t host = 0; host < host_count; ++host) {
                const bool is_gone = names[host] == lost && now >= start + loss_at;
                if (now < told_at[host] || is_gone) {
                    continue;
                }
                if (terms[host].set_limit(limit, now, now) || noticed_at[host] <= now) {
                    noticed_at[host] =
                        noticed_at[host] <= now ? time_point::max() : noticed_at[host];
                    const bool has_noticed = noticed_at[host] == time_point::max();
                    const auto& known = has_noticed ? survivors : names;
                    terms[host].set_share(limit_share(limit, "b1", names[host], known), now);
                }
                if (terms[host].admits(0, now)) {
                    terms[host].on_sent(now);
                    sent.push_back(now);
                }
            }
        }
        std::size_t most = 0;
        for (const auto last : sent) {
            const auto begin = std::max(last - window, start + contact_time);
            most = std::max(most, static_cast<std::size_t>(std::ranges::count_if(
                                      sent, [&](auto at) { return at > begin && at <= last; })));
        }
        return most;
    }

    std::mt19937_64 random_{GetParam()};
};

// Incident LIMIT: each host sent as if it were alone.
TEST_P(limited_hosts, keep_the_bound_together) {
    for (const std::size_t hosts : {3U, 8U, 76U}) {
        for (const auto limit : {0.5, 1.0, 3.0, 20.0}) {
            const auto allowed = static_cast<std::size_t>(limit * 4 * 1.5 + 5);
            EXPECT_LE(most_requests(hosts, limit), allowed) << hosts << " hosts, " << limit;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, limited_hosts, testing::Range<std::uint64_t>(1, 21));

} // namespace
} // namespace magnolia
