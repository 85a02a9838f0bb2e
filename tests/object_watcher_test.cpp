#include "object_watcher.h"
#include "platform_server.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

using std::chrono::milliseconds;

class follower_test : public testing::Test {
protected:
    void SetUp() override {
        ASSERT_TRUE(server_.listen(endpoint{}));
        platform_budget budget;
        budget.timeout = milliseconds{100};
        budget.first_pause = milliseconds{5};
        budget.longest_pause = milliseconds{20};
        client_.emplace(context_, endpoint{"127.0.0.1", server_.port()}, budget, 1);
        follower_.emplace(
            *client_, "route",
            [this] {
                ++waits_asked_;
                return milliseconds{200};
            },
            object_watcher::handlers{
                [this](const auto& objects) { listed_.push_back(objects.size()); },
                [this](const auto& object) { changed_.push_back(object); }});
    }

    template <class Condition>
    void run_until(Condition condition) {
        while (!condition() && context_.run_one() > 0) {
        }
    }

    boost::asio::io_context context_{1};
    platform_server server_{context_, 1};
    std::optional<platform_client> client_;
    std::optional<object_watcher> follower_;
    int waits_asked_ = 0;
    std::vector<std::size_t> listed_;
    std::vector<stored_object> changed_;
};

TEST_F(follower_test, lists_once_and_then_hears_of_changes) {
    std::optional<result<platform_reply>> written;
    client_->execute(object_put{{"route", "a"}, 0, "1"}, call_priority::claim,
                     [&](const auto& reply) { written = reply; });
    run_until([&] { return written.has_value(); });
    EXPECT_FALSE(follower_->has_synced());
    follower_->start();
    run_until([&] { return !listed_.empty(); });
    EXPECT_EQ(listed_.front(), 1U);
    EXPECT_TRUE(follower_->has_synced());
    client_->execute(object_put{{"route", "b"}, 0, "1"}, call_priority::claim, [](const auto&) {});
    run_until([&] { return !changed_.empty(); });
    EXPECT_EQ(changed_.front().id.name, "b");
    EXPECT_EQ(listed_.size(), 1U);
}

TEST_F(follower_test, an_outage_is_noticed_and_its_end_too) {
    follower_->start();
    run_until([&] { return !listed_.empty(); });
    server_.model().faults().outage = outage_form::hang;
    run_until([&] { return follower_->is_disconnected(); });
    EXPECT_EQ(follower_->reconnected_at(), time_point{});
    server_.model().faults().outage = outage_form::none;
    run_until([&] { return !follower_->is_disconnected(); });
    EXPECT_NE(follower_->reconnected_at(), time_point{});
}

TEST_F(follower_test, a_second_start_passes_over_what_the_first_one_asked) {
    follower_->start();
    follower_->start();
    run_until([&] { return !listed_.empty(); });
    client_->execute(object_put{{"route", "b"}, 0, "1"}, call_priority::claim, [](const auto&) {});
    run_until([&] { return !changed_.empty(); });
    EXPECT_EQ(listed_.size(), 1U);
    EXPECT_EQ(changed_.size(), 1U);
    EXPECT_GT(follower_->last_change_revision(), 0U);
}

TEST_F(follower_test, no_long_wait_is_asked_of_a_store_that_has_just_failed) {
    follower_->start();
    run_until([&] { return !listed_.empty(); });
    server_.model().faults().outage = outage_form::hang;
    run_until([&] { return follower_->is_disconnected(); });
    const auto asked = waits_asked_;
    boost::asio::steady_timer outage{context_, milliseconds{500}};
    bool is_over = false;
    outage.async_wait([&](const auto&) { is_over = true; });
    run_until([&] { return is_over; });
    EXPECT_EQ(waits_asked_, asked);
    server_.model().faults().outage = outage_form::none;
    run_until([&] { return waits_asked_ > asked; });
    EXPECT_FALSE(follower_->is_disconnected());
}

} // namespace
} // namespace magnolia
