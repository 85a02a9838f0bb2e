#include "backend_states.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace magnolia {
namespace {

using std::chrono::seconds;

struct backend_states_test : testing::Test {
    backend_states states{"entry-1", {}};
    time_point now{seconds{100}};
    std::vector<listed_backend> live{{"engine-1", host_state::live}};

    backend_states_test() {
        states.apply_list(live);
        static_cast<void>(states.take_changes());
    }

    host_state state() const { return states.state("engine-1"); }
};

TEST_F(backend_states_test, a_leaving_report_takes_precedence_over_a_lagging_list) {
    states.on_state_report("engine-1", host_state::leaving, duration{0}, now);
    EXPECT_EQ(states.take_changes(),
              (std::vector<backend_change>{{"engine-1", host_state::leaving}}));
    states.apply_list(live);
    EXPECT_EQ(state(), host_state::leaving);
}

TEST_F(backend_states_test, an_old_report_does_not_undo_a_leaving_report) {
    states.on_state_report("engine-1", host_state::leaving, duration{0}, now);
    states.on_state_report("engine-1", host_state::live, seconds{1}, now + seconds{2});
    EXPECT_EQ(state(), host_state::leaving);
    states.on_state_report("engine-1", host_state::live, seconds{1}, now + seconds{4});
    EXPECT_EQ(state(), host_state::live);
}

TEST_F(backend_states_test, older_updates_are_ignored_and_a_tie_is_restrictive) {
    states.apply_update({"engine-1", host_state::leaving, 3, "entry-2"}, now);
    states.apply_update({"engine-1", host_state::live, 2, "entry-3"}, now);
    EXPECT_EQ(state(), host_state::leaving);
    states.apply_update({"engine-1", host_state::live, 3, "entry-3"}, now);
    EXPECT_EQ(state(), host_state::leaving);
    states.apply_update({"engine-1", host_state::live, 4, "entry-3"}, now);
    EXPECT_EQ(state(), host_state::live);
}

TEST_F(backend_states_test, updates_are_gossiped_for_a_few_rounds) {
    states.apply_update({"engine-1", host_state::leaving, 1, "entry-2"}, now);
    int rounds = 0;
    while (states.next_due() != time_point::max()) {
        rounds += static_cast<int>(states.poll(states.next_due()).size());
    }
    EXPECT_EQ(rounds, 3);
    states.apply_update({"engine-1", host_state::leaving, 1, "entry-3"}, now);
    EXPECT_EQ(states.next_due(), time_point::max());
}

TEST_F(backend_states_test, the_list_adds_and_removes_backend_servers) {
    states.apply_list({});
    EXPECT_EQ(state(), host_state::gone);
    states.apply_list(live);
    EXPECT_EQ(state(), host_state::live);
    states.apply_list(std::vector<listed_backend>{{"engine-1", host_state::leaving}});
    EXPECT_EQ(state(), host_state::leaving);
}

RC_GTEST_PROP(backend_states_property, entries_converge_whatever_the_order_of_updates, ()) {
    const auto values = *rc::gen::container<std::vector<unsigned>>(12, rc::gen::inRange(0U, 12U));
    std::vector<backend_state_message> updates;
    updates.reserve(values.size());
    for (const auto value : values) {
        updates.push_back({"engine-1", value % 2 == 0 ? host_state::live : host_state::leaving,
                           1 + value / 2, "entry-2"});
    }
    const auto state_after_updates = [&updates] {
        backend_states states{"entry-1", {}};
        states.apply_list(std::vector<listed_backend>{{"engine-1", host_state::live}});
        for (const auto& item : updates) {
            states.apply_update(item, {});
        }
        return states.state("engine-1");
    };
    const auto first = state_after_updates();
    std::ranges::reverse(updates);
    RC_ASSERT(state_after_updates() == first);
}

} // namespace
} // namespace magnolia
