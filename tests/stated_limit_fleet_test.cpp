#include "backend_fleet.h"
#include "peer_codec.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <random>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};
constexpr std::size_t zone_count = 4;
constexpr std::size_t engines_per_zone = 14;
/// The engine that states a limit.
const std::string limited_engine = "z0e3";

std::string zone_name(std::size_t index) {
    return "z" + std::to_string(index % zone_count);
}

placement_query short_prompt() {
    placement_query query;
    query.demand.prompt_tokens = 5000;
    query.demand.answer_tokens = 1000;
    query.demand.target_latency = 1s;
    query.demand.target_pause = 250ms;
    query.demand.time_limit = 10s;
    query.demand.value = 1.5;
    query.time_left = 10s;
    return query;
}

/// All hosts of a deployment, each with its own view of it, before engines of which one states a
/// limit and the others take nothing.
class limited_engine_fleet : public testing::TestWithParam<std::size_t> {
protected:
    static constexpr duration step = 20ms;
    static constexpr duration max_told_delay = 500ms;
    /// The bound of the users holds from this time after the first statement.
    static constexpr duration contact_time = 3s;
    static constexpr duration window = 4s;
    /// Time after which every host knows of a change.
    static constexpr duration max_lag = 2s;
    /// Longest time between two changes.
    static constexpr duration max_pause = 5s;
    /// Time for which hosts use an entry that is no longer listed.
    static constexpr duration entry_grace = 60s;

    struct host {
        located_name place;
        std::unique_ptr<backend_fleet> fleet;
        /// Time at which it is told the limit.
        time_point told_at{};
        std::function<void(host&, time_point)> change;
        time_point change_at{};
        bool is_down = false;
    };

    [[nodiscard]] static std::vector<located_name> host_names(std::size_t count) {
        std::vector<located_name> names;
        for (std::size_t index = 0; index < count; ++index) {
            names.push_back({"h" + std::to_string(index), zone_name(index)});
        }
        return names;
    }

    [[nodiscard]] static backend_info engine(const std::string& zone, std::size_t index) {
        backend_info info;
        info.id = zone + "e" + std::to_string(index);
        info.service = "llm";
        info.address = {"127.0.0.1", 1};
        info.zone = zone;
        info.slots = 16;
        info.is_leaving = info.id != limited_engine;
        return info;
    }

    /// Starts anew with this limit.
    void reset(double limit) {
        limit_ = limit;
        now_ = start;
        arrivals_.clear();
        senders_.clear();
        hosts_.clear();
        engine_profile profile;
        profile.memory_tokens = 232'000;
        profile.steps_per_pass = 43;
        profile.slots = 16;
        profile.prefill_tokens_per_ms = 206;
        profile.prefill_tokens_per_step = 2048;
        names_ = host_names(GetParam());
        for (const auto& name : names_) {
            auto fleet = std::make_unique<backend_fleet>(name.zone, hosts_.size() + 1,
                                                         placement_policy::pause_aware);
            fleet->set_services({{"llm", profile}});
            for (std::size_t zone = 0; zone < zone_count; ++zone) {
                for (std::size_t index = 0; index < engines_per_zone; ++index) {
                    fleet->put(engine(zone_name(zone), index));
                }
            }
            fleet->set_hosts(name.name, names_, start);
            auto& created = hosts_.emplace_back();
            created.place = name;
            created.fleet = std::move(fleet);
            created.told_at = start + random_time(max_told_delay);
        }
    }

    /// The host's list has this number of engines of the zone from now on.
    static void list_engines(host& host, const std::string& zone, std::size_t count,
                             time_point now) {
        for (std::size_t index = 0; index < engines_per_zone; ++index) {
            const auto info = engine(zone, index);
            index < count ? host.fleet->put(info) : host.fleet->remove(info.id, 0s, now);
        }
    }

    /// Changes what the hosts know, each at a time of its own from now on.
    void change_at_hosts(duration max_delay, const std::function<void(host&, time_point)>& change) {
        for (auto& host : hosts_) {
            host.change_at = now_ + random_time(max_delay);
            host.change = change;
        }
    }

    duration random_time(duration longest) {
        return duration{std::uniform_int_distribution<duration::rep>{0, longest.count()}(random_)};
    }

    /// Hosts, or the engines of a zone, end or are back, or the entry of the limited engine lapses
    /// for a moment.
    void start_random_change() {
        switch (random_() % 4) {
        case 0:
        case 1: {
            const auto share = 2 + random_() % 4;
            std::vector<located_name> left;
            for (auto& host : hosts_) {
                host.is_down = random_() % share == 0;
                if (!host.is_down) {
                    left.push_back(host.place);
                }
            }
            return change_at_hosts(max_lag, [left](auto& host, time_point now) {
                host.fleet->set_hosts(host.place.name, left, now);
            });
        }
        case 2: {
            const auto zone = zone_name(1 + random_() % (zone_count - 1));
            const auto count = random_() % (engines_per_zone + 1);
            return change_at_hosts(max_lag, [zone, count](auto& host, time_point now) {
                list_engines(host, zone, count, now);
            });
        }
        default:
            return change_at_hosts(max_lag, [](auto& host, time_point now) {
                host.fleet->remove(limited_engine, entry_grace, now);
            });
        }
    }

    /// Every host sends the limited engine as many requests as it may.
    void send_until(time_point end) {
        for (; now_ < end; now_ += step) {
            for (auto& host : hosts_) {
                if (host.is_down) {
                    continue;
                }
                if (host.change && host.change_at <= now_) {
                    std::exchange(host.change, nullptr)(host, now_);
                }
                if (host.told_at <= now_) {
                    host.fleet->set_stated_limit({limited_engine, 0}, limit_, now_);
                    host.told_at = time_point::max();
                }
                send_from(host);
            }
        }
    }

    void send_from(host& host) {
        if (!host.fleet->stated_limit(limited_engine)) {
            return;
        }
        while (const auto chosen = host.fleet->choose("llm", short_prompt(), {}, now_)) {
            const auto job = host.fleet->start(*chosen, short_prompt().demand, now_);
            host.fleet->on_ended(job, attempt_result::done, now_);
            arrivals_.push_back(now_);
            senders_[host.place.zone].insert(host.place.name);
        }
    }

    /// Most requests that the engine got in a window after the contact time.
    [[nodiscard]] std::size_t most_requests() const {
        std::size_t most = 0;
        auto first = std::ranges::lower_bound(arrivals_, start + contact_time);
        for (auto last = first; last != arrivals_.end(); ++last) {
            while (*first <= *last - window) {
                ++first;
            }
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }

    /// For failures: the limit, and how many hosts of each zone have sent.
    [[nodiscard]] std::string trace() const {
        std::string text = "limit " + std::to_string(limit_) + ", senders";
        for (const auto& [zone, names] : senders_) {
            text += " " + zone + "=" + std::to_string(names.size());
        }
        return text;
    }

    [[nodiscard]] std::size_t max_requests() const {
        return static_cast<std::size_t>(limit_ * 1.5 * 4) + 5;
    }

    [[nodiscard]] double rate(time_point from, time_point to) const {
        const auto count =
            std::ranges::count_if(arrivals_, [&](const auto at) { return at >= from && at < to; });
        return static_cast<double>(count) / std::chrono::duration<double>{to - from}.count();
    }

    void expect_bound() const { EXPECT_LE(most_requests(), max_requests()) << trace(); }

    /// The bound holds, and the demand since this time has used the limit.
    void expect_bound_and_use(time_point since) const {
        expect_bound();
        EXPECT_GE(rate(since, now_), 0.8 * limit_) << trace();
    }

    std::mt19937_64 random_{GetParam()};
    double limit_ = 0;
    std::vector<located_name> names_;
    std::vector<host> hosts_;
    time_point now_ = start;
    /// Requests at the limited engine, in order.
    std::vector<time_point> arrivals_;
    /// Hosts that have sent any of them, by zone.
    std::map<std::string, std::set<std::string>> senders_;
};

// Incident LIMIT: hosts outside the engine's zone counted themselves among its users, each over a
// set of its own, and the parts of all hosts were many times the limit.
TEST_P(limited_engine_fleet, a_limit_holds_over_the_hosts_of_all_zones) {
    for (const double limit : {1, 2, 5, 20}) {
        reset(limit);
        send_until(start + 14s);
        expect_bound_and_use(start + contact_time);
    }
}

// The division of the engines among the hosts depends on their list, of which hosts learn at
// different times.
TEST_P(limited_engine_fleet, a_limit_holds_while_the_list_of_engines_changes) {
    for (const double limit : {1, 5, 20}) {
        reset(limit);
        send_until(start + 6s);
        change_at_hosts(2s, [](auto& host, time_point now) { list_engines(host, "z1", 6, now); });
        send_until(start + 14s);
        expect_bound();
        change_at_hosts(2s, [](auto& host, time_point now) {
            list_engines(host, "z1", engines_per_zone, now);
        });
        send_until(start + 22s);
        expect_bound_and_use(start + 18s);
    }
}

// A zone loses its engines, and hosts of other zones learn of the limit only after that: their
// shares were of another division than those of the engine's zone, for as long as the limit was in
// force.
TEST_P(limited_engine_fleet, shares_follow_a_change_of_the_list_of_engines) {
    for (const double limit : {1, 5, 20}) {
        reset(limit);
        for (auto& host : hosts_) {
            host.told_at = now_ + (host.place.zone == "z0" ? 0s : 1s);
        }
        send_until(start + 500ms);
        change_at_hosts(0s, [](auto& host, time_point now) { list_engines(host, "z1", 6, now); });
        send_until(start + 10s);
        expect_bound_and_use(start + contact_time);
    }
}

// Two hosts of three end, and the others notice at different times; later they are back.
TEST_P(limited_engine_fleet, a_limit_holds_while_hosts_end_and_start) {
    for (const double limit : {1, 5, 20}) {
        reset(limit);
        send_until(start + 6s);
        std::vector<located_name> left;
        for (std::size_t index = 0; index < hosts_.size(); ++index) {
            hosts_[index].is_down = index % 3 != 0;
            if (!hosts_[index].is_down) {
                left.push_back(names_[index]);
            }
        }
        change_at_hosts(2500ms, [left](auto& host, time_point now) {
            host.fleet->set_hosts(host.place.name, left, now);
        });
        send_until(start + 14s);
        expect_bound();
        std::ranges::for_each(hosts_, [](auto& host) { host.is_down = false; });
        change_at_hosts(2500ms, [this](auto& host, time_point now) {
            host.fleet->set_hosts(host.place.name, names_, now);
        });
        send_until(start + 22s);
        expect_bound_and_use(start + 18s);
    }
}

// A server in greater need names a lower limit.
TEST_P(limited_engine_fleet, a_lower_limit_holds_soon_after_it_is_stated) {
    reset(20);
    send_until(start + 6s);
    limit_ = 1;
    arrivals_.clear();
    std::ranges::for_each(
        hosts_, [this](auto& host) { host.told_at = now_ + random_time(max_told_delay); });
    const auto stated_at = now_;
    send_until(now_ + 10s);
    std::erase_if(arrivals_, [&](const auto at) { return at < stated_at + contact_time; });
    expect_bound_and_use(stated_at + contact_time);
}

// Hosts took an engine that was no longer listed for one of their own zone.
TEST_P(limited_engine_fleet, a_limit_holds_while_the_entry_of_its_server_has_lapsed) {
    for (const double limit : {1, 5, 20}) {
        reset(limit);
        for (auto& host : hosts_) {
            host.fleet->remove(limited_engine, entry_grace, now_);
        }
        send_until(start + 10s);
        expect_bound_and_use(start + contact_time);
    }
}

// Each host of another zone took the whole limit of an engine whose zone has no hosts.
TEST_P(limited_engine_fleet, a_limit_holds_in_a_zone_without_hosts) {
    for (const double limit : {1, 5, 20}) {
        reset(limit);
        auto left = names_;
        std::erase_if(left, [](const auto& name) { return name.zone == "z0"; });
        for (auto& host : hosts_) {
            host.is_down = host.place.zone == "z0";
            host.fleet->set_hosts(host.place.name, left, now_);
        }
        send_until(start + 10s);
        expect_bound_and_use(start + contact_time);
    }
}

// A limit keeps requests from its server, not from the others.
TEST_P(limited_engine_fleet, callers_are_served_by_the_other_engines) {
    reset(1);
    for (auto& host : hosts_) {
        for (std::size_t index = 0; index < engines_per_zone * zone_count; ++index) {
            auto info = engine(zone_name(index), index / zone_count);
            info.is_leaving = false;
            host.fleet->put(info);
        }
        host.fleet->set_stated_limit({limited_engine, 0}, limit_, now_);
    }
    std::size_t unserved = 0;
    for (; now_ < start + 8s; now_ += 200ms) {
        for (auto& host : hosts_) {
            const auto chosen = host.fleet->choose("llm", short_prompt(), {}, now_);
            if (!chosen) {
                ++unserved;
                continue;
            }
            const auto job = host.fleet->start(*chosen, short_prompt().demand, now_);
            host.fleet->on_ended(job, attempt_result::done, now_);
            if (chosen->members.front().id == limited_engine) {
                arrivals_.push_back(now_);
            }
        }
    }
    EXPECT_EQ(unserved, 0U);
    EXPECT_LE(most_requests(), max_requests());
}

// Hosts, zones' engines and the engine's own entry come and go, and hosts notice at different
// times.
TEST_P(limited_engine_fleet, a_limit_holds_in_a_series_of_changes) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        random_.seed(seed);
        reset(std::array{1, 5, 20}[seed % 3]);
        for (int change = 0; change < 8; ++change) {
            send_until(now_ + random_time(max_pause));
            start_random_change();
        }
        send_until(now_ + max_lag);
        EXPECT_LE(most_requests(), max_requests()) << trace() << " seed " << seed;
    }
}

/// A host before many servers of a service without engines, all of which state limits.
backend_fleet many_limited_servers(std::size_t count) {
    backend_fleet fleet{"z0", 1, placement_policy::pause_aware};
    for (std::size_t index = 0; index < count; ++index) {
        backend_info info;
        info.id = "s" + std::to_string(index);
        info.service = "desk";
        fleet.put(info);
    }
    return fleet;
}

// A digest has room for 64 limits. It told the same ones each time, and the others never.
TEST(told_limits, more_than_a_digest_holds_are_told_in_turn) {
    constexpr std::size_t count = 100;
    auto told = many_limited_servers(count);
    auto untold = many_limited_servers(count);
    for (std::size_t index = 0; index < count; ++index) {
        EXPECT_TRUE(told.set_stated_limit({"s" + std::to_string(index), 0}, 5, start));
    }
    for (int digest = 0; digest < 2; ++digest) {
        untold.apply_limits(told.take_limits_to_tell(start + 1s), start + 1s);
    }
    EXPECT_EQ(untold.limited_count(), count);
}

// The others refused the whole digest, with the placements and all that it tells.
TEST(told_limits, a_huge_limit_leaves_the_digest_readable) {
    auto told = many_limited_servers(1);
    EXPECT_TRUE(told.set_stated_limit({"s0", 0}, 1e300, start));
    placement_update digest;
    digest.limits = told.take_limits_to_tell(start);
    std::string frame;
    ASSERT_TRUE(append_frame(digest, frame));
    frame_splitter splitter;
    splitter.append({reinterpret_cast<const std::uint8_t*>(frame.data()), frame.size()});
    EXPECT_TRUE(splitter.next());
}

INSTANTIATE_TEST_SUITE_P(hosts, limited_engine_fleet, testing::Values(4, 9, 28, 83, 296),
                         [](const auto& sized) { return std::to_string(sized.param); });

} // namespace
} // namespace magnolia
