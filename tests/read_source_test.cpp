#include "read_source.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds step{10};
/// Times of the store and of the hosts, as in the gateway.
constexpr milliseconds contact_time{3000};
constexpr milliseconds flush_interval{250};
constexpr milliseconds refused_call{20};
/// A call that is not sent within its timeout, as the store has asked for a pause.
constexpr milliseconds busy_call{710};
constexpr milliseconds silent_watch{2190};
constexpr milliseconds reader_wait{1500};
constexpr milliseconds digest_interval{500};
constexpr milliseconds min_lag_time{400};
constexpr milliseconds resync_interval{1000};
constexpr std::size_t far_digests = 8;
/// Tightest bound of configurations and removals.
constexpr milliseconds bound{2000};
constexpr std::size_t max_undivided = 24;
constexpr std::size_t zone_count = 3;

enum class refusal : std::uint8_t { reset, busy, silence };

/// A deployment whose store turns some hosts away at time zero, and changes 10 ms later. Digests
/// are lossless; calls between hosts take a step.
class turned_away_deployment {
public:
    turned_away_deployment(std::size_t hosts, std::size_t lost_watchers, refusal kind,
                           std::uint64_t seed)
        : kind_{kind}, random_{seed}, hosts_(hosts) {
        for (std::size_t host = 0; host < hosts; ++host) {
            auto& self = hosts_[host];
            self.has_store = host / zone_count >= lost_watchers || host % zone_count != 0;
            self.notices_loss_at = start_ + time_to_notice();
            self.next_digest = start_ + draw(digest_interval);
            if (hosts > max_undivided && host / zone_count >= 2) {
                self.source.set_relays(watchers_of(host % zone_count, host), far_of(host), hosts);
            }
            begin(host, start_ - draw(reader_wait));
        }
    }

    /// Longest time until a host that the store answers has the change.
    milliseconds run() {
        const auto changed = start_ + step;
        milliseconds worst{0};
        for (now_ = start_; now_ < start_ + milliseconds{8000}; now_ += step) {
            is_changed_ = now_ >= changed;
            for (std::size_t host = 0; host < hosts_.size(); ++host) {
                progress(host);
            }
            max_at_store_ = std::max(max_at_store_, readers_at_store());
            const auto all = std::ranges::all_of(
                hosts_, [](const auto& item) { return item.has_change || !item.has_store; });
            if (all) {
                break;
            }
            worst = std::chrono::duration_cast<milliseconds>(now_ - changed);
        }
        return worst;
    }

    [[nodiscard]] std::size_t max_at_store() const { return max_at_store_; }

private:
    struct host_state {
        read_source source;
        bool has_store = true;
        bool has_change = false;
        time_point notices_loss_at{};
        read_choice reads;
        time_point call_ends{};
        time_point next_digest{};
        time_point behind_since{};
        time_point next_resync{};
        std::string teller;
    };

    [[nodiscard]] milliseconds time_to_notice() const {
        return kind_ == refusal::silence ? silent_watch
               : kind_ == refusal::busy  ? busy_call
                                         : refused_call;
    }

    static std::string name(std::size_t host) { return std::to_string(host); }

    std::vector<std::string> watchers_of(std::size_t zone, std::size_t reader) {
        std::vector<std::string> names{name(zone), name(zone + zone_count)};
        if (reader / zone_count % 2 == 1) {
            std::ranges::reverse(names);
        }
        return names;
    }

    std::vector<std::string> far_of(std::size_t host) {
        std::vector<std::string> names;
        for (std::size_t watcher = 0; watcher < 2 * zone_count; ++watcher) {
            if (watcher % zone_count != host % zone_count) {
                names.push_back(name(watcher));
            }
        }
        std::ranges::shuffle(names, random_);
        names.resize(3);
        return names;
    }

    duration draw(milliseconds longest) {
        return milliseconds{
            std::uniform_int_distribution<std::int64_t>{0, longest.count()}(random_)};
    }

    double share() { return std::uniform_real_distribution<double>{0, 1}(random_); }

    std::size_t readers_at_store() const {
        const auto is_at_store = [](const auto& item) { return item.reads.is_store(); };
        return static_cast<std::size_t>(std::ranges::count_if(hosts_, is_at_store));
    }

    void begin(std::size_t host, time_point at) {
        auto& self = hosts_[host];
        self.reads = self.source.choose(at, share());
        self.call_ends = at + reader_wait;
    }

    [[nodiscard]] bool knows_loss(const host_state& item) const {
        return !item.has_store && now_ >= item.notices_loss_at + flush_interval;
    }

    void progress(std::size_t host) {
        auto& self = hosts_[host];
        read(host);
        if (now_ >= self.next_digest) {
            self.next_digest += digest_interval;
            tell(host);
        }
        if (self.teller.empty() || self.has_change) {
            self.behind_since = {};
        } else if (self.behind_since == time_point{}) {
            self.behind_since = now_;
        } else if (now_ - self.behind_since >= min_lag_time && now_ >= self.next_resync) {
            self.next_resync = now_ + resync_interval;
            self.source.on_lag(self.teller, now_);
            begin(host, now_);
        }
    }

    void read(std::size_t host) {
        auto& self = hosts_[host];
        if (self.reads.is_store()) {
            if (self.has_store) {
                self.has_change = self.has_change || is_changed_;
                self.source.on_store_answer(true, now_);
                begin(host, now_);
            } else if (now_ >= self.notices_loss_at) {
                self.source.on_store_answer(false, now_);
                begin(host, now_);
            }
            return;
        }
        const auto& from = hosts_[std::stoul(self.reads.host)];
        const bool is_lost = knows_loss(from);
        const bool is_news = from.has_change && !self.has_change;
        const bool is_over = now_ >= self.call_ends;
        if (is_news || is_over || (is_lost && self.reads.reports_loss)) {
            self.has_change = self.has_change || is_news;
            self.source.on_answer(self.reads.host, milliseconds{0}, is_lost, now_, share());
            begin(host, now_);
        }
    }

    void tell(std::size_t host) {
        if (!hosts_[host].has_change) {
            return;
        }
        for (std::size_t told = 0; told < far_digests; ++told) {
            auto& other =
                hosts_[std::uniform_int_distribution<std::size_t>{0, hosts_.size() - 1}(random_)];
            if (!other.has_change) {
                other.teller = name(host);
            }
        }
    }

    refusal kind_;
    std::mt19937_64 random_;
    time_point start_{std::chrono::seconds{100}};
    time_point now_ = start_;
    bool is_changed_ = false;
    std::vector<host_state> hosts_;
    std::size_t max_at_store_ = 0;
};

class read_source_deployment
    : public testing::TestWithParam<std::tuple<std::size_t, std::size_t, refusal>> {};

// Incident CONFIG, DRAIN: the store turned away just the hosts that a zone reads from.
TEST_P(read_source_deployment, hosts_that_reach_the_store_are_up_to_date_in_time) {
    const auto [hosts, lost, kind] = GetParam();
    constexpr std::uint64_t seeds = 20;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        turned_away_deployment deployment{hosts, lost, kind, seed};
        EXPECT_LT(deployment.run(), bound) << "seed " << seed;
        if (hosts > max_undivided) {
            // The watchers, and a few that try.
            EXPECT_LE(deployment.max_at_store(), 2 * zone_count + 6) << "seed " << seed;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(turned_away, read_source_deployment,
                         testing::Combine(testing::Values(4, 9, 83, 295), testing::Values(1, 2),
                                          testing::Values(refusal::reset, refusal::busy,
                                                          refusal::silence)));

class read_source_test : public testing::Test {
protected:
    void SetUp() override { source_.set_relays({"a", "b"}, {"x", "y"}, 100); }

    std::string next() { return source_.choose(now_, 0.5).host; }
    void lose(const std::string& host) {
        EXPECT_TRUE(source_.on_answer(host, milliseconds{0}, true, now_, 0.5));
    }

    read_source source_;
    time_point now_{std::chrono::seconds{100}};
};

TEST_F(read_source_test, the_other_watcher_comes_first_then_those_of_other_zones) {
    EXPECT_EQ(next(), "a");
    lose("a");
    EXPECT_EQ(next(), "b");
    lose("b");
    EXPECT_EQ(next(), "x");
    source_.on_failure("x", now_);
    EXPECT_EQ(next(), "y");
    now_ += milliseconds{2100};
    EXPECT_EQ(next(), "a");
}

TEST_F(read_source_test, while_all_have_lost_the_store_hosts_try_it_twice_a_second_together) {
    int trials = 0;
    const auto end = now_ + std::chrono::seconds{1000};
    std::mt19937_64 random{1};
    std::uniform_real_distribution<double> share{0, 1};
    for (; now_ < end; now_ += milliseconds{20}) {
        for (const auto* host : {"a", "b", "x", "y"}) {
            lose(host);
        }
        const auto choice = source_.choose(now_, share(random));
        if (choice.is_store()) {
            ++trials;
            source_.on_store_answer(false, now_);
        } else {
            EXPECT_TRUE(choice.accepts_loss);
        }
    }
    // Of one host in a hundred.
    EXPECT_GE(trials, 15);
    EXPECT_LE(trials, 27);
}

TEST_F(read_source_test, sources_that_do_not_answer_are_replaced_by_the_store_at_once) {
    for (const auto* host : {"a", "b", "x", "y"}) {
        source_.on_failure(host, now_);
    }
    EXPECT_EQ(next(), "");
}

TEST_F(read_source_test, a_host_that_is_behind_reads_from_the_one_that_told_it) {
    EXPECT_EQ(next(), "a");
    source_.on_lag("teller", now_);
    EXPECT_EQ(next(), "teller");
    source_.on_failure("teller", now_);
    EXPECT_EQ(next(), "x");
}

// Review case 2, CONFIG: a host went on reading for 3.5 s from one that had lost the store.
TEST_F(read_source_test, a_teller_that_has_lost_the_store_is_left_at_once) {
    source_.set_relays({}, {}, 2);
    source_.on_store_answer(false, now_);
    source_.on_lag("teller", now_);
    const auto detour = source_.choose(now_, 0.5);
    EXPECT_EQ(detour.host, "teller");
    EXPECT_TRUE(detour.accepts_loss) << "it may be the only one that knows";
    EXPECT_TRUE(detour.reports_loss) << "it must not wait for a change that it cannot learn of";
    EXPECT_TRUE(source_.on_answer("teller", milliseconds{0}, true, now_, 0.5));
    EXPECT_EQ(next(), "");
}

// As above, with a state that was confirmed too long ago.
TEST_F(read_source_test, a_teller_with_an_old_state_is_left_at_once) {
    source_.set_max_age(milliseconds{3000});
    EXPECT_EQ(next(), "a");
    source_.on_lag("teller", now_);
    EXPECT_EQ(next(), "teller");
    EXPECT_TRUE(source_.on_answer("teller", milliseconds{3001}, false, now_, 0.5));
    EXPECT_EQ(next(), "x");
}

// As above: watches that begin in a detour lasted beyond it.
TEST_F(read_source_test, no_wait_at_a_teller_lasts_longer_than_the_detour) {
    EXPECT_EQ(next(), "a");
    source_.on_lag("teller", now_);
    now_ += milliseconds{1500};
    const auto detour = source_.choose(now_, 0.5);
    EXPECT_EQ(detour.host, "teller");
    now_ += std::chrono::duration_cast<milliseconds>(detour.longest_wait);
    EXPECT_EQ(next(), "a") << "its own source is tried again";
}

TEST_F(read_source_test, a_detour_of_a_host_of_a_small_deployment_ends_when_the_store_answers) {
    source_.set_relays({}, {}, 9);
    source_.on_store_answer(false, now_);
    source_.on_lag("teller", now_);
    EXPECT_EQ(next(), "teller");
    source_.on_store_answer(true, now_);
    EXPECT_EQ(next(), "");
}

TEST_F(read_source_test, a_host_whose_calls_to_the_store_fail_reads_from_the_one_that_told_it) {
    source_.set_relays({}, {}, 9);
    EXPECT_EQ(next(), "");
    source_.on_store_answer(true, now_);
    source_.on_lag("teller", now_);
    EXPECT_EQ(next(), "") << "a watch may be lost";
    source_.on_store_answer(false, now_);
    source_.on_lag("teller", now_);
    EXPECT_EQ(next(), "teller");
    now_ += milliseconds{2000};
    EXPECT_EQ(next(), "");
}

TEST_F(read_source_test, an_old_view_is_better_than_one_that_has_lost_the_store) {
    source_.set_max_age(contact_time);
    lose("a");
    EXPECT_TRUE(source_.on_answer("b", contact_time + step, false, now_, 0.5));
    lose("x");
    lose("y");
    EXPECT_EQ(next(), "b");
}

} // namespace
} // namespace magnolia
