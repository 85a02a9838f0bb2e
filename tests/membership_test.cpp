#include "membership.h"
#include "memory_net.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <set>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{1h};
constexpr duration tick = 20ms;

/// Entries over a simulated network.
class fleet {
public:
    fleet(std::size_t zones, std::size_t entries_per_zone, memory_net_options options,
          std::uint64_t seed)
        : net_{options, seed}, seed_{seed} {
        for (std::size_t index = 0; index < zones * entries_per_zone; ++index) {
            seeds_.push_back({"e" + std::to_string(index), "z" + std::to_string(index % zones),
                              "127.0.0.1", 1, 0, host_state::live});
        }
        for (const auto& each : seeds_) {
            start_node(each.name, 1);
        }
    }

    void start_node(const std::string& name, std::uint64_t incarnation) {
        auto self = *std::ranges::find(seeds_, name, &member_info::name);
        self.incarnation = incarnation;
        nodes_[name] = std::make_unique<membership>(self, seed_ + nodes_.size());
        nodes_[name]->add_seeds(seeds_, true, now_);
    }

    void stop_node(const std::string& name) { nodes_.erase(name); }
    void pause(const std::string& name) { paused_.insert(name); }
    void resume(const std::string& name) { paused_.erase(name); }

    void run(duration span) {
        for (const auto end = now_ + span; now_ < end; now_ += tick) {
            for (auto& delivery : net_.take_due(now_)) {
                if (is_running(delivery.to)) {
                    nodes_[delivery.to]->on_message(delivery.from, delivery.message, now_);
                }
            }
            for (auto& [name, node] : nodes_) {
                if (is_running(name)) {
                    for (auto& message : node->poll(now_)) {
                        net_.send(name, std::move(message), now_);
                    }
                }
            }
        }
    }

    /// Whether each entry sees exactly the running entries as live.
    bool views_match() const {
        return std::ranges::all_of(nodes_, [&](const auto& viewer) {
            return std::ranges::all_of(seeds_, [&](const auto& each) {
                const bool is_live = viewer.second->state_of(each.name) == host_state::live;
                return is_live == is_running(each.name);
            });
        });
    }

    void cut_zone(const std::string& zone) {
        net_.set_partition([this, zone](const std::string& from, const std::string& to) {
            return (zone_of(from) == zone) != (zone_of(to) == zone);
        });
    }
    void heal() {
        net_.set_partition([](const auto&, const auto&) { return false; });
    }

    membership& node(const std::string& name) { return *nodes_.at(name); }
    time_point now() const { return now_; }

private:
    bool is_running(const std::string& name) const {
        return nodes_.contains(name) && !paused_.contains(name);
    }
    std::string zone_of(const std::string& name) const {
        return std::ranges::find(seeds_, name, &member_info::name)->zone;
    }

    memory_net net_;
    std::uint64_t seed_;
    std::vector<member_info> seeds_;
    std::map<std::string, std::unique_ptr<membership>> nodes_;
    std::set<std::string> paused_;
    time_point now_ = start;
};

TEST(membership, entries_discover_each_other) {
    fleet entries{3, 4, {}, 1};
    entries.run(5s);
    EXPECT_TRUE(entries.views_match());
}

TEST(membership, a_dead_entry_becomes_gone_and_a_restarted_one_live) {
    fleet entries{3, 4, {}, 2};
    entries.run(5s);
    entries.stop_node("e5");
    entries.run(15s);
    EXPECT_EQ(entries.node("e0").state_of("e5"), host_state::gone);
    EXPECT_TRUE(entries.views_match());
    entries.start_node("e5", 2);
    entries.run(10s);
    EXPECT_TRUE(entries.views_match());
}

/// A paused entry is declared gone and learns of it when a gone member is probed; it then raises
/// its incarnation.
TEST(membership, a_paused_entry_refutes_being_gone) {
    fleet entries{2, 4, {}, 3};
    entries.run(5s);
    entries.pause("e3");
    entries.run(15s);
    EXPECT_EQ(entries.node("e0").state_of("e3"), host_state::gone);
    entries.resume("e3");
    entries.run(20s);
    EXPECT_TRUE(entries.views_match());
    EXPECT_GT(entries.node("e3").self().incarnation, 1U);
}

TEST(membership, leaving_reaches_the_own_zone_at_once_and_persists) {
    fleet entries{2, 4, {}, 4};
    entries.run(5s);
    entries.node("e2").leave();
    entries.run(100ms);
    EXPECT_EQ(entries.node("e0").state_of("e2"), host_state::leaving);
    entries.run(10s);
    EXPECT_EQ(entries.node("e1").state_of("e2"), host_state::leaving);
}

TEST(membership, a_cut_off_zone_detects_the_partition_and_recovers) {
    fleet entries{3, 3, {}, 5};
    entries.run(5s);
    EXPECT_FALSE(entries.node("e1").is_cut_off(entries.now()));
    entries.cut_zone("z1");
    entries.run(4s);
    EXPECT_TRUE(entries.node("e1").is_cut_off(entries.now()));
    EXPECT_TRUE(entries.node("e4").is_cut_off(entries.now()));
    EXPECT_FALSE(entries.node("e0").is_cut_off(entries.now()));
    entries.run(60s);
    entries.heal();
    entries.run(3s);
    EXPECT_FALSE(entries.node("e1").is_cut_off(entries.now()));
    entries.run(30s);
    EXPECT_TRUE(entries.views_match());
}

TEST(membership, a_new_entry_learns_all_members_from_one_seed) {
    fleet entries{3, 3, {}, 6};
    entries.run(5s);
    membership fresh{{"x", "z1", "127.0.0.1", 1, 1, host_state::live}, 9};
    fresh.add_seeds(std::vector<member_info>{{"e0", "z0", "", 1, 0, host_state::live}}, true,
                    entries.now());
    for (const auto& message : fresh.poll(entries.now())) {
        entries.node("e0").on_message("x", message.message, entries.now());
    }
    for (const auto& message : entries.node("e0").poll(entries.now())) {
        if (message.member == "x") {
            fresh.on_message("e0", message.message, entries.now());
        }
    }
    EXPECT_EQ(fresh.members().size(), 9U);
    EXPECT_EQ(entries.node("e0").state_of("x"), host_state::live);
}

TEST(membership, piggybacked_updates_are_bounded) {
    membership_options options;
    membership node{{"a", "z", "127.0.0.1", 1, 1, host_state::live}, 1, options};
    std::vector<member_info> many;
    for (std::uint64_t index = 0; index < 500; ++index) {
        many.push_back({"m" + std::to_string(index), "z", "127.0.0.1", 1, 5, host_state::live});
    }
    node.on_message("m1", member_list_message{many}, start);
    node.on_message("m1", ping_message{1, {}, 0, {}}, start);
    const auto answers = node.poll(start);
    const auto found = std::ranges::find_if(answers, [](const auto& each) {
        return std::holds_alternative<ack_message>(each.message);
    });
    ASSERT_NE(found, answers.end());
    EXPECT_LT(std::get<ack_message>(found->message).changes.size(), 20U);
}

TEST(membership, a_different_config_digest_is_reported) {
    membership node{{"a", "z", "127.0.0.1", 1, 1, host_state::live}, 1};
    node.set_config_digest({3, 77});
    node.on_message("b", ping_message{1, {}, 0, {3, 77}}, start);
    EXPECT_TRUE(node.take_config_differences().empty());
    node.on_message("b", ping_message{2, {}, 0, {3, 78}}, start);
    EXPECT_EQ(node.take_config_differences(), std::vector<std::string>{"b"});
}

/// After any sequence of restarts, pauses and partitions, with lost and duplicated messages, all
/// views match again within a minute.
RC_GTEST_PROP(membership, views_converge_after_any_sequence_of_faults, (std::uint32_t seed)) {
    memory_net_options options;
    options.loss = 0.05;
    options.duplication = 0.05;
    options.max_delay = 50ms;
    fleet entries{3, 3, options, seed};
    const auto steps = *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 5));
    std::uint64_t incarnation = 10;
    for (std::size_t index = 0; index < steps.size(); ++index) {
        const auto name = "e" + std::to_string((seed + index * 5) % 9);
        switch (steps[index]) {
        case 0:
            entries.stop_node(name);
            entries.run(3s);
            entries.start_node(name, ++incarnation);
            break;
        case 1:
            entries.pause(name);
            entries.run(8s);
            entries.resume(name);
            break;
        case 2:
            entries.cut_zone("z" + std::to_string(index % 3));
            entries.run(10s);
            entries.heal();
            break;
        default:
            entries.run(2s);
        }
    }
    bool has_converged = false;
    for (int attempt = 0; attempt < 60 && !has_converged; ++attempt) {
        entries.run(1s);
        has_converged = entries.views_match();
    }
    RC_ASSERT(has_converged);
}

} // namespace
} // namespace magnolia
