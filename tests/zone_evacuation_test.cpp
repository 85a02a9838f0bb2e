#include "backend_fleet.h"
#include "zone_evacuation.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

constexpr time_point start{std::chrono::seconds{100}};
constexpr duration hold = std::chrono::seconds{5};

store_position at(std::uint64_t revision, std::uint64_t epoch = 1) {
    return {epoch, revision};
}

std::vector<std::string> names(std::initializer_list<std::string> list) {
    return list;
}

TEST(zone_evacuation, a_zone_is_evacuated_until_the_object_is_gone) {
    zone_evacuation evacuation;
    EXPECT_FALSE(evacuation.is_known());
    EXPECT_EQ(evacuation.update(names({"z1"}), at(5), start).evacuated, names({"z1"}));
    EXPECT_TRUE(evacuation.is_evacuated("z1", start));
    EXPECT_FALSE(evacuation.is_evacuated("z2", start));
    EXPECT_EQ(evacuation.update(names({"z2"}), at(6), start).taken_back, names({"z1"}));
    EXPECT_FALSE(evacuation.is_evacuated("z1", start));
    EXPECT_TRUE(evacuation.is_evacuated("z2", start));
}

// A host whose own watch is dead hears of it from a neighbour; what is told late changes nothing.
TEST(zone_evacuation, the_newest_position_counts_whoever_tells_it) {
    zone_evacuation neighbour;
    neighbour.update(names({"z1"}), at(7), start);
    zone_evacuation host;
    host.update({}, at(3), start);
    host.apply(neighbour.state(), start);
    EXPECT_TRUE(host.is_evacuated("z1", start));
    host.update({}, at(6), start);
    EXPECT_TRUE(host.is_evacuated("z1", start));
    host.apply({.epoch = 1, .revision = 7, .zones = {}}, start);
    EXPECT_TRUE(host.is_evacuated("z1", start));
}

TEST(zone_evacuation, an_evacuation_that_a_restored_store_lacks_is_held_for_a_time) {
    zone_evacuation evacuation;
    evacuation.set_hold(hold);
    evacuation.update(names({"z1"}), at(9), start);
    EXPECT_EQ(evacuation.update({}, at(2, 2), start).held, names({"z1"}));
    EXPECT_TRUE(evacuation.is_evacuated("z1", start + hold - duration{1}));
    EXPECT_FALSE(evacuation.is_evacuated("z1", start + hold));
}

TEST(zone_evacuation, improper_names_are_refused_and_the_others_hold) {
    zone_evacuation evacuation;
    const auto told = names({"", "z 1", std::string(65, 'z'), "z2"});
    const auto change = evacuation.update(told, at(1), start);
    EXPECT_EQ(change.refused.size(), 3U);
    EXPECT_EQ(change.evacuated, names({"z2"}));
    // Hosts compare what they have by these names, so that an improper one makes nobody list again.
    EXPECT_EQ(accepted_zones(told), evacuation.state().zones);
}

TEST(zone_evacuation, evacuations_are_bounded) {
    std::vector<std::string> many;
    for (std::size_t zone = 100; zone < 100 + zone_evacuation::max_zones + 3; ++zone) {
        many.push_back("z" + std::to_string(zone));
    }
    zone_evacuation evacuation;
    EXPECT_EQ(evacuation.update(many, at(1), start).ignored, 3U);
    EXPECT_EQ(evacuation.zones(start).size(), zone_evacuation::max_zones);
    EXPECT_EQ(accepted_zones(many), evacuation.state().zones);
}

/// A fleet with a plain service of two servers in each of three zones.
backend_fleet fleet_of_three_zones() {
    backend_fleet fleet{"z1", 1, placement_policy::pause_aware};
    fleet.set_services({{.name = "desk", .engine = std::nullopt}});
    for (std::uint16_t port = 1; port <= 6; ++port) {
        fleet.put({.id = "b" + std::to_string(port),
                   .service = "desk",
                   .address = {"10.0.0.1", port},
                   .zone = "z" + std::to_string(port % 3 + 1),
                   .slots = 4});
    }
    return fleet;
}

TEST(zone_evacuation, nothing_is_placed_in_an_evacuated_zone_under_load) {
    auto fleet = fleet_of_three_zones();
    fleet.evacuation().update(names({"z1"}), at(1), start);
    for (int request = 0; request < 100; ++request) {
        const auto chosen = fleet.choose("desk", {}, {}, start);
        ASSERT_TRUE(chosen);
        EXPECT_NE(chosen->members.front().zone, "z1");
        fleet.start(*chosen, {}, start);
    }
    // A server that failed before is not replaced by one of the zone.
    const auto repeated = fleet.choose("desk", {}, {"b1", "b2", "b4", "b5"}, start);
    ASSERT_TRUE(repeated);
    EXPECT_NE(repeated->members.front().zone, "z1");
}

TEST(zone_evacuation, a_decision_from_before_does_not_hold) {
    auto fleet = fleet_of_three_zones();
    fleet.evacuation().update(names({"z2", "z3"}), at(1), start);
    const auto chosen = fleet.choose("desk", {}, {}, start);
    ASSERT_TRUE(chosen);
    EXPECT_TRUE(fleet.is_still_admitted(*chosen, start));
    fleet.evacuation().update(names({"z1"}), at(2), start);
    EXPECT_FALSE(fleet.is_still_admitted(*chosen, start));
}

TEST(zone_evacuation, a_service_of_which_all_zones_are_evacuated_is_refused) {
    auto fleet = fleet_of_three_zones();
    fleet.evacuation().update(names({"z1", "z2", "z3"}), at(1), start);
    EXPECT_FALSE(fleet.has_live("desk", start));
    EXPECT_FALSE(fleet.choose("desk", {}, {}, start));
    fleet.evacuation().update({}, at(2), start);
    EXPECT_TRUE(fleet.choose("desk", {}, {}, start));
}

} // namespace
} // namespace magnolia
