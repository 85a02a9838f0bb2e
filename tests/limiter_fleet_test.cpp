#include "limiter.h"
#include "memory_net.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <list>
#include <memory>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{1h};
constexpr duration tick = 10ms;
/// Longest delay with which an entry sees a change of the members.
constexpr duration max_view_delay = 2s;
/// Lease of a grant; see grant_lease.
constexpr duration grant_lifetime = 2s;
constexpr const char* workspace = "howrah-repairs";

contract fleet_contract() {
    contract value;
    value.workspace = workspace;
    value.requests_per_second = 60;
    value.request_burst = 60;
    value.prompt_tokens_per_second = 60000;
    value.prompt_token_burst = 60000;
    value.generated_tokens_per_second = 1e8;
    value.generated_token_burst = 1e9;
    value.concurrency = 24;
    value.max_prompt_tokens = 20000;
    value.deadlines = {{20000, 1000ms, 5000ms}};
    return value;
}

/// Measures bursts: its highest level is the smallest depth of a leaky bucket that never overflows,
/// which is the largest excess over the rate in any window.
class leaky_bucket {
public:
    explicit leaky_bucket(double rate) : rate_{rate} {}

    void add(double amount, time_point now) {
        const auto elapsed = std::chrono::duration<double>(now - updated_at_).count();
        level_ = std::max(0.0, level_ - rate_ * elapsed) + amount;
        updated_at_ = now;
        max_level_ = std::max(max_level_, level_);
        total_ += amount;
    }
    double max_level() const { return max_level_; }
    double total() const { return total_; }

private:
    double rate_;
    double level_ = 0;
    double max_level_ = 0;
    double total_ = 0;
    time_point updated_at_ = start;
};

/// Limiters of the entries of several zones over a faulty network. Measures what all of them admit
/// together.
class fleet {
public:
    fleet(std::size_t zones, std::size_t entries_per_zone, memory_net_options options,
          std::uint64_t seed)
        : net_{options, seed}, random_{seed} {
        for (std::size_t index = 0; index < zones * entries_per_zone; ++index) {
            members_.push_back({"e" + std::to_string(index), "z" + std::to_string(index % zones),
                                host_state::live});
        }
        for (const auto& member : members_) {
            start_node(member.name);
        }
    }

    void start_node(const std::string& name) {
        auto& node = nodes_[name];
        node = {};
        node.limits = std::make_unique<limiter>(name, zone_of(name), random_());
        node.limits->put_contract(contract_, version_, now_);
        member(name).state = host_state::live;
        schedule_view_updates();
        apply_view(name);
    }

    void stop_node(const std::string& name) {
        nodes_.erase(name);
        member(name).state = host_state::gone;
        schedule_view_updates();
    }

    void pause_node(const std::string& name) {
        nodes_.at(name).is_paused = true;
        nodes_.at(name).running.clear();
        member(name).state = host_state::gone;
        schedule_view_updates();
    }

    void resume_node(const std::string& name) {
        if (const auto found = nodes_.find(name); found != nodes_.end()) {
            found->second.is_paused = false;
            member(name).state = host_state::live;
            schedule_view_updates();
        }
    }

    void cut_zone(const std::string& zone) {
        cut_zone_ = zone;
        net_.set_partition([this, zone](const std::string& from, const std::string& to) {
            return (zone_of(from) == zone) != (zone_of(to) == zone);
        });
        schedule_view_updates();
    }
    void heal() {
        cut_zone_.clear();
        net_.set_partition([](const auto&, const auto&) { return false; });
        schedule_view_updates();
    }

    /// Advances the time. Requests arrive as a Poisson process at the named entries, or at all.
    void run(duration span, double arrivals_per_second, const std::vector<std::string>& at = {}) {
        for (const auto end = now_ + span; now_ < end; now_ += tick) {
            deliver();
            generate_arrivals(arrivals_per_second, at);
            for (auto& [name, node] : nodes_) {
                if (!node.is_paused) {
                    step(name, node);
                }
            }
            max_running_ = std::max(max_running_, running_count());
        }
    }

    const leaky_bucket& requests() const { return requests_; }
    const leaky_bucket& prompt() const { return prompt_; }
    std::size_t max_running() const { return max_running_; }
    std::size_t view_changes() const { return view_changes_; }
    std::size_t refused() const { return refused_; }
    std::size_t active_count() const {
        std::size_t count = 0;
        for (const auto& [name, node] : nodes_) {
            count += node.limits->active_count();
        }
        return count;
    }
    std::vector<std::string> names() const {
        std::vector<std::string> node_names;
        std::ranges::transform(nodes_, std::back_inserter(node_names),
                               [](const auto& item) { return item.first; });
        return node_names;
    }
    void set_prompt_tokens(std::uint32_t tokens) { prompt_tokens_ = tokens; }
    void set_max_run_time(duration max_run_time) { max_run_time_ = max_run_time; }

private:
    /// Pending request; `since` and `until` as in limiter::decide() and limit_pending.
    struct waiting_request {
        std::uint32_t tokens = 0;
        time_point since{};
        time_point until{};
    };
    struct running_request {
        limit_ticket ticket;
        time_point ends{};
    };
    struct node_state {
        std::unique_ptr<limiter> limits;
        std::list<waiting_request> waiting;
        std::list<running_request> running;
        std::optional<time_point> view_due_at;
        bool is_paused = false;
    };

    limit_member& member(const std::string& name) {
        return *std::ranges::find(members_, name, &limit_member::name);
    }
    std::string zone_of(const std::string& name) const {
        return std::ranges::find(members_, name, &limit_member::name)->zone;
    }

    /// Each entry sees the current members after a random delay.
    void schedule_view_updates() {
        ++view_changes_;
        std::uniform_int_distribution<duration::rep> delay{0, max_view_delay.count()};
        for (auto& [name, node] : nodes_) {
            node.view_due_at = now_ + duration{delay(random_)};
        }
    }

    void apply_view(const std::string& name) {
        auto& node = nodes_.at(name);
        node.view_due_at.reset();
        const bool is_cut_off = !cut_zone_.empty() && zone_of(name) == cut_zone_;
        node.limits->set_members(members_, is_cut_off, now_);
    }

    void deliver() {
        for (auto& delivery : net_.take_due(now_)) {
            const auto to = nodes_.find(delivery.to);
            if (to != nodes_.end() && !to->second.is_paused) {
                to->second.limits->on_message(delivery.from, delivery.message, now_);
            }
        }
    }

    void generate_arrivals(double rate, const std::vector<std::string>& at) {
        const auto candidates = at.empty() ? names() : at;
        std::poisson_distribution<int> count{rate * std::chrono::duration<double>(tick).count()};
        for (int index = count(random_); index > 0; --index) {
            auto& node = nodes_.at(candidates[random_() % candidates.size()]);
            if (!node.is_paused) {
                decide(node, {prompt_tokens_, now_, {}});
            }
        }
    }

    void decide(node_state& node, waiting_request request) {
        auto answer = node.limits->decide(workspace, request.tokens, 1, request.since, now_);
        if (auto* ticket = std::get_if<limit_ticket>(&answer)) {
            requests_.add(1, now_);
            prompt_.add(request.tokens, now_);
            std::uniform_int_distribution<duration::rep> run_time{1000, max_run_time_.count()};
            node.running.push_back({std::move(*ticket), now_ + duration{run_time(random_)}});
        } else if (auto* pending = std::get_if<limit_pending>(&answer)) {
            request.until = pending->until;
            node.waiting.push_back(request);
        } else {
            ++refused_;
        }
    }

    void step(const std::string& name, node_state& node) {
        if (node.view_due_at && now_ >= *node.view_due_at) {
            apply_view(name);
        }
        std::erase_if(node.running, [&](const auto& each) {
            if (now_ < each.ends) {
                return false;
            }
            node.limits->settle(each.ticket, each.ticket.prompt_tokens, 1, now_);
            return true;
        });
        for (auto& message : node.limits->poll(now_)) {
            net_.send(name, std::move(message), now_);
        }
        const bool is_due = !node.limits->take_due_workspaces().empty();
        for (auto& each : std::exchange(node.waiting, {})) {
            if (is_due || now_ >= each.until) {
                decide(node, each);
            } else {
                node.waiting.push_back(each);
            }
        }
    }

    std::size_t running_count() const {
        std::size_t count = 0;
        for (const auto& [name, node] : nodes_) {
            count += node.running.size();
        }
        return count;
    }

    memory_net net_;
    std::mt19937_64 random_;
    contract contract_ = fleet_contract();
    std::uint64_t version_ = 1;
    std::vector<limit_member> members_;
    std::map<std::string, node_state> nodes_;
    std::string cut_zone_;
    leaky_bucket requests_{fleet_contract().requests_per_second};
    leaky_bucket prompt_{fleet_contract().prompt_tokens_per_second};
    std::size_t max_running_ = 0;
    std::size_t view_changes_ = 0;
    std::size_t refused_ = 0;
    std::uint32_t prompt_tokens_ = 500;
    duration max_run_time_ = 100ms;
    time_point now_ = start;
};

/// Bound on the burst in any window: the contract's burst, the amounts held in grants and in loans
/// (each for one lease), and for each change of the views a zone's burst and its rate for the delay
/// of the views.
double burst_bound(double rate, double burst, std::size_t changes, std::size_t zones) {
    const auto seconds = [](duration span) { return std::chrono::duration<double>(span).count(); };
    return burst + 2 * rate * seconds(grant_lifetime) +
           static_cast<double>(changes) / static_cast<double>(zones) *
               (burst + rate * seconds(max_view_delay));
}

TEST(limiter_fleet, demand_at_one_entry_gets_nearly_the_full_limit) {
    fleet entries{3, 3, {}, 1};
    entries.run(5s, 1, {"e0"});
    entries.run(5s, 100, {"e0"});
    const auto before = entries.requests().total();
    entries.run(20s, 100, {"e0"});
    const auto rate = (entries.requests().total() - before) / 20;
    EXPECT_GE(rate, 0.85 * 60);
    EXPECT_LE(rate, 1.02 * 60);
}

/// The prompt exceeds what one zone can ever accumulate, so it needs loans from other zones.
TEST(limiter_fleet, a_prompt_larger_than_the_zone_share_is_admitted) {
    fleet entries{6, 2, {}, 2};
    entries.run(10s, 1);
    entries.set_prompt_tokens(20000);
    const auto before = entries.requests().total();
    entries.run(20s, 0.5);
    EXPECT_GE(entries.requests().total() - before, 3);
    EXPECT_EQ(entries.refused(), 0U);
}

TEST(limiter_fleet, an_idle_fleet_admits_a_single_request_at_any_entry) {
    fleet entries{3, 4, {}, 3};
    entries.run(20s, 0);
    for (const auto& name : entries.names()) {
        const auto refused = entries.refused();
        entries.run(2s, 1, {name});
        EXPECT_EQ(entries.refused(), refused);
    }
    EXPECT_GT(entries.requests().total(), 10);
}

TEST(limiter_fleet, losing_the_allocator_does_not_stop_admission) {
    for (const auto* stopped : {"e0", "e1", "e2"}) {
        fleet entries{1, 3, {}, 4};
        entries.run(10s, 5);
        entries.stop_node(stopped);
        const auto before = entries.requests().total();
        entries.run(2s, 5);
        EXPECT_GE(entries.requests().total() - before, 4);
    }
}

TEST(limiter_fleet, a_cut_off_zone_admits_its_share) {
    fleet entries{3, 2, {}, 5};
    entries.run(10s, 5);
    entries.cut_zone("z1");
    entries.run(5s, 100, {"e1"});
    const auto before = entries.requests().total();
    entries.run(10s, 100, {"e1"});
    const auto rate = (entries.requests().total() - before) / 10;
    EXPECT_NEAR(rate, 20, 4);
}

TEST(limiter_fleet, idle_state_is_evicted) {
    fleet entries{2, 3, {}, 6};
    entries.run(5s, 50);
    EXPECT_GT(entries.active_count(), 0U);
    entries.run(30s, 0);
    EXPECT_EQ(entries.active_count(), 0U);
}

memory_net_options faulty_network() {
    memory_net_options options;
    options.loss = 0.05;
    options.duplication = 0.1;
    options.max_delay = 200ms;
    return options;
}

/// While no allocator changes, no sequence of losses, delays, duplicates and partitions makes the
/// fleet exceed the limits by more than the amounts held in grants and loans.
RC_GTEST_PROP(limiter_fleet, partitions_never_exceed_the_limits, (std::uint32_t seed)) {
    fleet entries{3, 3, faulty_network(), seed};
    entries.set_max_run_time(seed % 2 == 1 ? duration{4s} : duration{100ms});
    const auto steps = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 4));
    for (std::size_t index = 0; index < steps.size(); ++index) {
        switch (steps[index]) {
        case 0:
            entries.cut_zone("z" + std::to_string(index % 3));
            break;
        case 1:
            entries.heal();
            break;
        default:
            entries.run(2s, 200, {"e" + std::to_string((seed + index * 5) % 9)});
        }
        entries.run(1s, 100);
    }
    const auto limit = fleet_contract();
    const auto grant_seconds = 2 * std::chrono::duration<double>(grant_lifetime).count();
    RC_ASSERT(entries.requests().max_level() <=
              limit.request_burst + grant_seconds * limit.requests_per_second);
    RC_ASSERT(entries.prompt().max_level() <=
              limit.prompt_token_burst + grant_seconds * limit.prompt_tokens_per_second);
    RC_ASSERT(entries.max_running() <= limit.concurrency);
}

/// With restarts, pauses and changes of allocators as well, each change adds at most a zone's
/// share.
RC_GTEST_PROP(limiter_fleet, each_allocator_change_adds_at_most_a_zone_share,
              (std::uint32_t seed)) {
    constexpr std::size_t zones = 3;
    fleet entries{zones, 3, faulty_network(), seed};
    entries.set_max_run_time(seed % 2 == 1 ? duration{4s} : duration{100ms});
    const auto before = entries.view_changes();
    const auto steps = *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(0, 8));
    for (std::size_t index = 0; index < steps.size(); ++index) {
        const auto name = "e" + std::to_string((seed + index * 5) % 9);
        switch (steps[index]) {
        case 0:
            entries.stop_node(name);
            entries.run(1s, 200);
            entries.start_node(name);
            break;
        case 1:
            entries.pause_node(name);
            entries.run(3s, 200);
            entries.resume_node(name);
            break;
        case 2:
            entries.cut_zone("z" + std::to_string(index % zones));
            break;
        case 3:
            entries.heal();
            break;
        default:
            entries.run(1s, 200, {name});
        }
        entries.run(1s, 100);
    }
    const auto limit = fleet_contract();
    const auto changes = entries.view_changes() - before;
    RC_ASSERT(entries.requests().max_level() <=
              burst_bound(limit.requests_per_second, limit.request_burst, changes, zones));
    RC_ASSERT(entries.prompt().max_level() <= burst_bound(limit.prompt_tokens_per_second,
                                                          limit.prompt_token_burst, changes,
                                                          zones));
    RC_ASSERT(entries.max_running() <= limit.concurrency + changes * limit.concurrency / zones);
}

} // namespace
} // namespace magnolia
