#include "lag_detector.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

struct numbered_state {
    int number = 0;

    [[nodiscard]] bool is_newer_than(const numbered_state& other) const {
        return number > other.number;
    }
};

constexpr numbered_state older{1};
constexpr numbered_state newer{2};

class lag_detector_test : public testing::Test {
protected:
    /// Number of resyncs in a time during which the others tell these states in turn.
    int count_resyncs(std::initializer_list<numbered_state> told, milliseconds time) {
        int resyncs = 0;
        for (const auto end = now_ + time; now_ <= end; now_ += interval) {
            for (const auto& state : told) {
                detector_.on_digest(state, now_);
            }
            resyncs += detector_.needs_resync(older, now_) ? 1 : 0;
        }
        return resyncs;
    }

    static constexpr milliseconds interval{50};
    lag_detector<numbered_state> detector_;
    time_point now_{std::chrono::seconds{100}};
};

TEST_F(lag_detector_test, a_lag_must_persist) {
    EXPECT_EQ(count_resyncs({newer}, milliseconds{350}), 0);
    EXPECT_FALSE(detector_.needs_resync(newer, now_));
    EXPECT_EQ(count_resyncs({newer}, milliseconds{350}), 0);
    EXPECT_EQ(count_resyncs({newer}, milliseconds{100}), 1);
}

// Incident CONFIG: digests of hosts that had missed the change as well ended the lag each time.
TEST_F(lag_detector_test, hosts_that_are_behind_too_do_not_end_a_lag) {
    EXPECT_EQ(count_resyncs({newer, older}, milliseconds{450}), 1);
}

TEST_F(lag_detector_test, resyncs_are_a_second_apart) {
    const int resyncs = count_resyncs({newer}, milliseconds{5000});
    EXPECT_GE(resyncs, 4);
    EXPECT_LE(resyncs, 5);
}

// Incident CONFIG: a host whose calls had failed once never read elsewhere.
TEST_F(lag_detector_test, the_host_that_told_the_newest_state_is_known) {
    detector_.on_digest(older, now_, "behind");
    detector_.on_digest(newer, now_, "ahead");
    detector_.on_digest(older, now_, "behind");
    EXPECT_EQ(detector_.teller(), "ahead");
}

// A host that told a state that the store never had must not cause resyncs for ever.
TEST_F(lag_detector_test, a_state_that_no_host_tells_any_more_is_forgotten) {
    detector_.on_digest(newer, now_);
    EXPECT_GT(count_resyncs({older}, milliseconds{5000}), 0);
    EXPECT_EQ(count_resyncs({older}, milliseconds{5000}), 0);
}

} // namespace
} // namespace magnolia
