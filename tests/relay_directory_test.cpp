#include "relay_directory.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};

class relay_directory_test : public testing::Test {
protected:
    static placement_update digest_of(const std::string& host, const std::string& zone = "z1") {
        placement_update digest;
        digest.sender = host;
        digest.is_digest = true;
        digest.zone = zone;
        digest.takes_relayed = true;
        return digest;
    }

    void receive(const placement_update& digest, time_point now = start) {
        directory_.on_digest(digest, {"127.0.0.1", 1}, now);
    }

    std::string choose(const std::vector<std::string>& tried = {}, time_point now = start) {
        const auto host = directory_.choose("llm", tried, now, random_);
        return host ? host->name : "none";
    }

    relay_directory directory_{"z1"};
    std::mt19937_64 random_{1};
};

TEST_F(relay_directory_test, hosts_that_do_not_reach_the_service_are_not_chosen) {
    auto cut = digest_of("a");
    cut.unreachable = {"llm"};
    receive(cut);
    auto other = digest_of("b");
    other.unreachable = {"desk"};
    receive(other);
    for (int round = 0; round < 20; ++round) {
        EXPECT_EQ(choose(), "b");
    }
}

TEST_F(relay_directory_test, hosts_that_stop_or_are_full_or_silent_are_not_chosen) {
    auto full = digest_of("a");
    full.takes_relayed = false;
    receive(full);
    EXPECT_EQ(choose(), "none");
    receive(digest_of("b"));
    EXPECT_EQ(choose({}, start + 1s), "b");
    EXPECT_EQ(choose({}, start + 2s), "none");
    EXPECT_TRUE(directory_.is_alive("b", start + 2s));
    EXPECT_FALSE(directory_.is_alive("b", start + 3s));
}

// A host of an older release does not know relayed requests.
TEST_F(relay_directory_test, hosts_that_tell_nothing_of_relays_are_not_chosen) {
    placement_update digest;
    digest.sender = "old";
    digest.is_digest = true;
    receive(digest);
    EXPECT_EQ(choose(), "none");
}

TEST_F(relay_directory_test, a_host_that_refused_is_left_out_for_a_moment) {
    receive(digest_of("a"));
    directory_.on_refused("a", start);
    EXPECT_EQ(choose(), "none");
    EXPECT_EQ(choose({}, start + 600ms), "a");
    EXPECT_EQ(choose({"a"}, start + 600ms), "none");
}

TEST_F(relay_directory_test, the_less_loaded_host_and_the_own_zone_are_preferred) {
    auto busy = digest_of("a");
    busy.open_requests = 20;
    receive(busy);
    receive(digest_of("b", "z2"));
    EXPECT_EQ(choose(), "b");
    receive(digest_of("a"));
    EXPECT_EQ(choose(), "a");
}

// Hosts that are cut together must not all send to the same one.
TEST_F(relay_directory_test, requests_are_spread_between_two_digests) {
    for (const auto* host : {"a", "b", "c"}) {
        receive(digest_of(host));
    }
    std::map<std::string, int> chosen;
    for (int request = 0; request < 90; ++request) {
        ++chosen[choose()];
    }
    for (const auto& [host, count] : chosen) {
        EXPECT_GE(count, 20) << host;
        EXPECT_LE(count, 40) << host;
    }
    EXPECT_EQ(chosen.size(), 3U);
}

} // namespace
} // namespace magnolia
