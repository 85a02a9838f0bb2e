#include "route_table.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

routing_config sample_config() {
    routing_config config;
    const auto add = [&](const std::string& name, const std::string& host,
                         const std::string& prefix) {
        route_info route;
        route.name = name;
        route.host = host;
        route.path_prefix = prefix;
        config.routes.push_back(route);
    };
    add("root", "a.example", "/");
    add("short", "a.example", "/x/");
    add("long", "a.example", "/x/y/");
    add("other", "b.example", "/x/");
    config.workspaces = {{"w1", {"k1", "k2"}}, {"w2", {"k3"}}};
    return config;
}

TEST(route_table, the_longest_prefix_of_the_host_wins) {
    const route_table table{sample_config()};
    EXPECT_EQ(table.find_route("a.example", "/x/y/z")->name, "long");
    EXPECT_EQ(table.find_route("A.Example:8080", "/x/z")->name, "short");
    EXPECT_EQ(table.find_route("a.example", "/x")->name, "root");
    EXPECT_EQ(table.find_route("b.example", "/x/y/")->name, "other");
    EXPECT_EQ(table.find_route("b.example", "/"), nullptr);
    EXPECT_EQ(table.find_route("c.example", "/x/"), nullptr);
}

TEST(route_table, keys_identify_workspaces) {
    const route_table table{sample_config()};
    EXPECT_EQ(table.find_workspace("k2")->name, "w1");
    EXPECT_EQ(table.find_workspace("k3")->name, "w2");
    EXPECT_EQ(table.find_workspace("k"), nullptr);
}

TEST(route_table, services_are_ordered_by_weight_and_weight_0_is_excluded) {
    route_info route;
    route.services = {{"a", 90}, {"b", 10}, {"c", 0}};
    std::mt19937_64 random{1};
    int first_a = 0;
    for (int round = 0; round < 1000; ++round) {
        const auto order = route_table::weighted_service_order(route, random);
        ASSERT_EQ(order.size(), 2U);
        first_a += order.front() == "a" ? 1 : 0;
    }
    EXPECT_NEAR(first_a, 900, 40);
}

} // namespace
} // namespace magnolia
