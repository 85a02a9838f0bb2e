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

constexpr time_point start_time{1h};
constexpr duration tick = 50ms;
constexpr duration platform_delay = 5ms;
/// Bound within which every entry has a change in force or applies the rule for cut-off entries.
constexpr duration propagation_bound = 11s;

/// Simulated deployment: the relays of all entries, the platform's store, and faults of the network
/// between them.
class world {
public:
    world(std::size_t zones, std::size_t entries_per_zone, std::uint64_t seed, double loss = 0)
        : net_{{loss, loss, 500us, 20ms, false}, seed}, random_{seed} {
        for (std::size_t index = 0; index < zones * entries_per_zone; ++index) {
            members_.push_back({"e" + std::to_string(index), "z" + std::to_string(index % zones),
                                "", 0, 1, host_state::live});
        }
        for (const auto& member : members_) {
            start_node(member.name);
        }
    }

    /// Starts or restarts an entry without any contracts.
    void start_node(const std::string& name) {
        const auto& self = *std::ranges::find(members_, name, &member_info::name);
        auto& node = nodes_[name];
        node = {};
        node.relay = std::make_unique<contract_relay>(name, self.zone, random_());
        std::vector<member_info> peers;
        std::ranges::copy_if(members_, std::back_inserter(peers),
                             [&](const auto& item) { return item.name != name; });
        node.relay->set_members(peers, now_);
    }

    /// Writes a contract to the store; returns its version.
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

    /// Whether at every entry that is not paused each change is in force within the bound, or the
    /// lease has lapsed.
    bool meets_propagation_bound() const {
        return std::ranges::all_of(accepted_, [&](const auto& change) {
            return now_ - change.at < propagation_bound ||
                   std::ranges::all_of(nodes_, [&](const auto& item) {
                       return item.second.is_paused || item.second.relay->is_lapsed(now_) ||
                              version_at(item.first, change.workspace) >= change.version;
                   });
        });
    }

    /// Whether all entries have the same contracts and a valid lease.
    bool has_converged() const {
        return std::ranges::all_of(nodes_, [&](const auto& item) {
            return !item.second.relay->is_lapsed(now_) &&
                   item.second.relay->table().digest() ==
                       nodes_.begin()->second.relay->table().digest();
        });
    }

    std::uint64_t version_at(const std::string& name, const std::string& workspace) const {
        const auto* contract = nodes_.at(name).relay->table().find(workspace);
        return contract ? contract->version : 0;
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

    /// Cuts a zone off from the other zones and from the platform.
    void partition_zone(const std::string& zone) {
        net_.set_partition([this, zone](const std::string& from, const std::string& to) {
            return (zone_of(from) == zone) != (zone_of(to) == zone);
        });
        partitioned_zone_ = zone;
    }
    void heal_partition() {
        net_.set_partition([](const auto&, const auto&) { return false; });
        partitioned_zone_.clear();
    }
    void set_platform_up(bool is_up) { is_platform_up_ = is_up; }
    /// Suspends an entry: it receives and sends nothing.
    void set_paused(const std::string& name, bool is_paused) {
        nodes_.at(name).is_paused = is_paused;
    }
    memory_store& store() { return store_; }
    contract_relay& node(const std::string& name) { return *nodes_.at(name).relay; }
    time_point now() const { return now_; }
    std::size_t entry_count() const { return members_.size(); }
    std::vector<std::string> relays_of(const std::string& zone) const {
        std::vector<std::string> names;
        for (const auto& [name, item] : nodes_) {
            if (item.relay->is_relay() && zone_of(name) == zone) {
                names.push_back(name);
            }
        }
        return names;
    }
    /// Whether any entry ever replaced a contract by an older version.
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
        std::map<std::string, std::uint64_t> last_versions;
        bool is_paused = false;
    };

    std::string zone_of(const std::string& name) const {
        return std::ranges::find(members_, name, &member_info::name)->zone;
    }

    void step() {
        for (auto& delivery : net_.take_due(now_)) {
            if (auto& to = nodes_.at(delivery.to); !to.is_paused) {
                to.relay->on_message(delivery.from, delivery.message, now_);
            }
        }
        for (auto& [name, node] : nodes_) {
            if (!node.is_paused) {
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
            auto& last_version = node.last_versions[value.value.workspace];
            has_reverted_ = has_reverted_ || value.version <= last_version;
            last_version = value.version;
        }
    }

    /// Answers the calls of an entry that are due; a watch waits for changes.
    void answer_calls(const std::string& name, node_state& node) {
        const bool is_reachable = is_platform_up_ && zone_of(name) != partitioned_zone_;
        auto calls = std::exchange(node.calls, {});
        for (auto& item : calls) {
            const auto* watch = std::get_if<object_watch>(&item.call.call);
            const bool is_waiting = is_reachable && watch && !store_.has_changes(*watch) &&
                                    now_ - item.sent < watch->wait;
            if (is_waiting || now_ - item.sent < platform_delay) {
                node.calls.push_back(std::move(item));
                continue;
            }
            node.relay->on_reply(item.call.number,
                                 is_reachable ? store_.answer(item.call.call)
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
    std::string partitioned_zone_;
    bool is_platform_up_ = true;
    bool has_reverted_ = false;
    time_point now_ = start_time;
};

TEST(contract_relay, a_change_reaches_every_entry_and_the_zone_status_shows_it) {
    world entries{2, 4, 1};
    entries.change("a", 1);
    entries.run(8s);
    EXPECT_TRUE(entries.has_converged());
    const auto version = entries.change("a", 2);
    entries.run(1s);
    for (std::size_t index = 0; index < entries.entry_count(); ++index) {
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

TEST(contract_relay, the_zone_status_counts_an_entry_that_lacks_a_change) {
    world entries{1, 4, 2};
    entries.run(8s);
    const auto relays = entries.relays_of("z0");
    std::string other;
    for (std::size_t index = 0; index < entries.entry_count(); ++index) {
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

/// Entries that cannot receive changes must detect it before the bound has passed.
TEST(contract_relay, the_lease_of_a_partitioned_zone_lapses_in_time_and_recovers) {
    world entries{3, 3, 3};
    entries.change("a", 1);
    entries.run(8s);
    entries.partition_zone("z1");
    entries.change("a", 2);
    entries.run(propagation_bound);
    EXPECT_TRUE(entries.node("e1").is_lapsed(entries.now()));
    EXPECT_FALSE(entries.node("e0").is_lapsed(entries.now()));
    EXPECT_TRUE(entries.meets_propagation_bound());
    entries.heal_partition();
    entries.run(5s);
    EXPECT_TRUE(entries.has_converged());
}

/// All contracts, which take several messages of the repair, come from peers without a call to the
/// platform.
TEST(contract_relay, a_restarted_entry_loads_contracts_from_peers_during_an_outage) {
    world entries{2, 3, 4};
    for (int index = 0; index < 700; ++index) {
        entries.change("w" + std::to_string(index), 5);
    }
    entries.run(10s);
    entries.set_platform_up(false);
    entries.run(600s);
    const auto calls = entries.store().calls();
    entries.start_node("e2");
    entries.run(5s);
    EXPECT_EQ(entries.version_at("e2", "w699"), 1U);
    EXPECT_TRUE(entries.node("e2").is_lapsed(entries.now()));
    EXPECT_EQ(entries.store().calls(), calls);
    entries.set_platform_up(true);
    entries.run(6s);
    EXPECT_TRUE(entries.has_converged());
}

/// A read replica that lags must not bring back a contract that has been retired.
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
    for (std::size_t index = 0; index < entries.entry_count(); ++index) {
        EXPECT_EQ(entries.version_at("e" + std::to_string(index), "a"), version);
    }
    EXPECT_FALSE(entries.has_reverted());
}

/// A process that was suspended for a minute must not spread the versions that it held.
TEST(contract_relay, a_resumed_entry_takes_the_new_version_and_spreads_no_old_one) {
    world entries{2, 3, 6};
    entries.change("a", 1);
    entries.run(5s);
    entries.set_paused("e4", true);
    const auto version = entries.change("a", 2, contract_state::retired);
    entries.run(60s);
    entries.set_paused("e4", false);
    EXPECT_TRUE(entries.node("e4").is_lapsed(entries.now()));
    entries.run(5s);
    for (std::size_t index = 0; index < entries.entry_count(); ++index) {
        EXPECT_EQ(entries.version_at("e" + std::to_string(index), "a"), version);
    }
}

/// Both relays of a zone are suspended; its entries have to poll relays of other zones.
TEST(contract_relay, paused_relays_do_not_delay_changes_beyond_the_bound) {
    world entries{2, 4, 7};
    entries.change("a", 1);
    entries.run(5s);
    for (const auto& name : entries.relays_of("z0")) {
        entries.set_paused(name, true);
    }
    entries.change("a", 2);
    entries.run(propagation_bound);
    EXPECT_TRUE(entries.meets_propagation_bound());
}

/// A malformed object must not replace the last valid version or stop the watch.
TEST(contract_relay, an_invalid_contract_object_is_counted_and_skipped) {
    world entries{1, 2, 8};
    entries.change("a", 1);
    entries.run(5s);
    (void)entries.store().write({"contract", "a"}, "{\"workspace\": 7}");
    (void)entries.store().write({"contract", "b"}, "no json");
    entries.run(6s);
    EXPECT_EQ(entries.version_at("e0", "a"), 1U);
    EXPECT_GE(entries.status("z0").rejected, 2U);
}

/// Any sequence of faults: the bound holds at every second, no version is reverted, and the entries
/// converge after the last fault.
RC_GTEST_PROP(contract_relay, random_faults_keep_the_propagation_bound, (std::uint32_t seed)) {
    world entries{3, 3, seed, 0.05};
    const auto steps = *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, 9));
    for (std::size_t index = 0; index < steps.size(); ++index) {
        const auto name = "e" + std::to_string((seed + index * 7) % entries.entry_count());
        switch (steps[index]) {
        case 0:
            entries.partition_zone("z" + std::to_string(index % 3));
            break;
        case 1:
            entries.heal_partition();
            break;
        case 2:
            entries.set_platform_up(false);
            break;
        case 3:
            entries.set_platform_up(true);
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
            RC_ASSERT(entries.meets_propagation_bound());
            RC_ASSERT(!entries.has_reverted());
        }
    }
    entries.heal_partition();
    entries.set_platform_up(true);
    for (std::size_t index = 0; index < entries.entry_count(); ++index) {
        entries.set_paused("e" + std::to_string(index), false);
    }
    entries.run(20s);
    RC_ASSERT(entries.has_converged());
    RC_ASSERT(entries.meets_propagation_bound());
}

} // namespace
} // namespace magnolia
