#include "service_reach.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};

class service_reach_test : public testing::Test {
protected:
    /// Connections to these servers of "llm" fail, of which there are 18.
    bool fail_connections(const std::vector<std::string>& backends, time_point now = start) {
        bool has_changed = false;
        for (const auto& backend : backends) {
            has_changed = reach_.on_connection_failed("llm", backend, 18, now) || has_changed;
        }
        return has_changed;
    }

    service_reach reach_;
};

// Incident RECOVER: a host did not know that it had lost its links to all servers.
TEST_F(service_reach_test, several_servers_in_a_row_make_a_service_unreachable) {
    EXPECT_FALSE(fail_connections({"a", "b"}));
    EXPECT_FALSE(reach_.is_unreachable("llm"));
    EXPECT_TRUE(fail_connections({"c"}));
    EXPECT_TRUE(reach_.is_unreachable("llm"));
    EXPECT_FALSE(fail_connections({"d"}));
    EXPECT_EQ(reach_.unreachable(), std::vector<std::string>{"llm"});
}

TEST_F(service_reach_test, one_server_that_has_ended_is_not_enough) {
    EXPECT_FALSE(fail_connections({"a", "a", "a", "a"}));
    EXPECT_FALSE(reach_.is_unreachable("llm"));
}

TEST_F(service_reach_test, a_success_between_the_failures_ends_the_suspicion) {
    fail_connections({"a", "b"});
    EXPECT_FALSE(reach_.on_connected("llm"));
    EXPECT_FALSE(fail_connections({"c", "d"}));
}

TEST_F(service_reach_test, failures_long_ago_do_not_count) {
    fail_connections({"a", "b"});
    EXPECT_FALSE(fail_connections({"c"}, start + 3s));
    EXPECT_TRUE(reach_.suspected(start + 6s).empty());
}

TEST_F(service_reach_test, a_service_with_one_server_needs_only_that) {
    EXPECT_TRUE(reach_.on_connection_failed("desk", "a", 1, start));
    EXPECT_FALSE(reach_.is_unreachable("llm"));
}

// A cut reset a request at one of three servers and refused connections to the others. The host
// tried those again instead of passing the request on.
TEST_F(service_reach_test, a_broken_connection_counts_if_all_other_servers_have_failed) {
    EXPECT_FALSE(reach_.on_connection_broken("desk", "a", 3, start));
    EXPECT_TRUE(reach_.suspected(start).empty());
    EXPECT_FALSE(reach_.on_connection_failed("desk", "b", 3, start));
    EXPECT_TRUE(reach_.on_connection_failed("desk", "c", 3, start));
}

TEST_F(service_reach_test, broken_connections_alone_prove_nothing) {
    for (const auto* backend : {"a", "b", "c"}) {
        EXPECT_FALSE(reach_.on_connection_broken("desk", backend, 3, start));
    }
    EXPECT_FALSE(reach_.on_connection_failed("desk", "a", 3, start));
    EXPECT_FALSE(reach_.on_connection_broken("single", "a", 1, start));
    EXPECT_FALSE(reach_.on_connection_broken("desk", "c", 3, start + 1s));
    EXPECT_FALSE(reach_.on_connection_failed("desk", "b", 3, start + 4s));
}

TEST_F(service_reach_test, one_connection_makes_it_reachable) {
    fail_connections({"a", "b", "c"});
    EXPECT_EQ(reach_.suspected(start + 1h).size(), 1U);
    EXPECT_TRUE(reach_.on_connected("llm"));
    EXPECT_FALSE(reach_.is_unreachable("llm"));
    EXPECT_TRUE(reach_.unreachable().empty());
}

} // namespace
} // namespace magnolia
