#include "backend_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds{100}};
constexpr std::size_t hosts_per_zone = 40;
constexpr std::size_t engines_per_zone = 16;

placement_query query_for(std::uint32_t tokens) {
    placement_query query;
    query.demand.prompt_tokens = tokens;
    query.demand.answer_tokens = 1000;
    query.demand.target_latency = milliseconds{1000};
    query.demand.target_pause = milliseconds{250};
    query.demand.time_limit = std::chrono::seconds{10};
    query.demand.value = 1 + tokens / 10'000.0;
    query.time_left = std::chrono::seconds{10};
    return query;
}

/// One host among many, before engines of two zones.
class divided_fleet : public testing::Test {
protected:
    void SetUp() override {
        engine_profile profile;
        profile.memory_tokens = 232'000;
        profile.steps_per_pass = 43;
        profile.slots = 16;
        profile.prefill_tokens_per_ms = 206;
        profile.prefill_tokens_per_step = 2048;
        fleet_.set_services({{"llm", profile}});
        for (const std::string zone : {"z0", "z1"}) {
            for (std::size_t index = 0; index < engines_per_zone; ++index) {
                backend_info info;
                info.id = zone + "e" + std::to_string(index);
                info.service = "llm";
                info.address = {"127.0.0.1", 1};
                info.zone = zone;
                info.slots = 16;
                fleet_.put(info);
            }
            for (std::size_t index = 0; index < hosts_per_zone; ++index) {
                hosts_.push_back({zone + "h" + std::to_string(index), zone});
            }
        }
        fleet_.set_hosts("z0h0", hosts_, start);
        ASSERT_GT(fleet_.topology().cell_count(), 1U);
    }

    chosen_backends choose(std::uint32_t tokens, const std::vector<std::string>& tried = {}) {
        auto chosen = fleet_.choose("llm", query_for(tokens), tried, start);
        EXPECT_TRUE(chosen);
        return chosen ? *chosen : chosen_backends{};
    }

    job_id place(std::uint32_t tokens) {
        return fleet_.start(choose(tokens), query_for(tokens).demand, start);
    }

    std::vector<std::string> near_engines() {
        std::vector<std::string> near;
        for (std::size_t index = 0; index < engines_per_zone; ++index) {
            const auto id = "z0e" + std::to_string(index);
            if (fleet_.topology().is_near(id)) {
                near.push_back(id);
            }
        }
        return near;
    }

    static constexpr std::uint32_t short_tokens = 5000;
    static constexpr std::uint32_t long_tokens = 190'000;

    backend_fleet fleet_{"z0", 1, placement_policy::pause_aware};
    std::vector<located_name> hosts_;
};

TEST_F(divided_fleet, short_prompts_use_the_cell_and_long_ones_the_zone) {
    std::size_t outside_cell = 0;
    for (int round = 0; round < 40; ++round) {
        EXPECT_TRUE(fleet_.topology().is_near(choose(short_tokens).members.front().id));
        const auto chosen = choose(long_tokens);
        for (const auto& member : chosen.members) {
            EXPECT_TRUE(fleet_.topology().is_home(member.id));
            outside_cell += fleet_.topology().is_near(member.id) ? 0 : 1;
        }
    }
    EXPECT_GT(outside_cell, 0U);
}

TEST_F(divided_fleet, work_is_told_to_those_who_share_its_engines) {
    static_cast<void>(place(short_tokens));
    auto updates = fleet_.take_updates();
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_EQ(updates.front().audience, fleet_.topology().own_cell());
    const auto long_job = place(long_tokens);
    updates = fleet_.take_updates();
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_EQ(updates.front().audience, fleet_.topology().own_domain());
    EXPECT_EQ(fleet_.topology().hosts_of(updates.front().audience).size(), hosts_per_zone - 1);
    // The end goes to those who were told of the beginning.
    fleet_.on_ended(long_job, attempt_result::done, start);
    EXPECT_FALSE(fleet_.has_untold_placements());
    updates = fleet_.take_updates();
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_EQ(updates.front().audience, fleet_.topology().own_domain());
    EXPECT_EQ(updates.front().update.ended, std::vector<std::uint64_t>{long_job.number});
}

TEST_F(divided_fleet, a_host_that_has_started_is_told_what_concerns_it) {
    static_cast<void>(place(short_tokens));
    static_cast<void>(place(long_tokens));
    const auto told = [this](const std::string& host) {
        std::size_t jobs = 0;
        for (const auto& update : fleet_.snapshot_updates(host, start)) {
            std::set<std::uint64_t> numbers;
            for (const auto& work : update.placed) {
                numbers.insert(work.number);
            }
            jobs += numbers.size();
        }
        return jobs;
    };
    const auto& topology = fleet_.topology();
    for (const auto& host : hosts_) {
        const auto expected = topology.contains(topology.own_cell(), host.name)     ? 2U
                              : topology.contains(topology.own_domain(), host.name) ? 1U
                                                                                    : 0U;
        EXPECT_EQ(told(host.name), expected) << host.name;
    }
}

TEST_F(divided_fleet, engines_of_the_zone_stand_in_when_the_cell_has_none) {
    for (const auto& id : near_engines()) {
        fleet_.set_gone(id);
    }
    const auto id = choose(short_tokens).members.front().id;
    EXPECT_TRUE(fleet_.topology().is_home(id));
    for (std::size_t index = 0; index < engines_per_zone; ++index) {
        fleet_.set_gone("z0e" + std::to_string(index));
    }
    EXPECT_EQ(choose(short_tokens).members.front().id.substr(0, 2), "z1");
}

// Pattern: a few hosts fill the engines of their cell while others idle.
TEST_F(divided_fleet, short_prompts_leave_a_full_cell) {
    const auto near = near_engines();
    constexpr std::size_t slots = 16;
    for (std::size_t job = 0; job < slots * near.size(); ++job) {
        chosen_backends chosen;
        chosen.members = {{near[job % near.size()], {"127.0.0.1", 1}, 0}};
        chosen.share = prefill_share::of(short_tokens, 1);
        static_cast<void>(fleet_.start(chosen, query_for(short_tokens).demand, start));
    }
    const auto id = choose(short_tokens).members.front().id;
    EXPECT_TRUE(fleet_.topology().is_home(id));
}

// Hosts of another zone send an engine nothing; a part of theirs would be lost.
TEST_F(divided_fleet, a_stated_limit_is_divided_among_the_hosts_of_the_zone) {
    constexpr double limit = 20;
    double admitted = 0;
    for (const auto& host : hosts_) {
        backend_fleet fleet{host.zone, 1, placement_policy::pause_aware};
        engine_profile profile;
        profile.slots = 16;
        profile.memory_tokens = 232'000;
        fleet.set_services({{"llm", profile}});
        for (const std::string zone : {"z0", "z1"}) {
            for (std::size_t index = 0; index < engines_per_zone; ++index) {
                backend_info info;
                info.id = zone + "e" + std::to_string(index);
                info.service = "llm";
                info.zone = zone;
                info.slots = 16;
                fleet.put(info);
            }
        }
        fleet.set_hosts(host.name, hosts_, start);
        fleet.set_stated_limit({"z0e3", 0}, limit, start);
        std::vector<std::string> tried;
        for (std::size_t index = 0; index < engines_per_zone; ++index) {
            if (index != 3) {
                tried.push_back("z0e" + std::to_string(index));
            }
        }
        // Shares are given out from zero.
        const auto chosen =
            fleet.choose("llm", query_for(short_tokens), tried, start + std::chrono::seconds{2});
        admitted += host.zone == "z0" && chosen && chosen->members.front().id == "z0e3" ? 1 : 0;
    }
    EXPECT_EQ(admitted, limit);
}

// Incident LIMIT: no log told among how many hosts a limit was divided, nor the share of a host
// that had learned of it from another one.
TEST_F(divided_fleet, changes_of_the_share_of_a_limit_are_reported_once) {
    EXPECT_TRUE(fleet_.take_division_changes().empty());
    fleet_.apply_limits(
        {{.backend = "z0e3", .started_ms = 0, .is_limited = true, .requests_per_s = 40}}, start);
    const auto changes = fleet_.take_division_changes();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front(), (limit_division{"z0e3", 40, 1, hosts_per_zone}));
    EXPECT_TRUE(fleet_.take_division_changes().empty());
    EXPECT_EQ(fleet_.limited_count(), 1U);
    EXPECT_EQ(fleet_.limited_share(), 1);
    fleet_.expire_limits(start + std::chrono::seconds{60});
    EXPECT_EQ(fleet_.take_division_changes(), std::vector{limit_division{.backend = "z0e3"}});
    EXPECT_EQ(fleet_.limited_count(), 0U);
}

TEST(estimated_engine, it_has_the_short_prompts_of_another_engine_and_its_own_long_ones) {
    engine_profile profile;
    profile.memory_tokens = 232'000;
    engine_forecast known{profile};
    engine_forecast unknown{profile};
    const auto job = [](std::uint64_t number, std::uint32_t tokens) {
        engine_job work;
        work.id = {1, number};
        work.prefill = prefill_share::of(tokens, 1);
        work.memory_tokens = tokens;
        work.answer_tokens = 1000;
        return work;
    };
    known.add(job(1, 5000), start);
    known.add(job(2, 5000), start);
    known.add(job(3, 150'000), start);
    unknown.add(job(4, 100'000), start);
    const auto estimate = unknown.with_short_jobs_of(known);
    EXPECT_EQ(estimate.request_count(), 3U);
    EXPECT_EQ(estimate.free_memory(), 232'000 - 110'000);
    EXPECT_EQ(unknown.request_count(), 1U);
}

} // namespace
} // namespace magnolia
