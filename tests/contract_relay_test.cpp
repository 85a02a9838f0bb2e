#include "contract_relay.h"
#include "memory_net.h"
#include "memory_store.h"
#include "schema_reader.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{1h};
constexpr duration tick = 50ms;
constexpr duration platform_delay = 5ms;
/// Time within which a change is in force or the cut-off rule applies.
constexpr duration in_force_within = 11s;

/// Entries, the platform's store, and the faults between them.
class world {
public:
    world(std::size_t zones, std::size_t in_zone, std::uint64_t seed, double loss = 0)
        : net_{{loss, loss, 500us, 20ms, false}, seed}, random_{seed} {
        for (std::size_t index = 0; index < zones * in_zone; ++index) {
            members_.push_back({"e" + std::to_string(index), "z" + std::to_string(index % zones),
                                "", 0, 1, host_state::live});
        }
        for (const auto& member : members_) {
            start_node(member.name);
        }
    }

    void start_node(const std::string& name) {
        const auto& self = *std::ranges::find(members_, name, &member_info::name);
        auto& node = nodes_[name];
        node = {};
        node.relay = std::make_unique<contract_relay>(name, self.zone, random_());
        std::vector<member_info> others;
        std::ranges::copy_if(members_, std::back_inserter(others),
                             [&](const auto& each) { return each.name != name; });
        node.relay->set_members(others, now_);
    }

    /// Accepts a change in the store.
    std::uint64_t change(const std::string& workspace, std::uint32_t concurrency,
                         contract_state state = contract_state::active) {
        contract value;
        value.workspace = workspace;
        value.concurrency = concurrency;
        value.state = state;
        const auto version = store_.write({"contract", workspace}, nlohmann::json(value).dump());
        accepted_.push_back({workspace, version, now_});
        return version;
    }

    void run(duration span) {
        for (const auto end = now_ + span; now_ < end; now_ += tick) {
            step();
        }
    }

    /// Every accepted change is in force, or the entry follows the cut-off rule.
    bool keeps_promise() const {
        return std::ranges::all_of(accepted_, [&](const auto& change) {
            return now_ - change.at < in_force_within ||
                   std::ranges::all_of(nodes_, [&](const auto& item) {
                       return item.second.paused || item.second.relay->is_lapsed(now_) ||
                              version_at(item.first, change.workspace) >= change.version;
                   });
        });
    }

    bool is_settled() const {
        return std::ranges::all_of(nodes_, [&](const auto& item) {
            return !item.second.relay->is_lapsed(now_) &&
                   item.second.relay->table().digest() ==
                       nodes_.begin()->second.relay->table().digest();
        });
    }

    std::uint64_t version_at(const std::string& name, const std::string& workspace) const {
        const auto* known = nodes_.at(name).relay->table().find(workspace);
        return known ? known->version : 0;
    }

    zone_status status(const std::string& zone) {
        const auto reply = store_.answer(object_get{{"status", "config/" + zone}});
        zone_status value;
        schema_reader reader{unknown_keys::accept};
        const auto& object = std::get<stored_object>(*reply);
        if (object.version > 0) {
            read(nlohmann::json::parse(object.value), reader, value);
        }
        return value;
    }

    void cut_zone(const std::string& zone) {
        net_.set_partition([this, zone](const std::string& from, const std::string& to) {
            return (zone_of(from) == zone) != (zone_of(to) == zone);
        });
        cut_zone_ = zone;
    }
    void heal() {
        net_.set_partition([](const auto&, const auto&) { return false; });
        cut_zone_.clear();
    }
    void set_platform(bool is_up) { is_platform_up_ = is_up; }
    void set_paused(const std::string& name, bool paused) { nodes_.at(name).paused = paused; }
    memory_store& store() { return store_; }
    contract_relay& node(const std::string& name) { return *nodes_.at(name).relay; }
    time_point now() const { return now_; }
    std::size_t size() const { return members_.size(); }
    std::vector<std::string> relays_of(const std::string& zone) const {
        std::vector<std::string> names;
        for (const auto& [name, each] : nodes_) {
            if (each.relay->is_relay() && zone_of(name) == zone) {
                names.push_back(name);
            }
        }
        return names;
    }
    /// Whether a version ever fell within the life of an entry.
    bool has_reverted() const { return has_reverted_; }

private:
    struct accepted_change {
        std::string workspace;
        std::uint64_t version = 0;
        time_point at{};
    };
    struct waiting_call {
        numbered_call call;
        time_point sent{};
    };
    struct node_state {
        std::unique_ptr<contract_relay> relay;
        std::vector<waiting_call> calls;
        std::map<std::string, std::uint64_t> seen;
        bool paused = false;
    };

    std::string zone_of(const std::string& name) const {
        return std::ranges::find(members_, name, &member_info::name)->zone;
    }

    void step() {
        for (auto& delivery : net_.take_due(now_)) {
            if (auto& to = nodes_.at(delivery.to); !to.paused) {
                to.relay->on_message(delivery.from, delivery.message, now_);
            }
        }
        for (auto& [name, node] : nodes_) {
            if (!node.paused) {
                step_node(name, node);
            }
        }
    }

    void step_node(const std::string& name, node_state& node) {
        answer_calls(name, node);
        std::vector<outgoing_message> messages;
        std::vector<numbered_call> calls;
        node.relay->poll(now_, messages, calls);
        for (auto& message : messages) {
            net_.send(name, std::move(message), now_);
        }
        for (auto& call : calls) {
            node.calls.push_back({std::move(call), now_});
        }
        for (const auto& value : node.relay->take_changes()) {
            auto& seen = node.seen[value.value.workspace];
            has_reverted_ = has_reverted_ || value.version <= seen;
            seen = value.version;
        }
    }

    void answer_calls(const std::string& name, node_state& node) {
        const bool is_reachable = is_platform_up_ && zone_of(name) != cut_zone_;
        auto calls = std::exchange(node.calls, {});
        for (auto& each : calls) {
            const auto* watch = std::get_if<object_watch>(&each.call.call);
            const bool waits = is_reachable && watch && !store_.has_changes(*watch) &&
                               now_ - each.sent < watch->wait;
            if (waits || now_ - each.sent < platform_delay) {
                node.calls.push_back(std::move(each));
                continue;
            }
            node.relay->on_reply(each.call.number,
                                 is_reachable ? store_.answer(each.call.call)
                                              : fail(error_code::platform_down),
                                 now_);
        }
    }

    memory_net net_;
    std::mt19937_64 random_;
    memory_store store_;
    std::vector<member_info> members_;
    std::map<std::string, node_state> nodes_;
    std::vector<accepted_change> accepted_;
    std::string cut_zone_;
    bool is_platform_up_ = true;
    bool has_reverted_ = false;
    time_point now_ = start;
};

TEST(contract_relay, a_change_is_in_force_everywhere_and_shown_per_zone) {
    world entries{2, 4, 1};
    entries.change("a", 1);
    entries.run(8s);
    EXPECT_TRUE(entries.is_settled());
    const auto version = entries.change("a", 2);
    entries.run(1s);
    for (std::size_t index = 0; index < entries.size(); ++index) {
        EXPECT_EQ(entries.version_at("e" + std::to_string(index), "a"), version);
    }
    entries.run(10s);
    const auto status = entries.status("z1");
    EXPECT_EQ(status.entries, 4U);
    EXPECT_EQ(status.entries_behind, 0U);
    ASSERT_FALSE(status.changes.empty());
    EXPECT_EQ(status.changes.front().version, version);
    EXPECT_TRUE(status.changes.front().in_force);
}

TEST(contract_relay, the_status_tells_a_change_that_one_entry_lacks) {
    world entries{1, 4, 2};
    entries.run(8s);
    const auto relays = entries.relays_of("z0");
    std::string other;
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const auto name = "e" + std::to_string(index);
        if (std::ranges::find(relays, name) == relays.end()) {
            other = name;
        }
    }
    entries.set_paused(other, true);
    entries.change("a", 2);
    entries.run(10s);
    EXPECT_EQ(entries.status("z0").entries_behind, 1U);
    EXPECT_FALSE(entries.status("z0").changes.front().in_force);
    entries.set_paused(other, false);
    entries.run(10s);
    EXPECT_TRUE(entries.status("z0").changes.front().in_force);
}

TEST(contract_relay, a_zone_cut_off_lapses_before_the_bound_and_recovers) {
    world entries{3, 3, 3};
    entries.change("a", 1);
    entries.run(8s);
    entries.cut_zone("z1");
    entries.change("a", 2);
    entries.run(in_force_within);
    EXPECT_TRUE(entries.node("e1").is_lapsed(entries.now()));
    EXPECT_FALSE(entries.node("e0").is_lapsed(entries.now()));
    EXPECT_TRUE(entries.keeps_promise());
    entries.heal();
    entries.run(5s);
    EXPECT_TRUE(entries.is_settled());
}

TEST(contract_relay, a_fresh_entry_learns_from_peers_while_the_platform_is_down) {
    world entries{2, 3, 4};
    for (int index = 0; index < 700; ++index) {
        entries.change("w" + std::to_string(index), 5);
    }
    entries.run(10s);
    entries.set_platform(false);
    entries.run(600s);
    const auto calls = entries.store().calls();
    entries.start_node("e2");
    entries.run(5s);
    EXPECT_EQ(entries.version_at("e2", "w699"), 1U);
    EXPECT_TRUE(entries.node("e2").is_lapsed(entries.now()));
    EXPECT_EQ(entries.store().calls(), calls);
    entries.set_platform(true);
    entries.run(6s);
    EXPECT_TRUE(entries.is_settled());
}

TEST(contract_relay, a_stale_read_does_not_revert) {
    world entries{1, 3, 5};
    entries.change("a", 1);
    entries.run(5s);
    const auto old = entries.store().revision();
    const auto version = entries.change("a", 2, contract_state::retired);
    entries.run(3s);
    entries.store().set_stale(old);
    for (const auto& name : entries.relays_of("z0")) {
        entries.start_node(name);
    }
    entries.run(30s);
    entries.store().set_stale(0);
    entries.run(10s);
    for (std::size_t index = 0; index < entries.size(); ++index) {
        EXPECT_EQ(entries.version_at("e" + std::to_string(index), "a"), version);
    }
    EXPECT_FALSE(entries.has_reverted());
}

TEST(contract_relay, an_old_entry_that_comes_back_takes_the_new_version_and_spreads_nothing) {
    world entries{2, 3, 6};
    entries.change("a", 1);
    entries.run(5s);
    entries.set_paused("e4", true);
    const auto version = entries.change("a", 2, contract_state::retired);
    entries.run(60s);
    entries.set_paused("e4", false);
    EXPECT_TRUE(entries.node("e4").is_lapsed(entries.now()));
    entries.run(5s);
    for (std::size_t index = 0; index < entries.size(); ++index) {
        EXPECT_EQ(entries.version_at("e" + std::to_string(index), "a"), version);
    }
}

TEST(contract_relay, paused_relays_do_not_stop_changes) {
    world entries{2, 4, 7};
    entries.change("a", 1);
    entries.run(5s);
    for (const auto& name : entries.relays_of("z0")) {
        entries.set_paused(name, true);
    }
    entries.change("a", 2);
    entries.run(in_force_within);
    EXPECT_TRUE(entries.keeps_promise());
}

TEST(contract_relay, an_object_that_is_no_contract_is_counted_and_passed_over) {
    world entries{1, 2, 8};
    entries.change("a", 1);
    entries.run(5s);
    (void)entries.store().write({"contract", "a"}, "{\"workspace\": 7}");
    (void)entries.store().write({"contract", "b"}, "no json");
    entries.run(6s);
    EXPECT_EQ(entries.version_at("e0", "a"), 1U);
    EXPECT_GE(entries.status("z0").rejected, 2U);
}

/// Any order of faults keeps the bound at every moment, reverts nothing, and ends settled.
RC_GTEST_PROP(contract_relay, faults_in_any_order_keep_the_bound, (std::uint32_t seed)) {
    world entries{3, 3, seed, 0.05};
    const auto steps = *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, 9));
    for (std::size_t index = 0; index < steps.size(); ++index) {
        const auto name = "e" + std::to_string((seed + index * 7) % entries.size());
        switch (steps[index]) {
        case 0:
            entries.cut_zone("z" + std::to_string(index % 3));
            break;
        case 1:
            entries.heal();
            break;
        case 2:
            entries.set_platform(false);
            break;
        case 3:
            entries.set_platform(true);
            break;
        case 4:
            entries.start_node(name);
            break;
        case 5:
            entries.set_paused(name, true);
            break;
        case 6:
            entries.set_paused(name, false);
            break;
        default:
            entries.change("w" + std::to_string(index % 3), static_cast<std::uint32_t>(index + 1));
        }
        for (int second = 0; second < 4; ++second) {
            entries.run(1s);
            RC_ASSERT(entries.keeps_promise());
            RC_ASSERT(!entries.has_reverted());
        }
    }
    entries.heal();
    entries.set_platform(true);
    for (std::size_t index = 0; index < entries.size(); ++index) {
        entries.set_paused("e" + std::to_string(index), false);
    }
    entries.run(20s);
    RC_ASSERT(entries.is_settled());
    RC_ASSERT(entries.keeps_promise());
}

} // namespace
} // namespace magnolia
