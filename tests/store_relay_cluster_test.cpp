#include "gateway_cluster.h"
#include "store_watchers.h"

namespace magnolia {
namespace {

/// Hosts of one zone, so many that two of them watch the store for the others.
class store_relay_cluster : public gateway_cluster {
protected:
    static constexpr std::size_t host_count = 26;

    void start_hosts() {
        for (std::size_t host = 0; host < host_count; ++host) {
            start_gateway("g" + std::to_string(host));
        }
        wait_for_peers();
    }

    /// Waits until all hosts have read the list of hosts twice, and read from the watchers.
    void wait_for_steady_reads() {
        /// Two watchers of two kinds, for each of which a call or its wait counts once a second.
        constexpr std::uint64_t reads_per_second = 8;
        std::uint64_t before = 0;
        do {
            before = store_.model().counts().reads;
            const auto end = steady_now() + std::chrono::seconds{1};
            poll([end] { return steady_now() >= end; });
        } while (store_.model().counts().reads - before > reads_per_second);
    }

    void change_config() {
        put("routes", "main", R"({"version":)" + std::to_string(++version_) + "}");
        wait_for_metric("magnolia_config_version", version_);
    }

    /// Names of the running hosts that watch the store.
    std::vector<std::string> watchers() {
        std::vector<member_info> hosts;
        std::ranges::transform(gateways_, std::back_inserter(hosts), [](const auto& gateway) {
            return member_info{.name = gateway->settings().process.name, .zone = "z1"};
        });
        return store_watchers(hosts, "z1");
    }

    std::uint64_t version_ = 2;
};

// Pattern: each change woke a watch of each host, and each host called the store all the time.
TEST_F(store_relay_cluster, a_change_reaches_all_hosts_by_the_calls_of_two) {
    start_hosts();
    constexpr std::uint64_t changes = 20;
    /// Of a zone; each host by itself made one.
    constexpr std::uint64_t calls_per_change = 3;
    /// Watches that end without a change in the time that the changes take, and the list of blocked
    /// prompts that each host reads again ten seconds after its start.
    constexpr std::uint64_t other_calls = 14 + host_count;
    wait_for_steady_reads();
    const auto before = store_.model().counts().reads;
    for (std::uint64_t change = 0; change < changes; ++change) {
        change_config();
    }
    EXPECT_LE(store_.model().counts().reads - before, changes * calls_per_change + other_calls);
}

TEST_F(store_relay_cluster, the_hosts_that_remain_follow_when_both_watchers_have_ended) {
    start_hosts();
    const auto ended = watchers();
    ASSERT_EQ(ended.size(), 2U);
    for (const auto& name : ended) {
        const auto host = std::ranges::find(
            gateways_, name, [](const auto& gateway) { return gateway->settings().process.name; });
        (*host)->request_stop();
        poll([&] { return (*host)->has_ended(); });
        gateways_.erase(host);
    }
    change_config();
    EXPECT_EQ(watchers().size(), 2U);
    change_config();
}

} // namespace
} // namespace magnolia
