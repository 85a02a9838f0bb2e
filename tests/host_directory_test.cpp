#include "host_directory.h"
#include "limit_sharing.h"
#include "memory_net.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <numeric>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{1h};
/// Interval of the gateway's ticks.
constexpr duration tick = 250ms;
/// Time within which all hosts know that one has ended or has come.
constexpr duration spread_time = 8s;

/// Hosts over a simulated network that loses datagrams.
class host_fleet {
public:
    /// @param listed  hosts that each finds in the store, whether they run or not.
    host_fleet(std::size_t hosts, std::size_t listed, double loss)
        : net_{{.loss = loss, .use_codec = true}, 1} {
        for (std::size_t index = 0; index < listed; ++index) {
            listed_.push_back({.name = "h" + std::to_string(index),
                               .zone = "z" + std::to_string(index % 5),
                               .address = "127.0.0.1",
                               .port = 7000,
                               .capacity = 120});
        }
        for (std::size_t index = 0; index < hosts; ++index) {
            start_host(index);
        }
    }

    void start_host(std::size_t index) { start_host(index, listed_.size()); }

    /// @param registered  number of the hosts that it finds in the store.
    void start_host(std::size_t index, std::size_t registered) {
        auto self = listed_[index];
        self.incarnation = ++incarnations_;
        auto& host = hosts_[self.name] = std::make_unique<host_directory>(self, incarnations_);
        host->add_listed(std::span{listed_}.first(registered), now_);
    }

    /// Sum of the parts of a limit that the running hosts take by their views.
    double divided_limit(double limit) const {
        double sum = 0;
        for (const auto& [name, host] : hosts_) {
            std::vector<std::string> names;
            std::ranges::transform(host->alive(), std::back_inserter(names), &member_info::name);
            sum += limit_share(limit, "b1", name, names);
        }
        return sum;
    }

    void end_host(const std::string& name) { hosts_.erase(name); }

    void run(duration span) {
        for (const auto end = now_ + span; now_ < end; now_ += tick / 5) {
            for (auto& delivery : net_.take_due(now_)) {
                if (const auto to = hosts_.find(delivery.to); to != hosts_.end()) {
                    send(delivery.to,
                         to->second->on_message(delivery.from, delivery.message, now_));
                }
            }
            if (++step_ % 5 == 0) {
                for (auto& [name, host] : hosts_) {
                    send(name, host->poll(now_));
                }
            }
        }
    }

    /// Hosts that take another number of hosts for alive.
    std::size_t wrong_views(std::size_t alive) const {
        return static_cast<std::size_t>(std::ranges::count_if(
            hosts_, [&](const auto& item) { return item.second->alive().size() != alive; }));
    }

    host_directory& host(const std::string& name) { return *hosts_.at(name); }
    memory_net& net() { return net_; }
    [[nodiscard]] time_point now() const { return now_; }

private:
    void send(const std::string& from, std::vector<outgoing_message> messages) {
        for (auto& message : messages) {
            net_.send(from, std::move(message), now_);
        }
    }

    std::map<std::string, std::unique_ptr<host_directory>> hosts_;
    memory_net net_;
    time_point now_ = start;
    std::vector<member_info> listed_;
    std::uint64_t incarnations_ = 0;
    std::size_t step_ = 0;
};

TEST(host_directory, listed_hosts_that_do_not_run_are_dropped_and_the_others_stay) {
    constexpr std::size_t running = 60;
    constexpr std::size_t listed = 80;
    host_fleet fleet{running, listed, 0.02};
    // Until they have answered, or not, they all count: nobody would tell them anything otherwise.
    EXPECT_EQ(fleet.host("h3").alive().size(), listed);
    fleet.run(15s);
    EXPECT_EQ(fleet.wrong_views(running), 0U);
    EXPECT_EQ(fleet.host("h3").known_count(), listed - 1);
    EXPECT_EQ(fleet.host("h3").live_count(), running - 1);
}

TEST(host_directory, a_host_that_ends_or_returns_is_known_everywhere_after_seconds) {
    constexpr std::size_t hosts = 100;
    host_fleet fleet{hosts, hosts, 0.02};
    fleet.run(25s);
    ASSERT_EQ(fleet.wrong_views(hosts), 0U);
    fleet.end_host("h7");
    fleet.run(spread_time);
    EXPECT_EQ(fleet.wrong_views(hosts - 1), 0U);
    EXPECT_FALSE(fleet.host("h3").is_alive("h7"));
    fleet.start_host(7);
    fleet.run(spread_time);
    EXPECT_EQ(fleet.wrong_views(hosts), 0U);
}

// Hosts that start at once find only those in the store that were a moment earlier, and hosts that
// were killed are missed at different times. A limit has to hold by the views that they have.
TEST(host_directory, parts_of_a_limit_hold_while_many_hosts_start_or_end) {
    constexpr double limit = 20;
    constexpr duration contact_time = 3s;
    constexpr duration window = 4s;
    constexpr duration step = 2 * tick;
    for (const std::size_t count : {4U, 9U, 28U, 83U, 296U}) {
        host_fleet fleet{0, count, 0.02};
        // Steady users send up to five limits in four seconds (a burst of one each); the bound of
        // six and five requests leaves one limit for hosts that disagree.
        const auto expect_divided = [&](duration span, const std::string& phase) {
            std::deque<double> excess(window / step, 0);
            for (const auto end = fleet.now() + span; fleet.now() < end; fleet.run(step)) {
                excess.pop_front();
                excess.push_back(std::max(0.0, fleet.divided_limit(limit) - limit) *
                                 std::chrono::duration<double>{step}.count());
                const auto requests = std::accumulate(excess.begin(), excess.end(), 0.0);
                EXPECT_LE(requests, limit + 5) << phase << " of " << count << " hosts";
            }
        };
        for (std::size_t index = 0; index < count; ++index) {
            fleet.start_host(index, index);
            if (index % (1 + count / 6) == 0) {
                fleet.run(50ms);
            }
        }
        fleet.run(contact_time);
        expect_divided(5s, "start");
        for (std::size_t index = 0; index < count; index += 2) {
            fleet.end_host("h" + std::to_string(index));
        }
        expect_divided(8s, "end of half");
        for (std::size_t index = 0; index < count; index += 2) {
            fleet.start_host(index);
        }
        expect_divided(8s, "return of half");
        EXPECT_GE(fleet.divided_limit(limit), 0.8 * limit) << count;
    }
}

TEST(host_directory, a_host_that_leaves_takes_no_more_work) {
    constexpr std::size_t hosts = 30;
    host_fleet fleet{hosts, hosts, 0};
    fleet.run(15s);
    for (auto& message : fleet.host("h7").leave()) {
        fleet.net().send("h7", std::move(message), fleet.now());
    }
    EXPECT_FALSE(fleet.host("h7").is_alive("h7"));
    fleet.run(spread_time);
    EXPECT_EQ(fleet.wrong_views(hosts - 1), 0U);
}

// Pattern: hosts x hosts datagrams for knowing who is alive.
TEST(host_directory, a_host_sends_the_same_at_any_number_of_hosts) {
    std::map<std::size_t, double> bytes_per_s;
    for (const std::size_t hosts : {76U, 295U}) {
        host_fleet fleet{hosts, hosts, 0.001};
        fleet.run(25s);
        fleet.net().reset_traffic();
        constexpr auto measured = 5s;
        fleet.run(measured);
        double most = 0;
        for (const auto& [name, traffic] : fleet.net().traffic()) {
            most = std::max(most, static_cast<double>(traffic.bytes_out) /
                                      std::chrono::duration<double>{measured}.count());
        }
        bytes_per_s[hosts] = most;
    }
    // Of the 9 KB/s that a host may spend on control.
    EXPECT_LT(bytes_per_s[295], 3000);
    EXPECT_LT(bytes_per_s[295], 1.5 * bytes_per_s[76]);
}

TEST(host_directory, processes_that_are_replaced_or_silent_are_lost_once) {
    host_directory directory{{.name = "a", .zone = "z1", .incarnation = 1}, 1};
    const std::set<std::string, std::less<>> digest_senders{"b"};
    EXPECT_TRUE(directory.on_process("b", 7, start));
    EXPECT_FALSE(directory.on_process("b", 7, start + 1s));
    EXPECT_TRUE(directory.on_process("b", 8, start + 2s));
    EXPECT_EQ(directory.take_lost(digest_senders, start + 2s), std::vector<std::uint64_t>{7});
    EXPECT_TRUE(directory.on_process("c", 9, start + 2s));
    EXPECT_TRUE(directory.take_lost(digest_senders, start + 4s).empty());
    // Only those that send digests are missed.
    EXPECT_EQ(directory.take_lost(digest_senders, start + 5s), std::vector<std::uint64_t>{8});
    EXPECT_TRUE(directory.take_lost(digest_senders, start + 6s).empty());
    EXPECT_TRUE(directory.on_process("b", 8, start + 7s));
}

TEST(host_directory, a_process_ends_with_its_host) {
    constexpr std::size_t hosts = 12;
    host_fleet fleet{hosts, hosts, 0};
    fleet.run(10s);
    auto& directory = fleet.host("h0");
    EXPECT_TRUE(directory.on_process("h5", 55, fleet.now()));
    fleet.end_host("h5");
    fleet.run(spread_time);
    EXPECT_EQ(directory.take_lost({}, fleet.now()), std::vector<std::uint64_t>{55});
}

} // namespace
} // namespace magnolia
