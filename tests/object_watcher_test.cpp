#include "gateway_fixture.h"
#include "object_watcher.h"
#include "platform_server.h"

namespace magnolia {
namespace {

using std::chrono::milliseconds;

/// Codec of the object API whose first reply to a list is a page that is not the last one, although
/// it does not say after which name the list goes on.
class endless_page_codec final : public product_store_codec {
public:
    /// @param items  of that page.
    explicit endless_page_codec(std::vector<stored_object> items) : items_{std::move(items)} {}

    [[nodiscard]] result<platform_reply> decode(const platform_call& call,
                                                const http_response& response) const override {
        if (std::holds_alternative<object_list>(call) && std::exchange(is_first_, false)) {
            return object_page{items_, {.revision = 1}, true};
        }
        return product_store_codec::decode(call, response);
    }

private:
    std::vector<stored_object> items_;
    mutable bool is_first_ = true;
};

/// A watcher of the kind "route" on a store with short timeouts; records what its handlers receive.
class object_watcher_test : public testing::Test {
protected:
    void SetUp() override {
        ASSERT_TRUE(server_.listen(endpoint{}));
        watch_store(nullptr);
    }

    /// Replaces the client and the watcher by new ones, which have not started.
    void watch_store(const store_codec* codec) {
        watcher_.reset();
        reader_.reset();
        platform_budget budget;
        budget.timeout = milliseconds{100};
        budget.initial_backoff = milliseconds{5};
        budget.max_backoff = milliseconds{20};
        client_.emplace(context_, endpoint{"127.0.0.1", server_.port()}, budget, 1, codec);
        reader_.emplace(context_, *client_, 1, milliseconds{100});
        watcher_.emplace(
            *reader_, "route",
            [this] {
                ++waits_requested_;
                return milliseconds{200};
            },
            object_watcher::handlers{
                [this](const auto& objects) { listed_.push_back(objects.size()); },
                [this](const auto& object) { changed_.push_back(object); },
                {}});
    }

    template <class Condition>
    void run_until(Condition condition) {
        while (!condition() && context_.run_one() > 0) {
        }
    }

    boost::asio::io_context context_{1};
    platform_server server_{context_, 1};
    std::optional<platform_client> client_;
    std::optional<store_reader> reader_;
    std::optional<object_watcher> watcher_;
    int waits_requested_ = 0;
    std::vector<std::size_t> listed_;
    std::vector<stored_object> changed_;
};

TEST_F(object_watcher_test, lists_once_and_then_receives_changes) {
    std::optional<result<platform_reply>> written;
    client_->execute(object_put{{"route", "a"}, 0, "1"}, call_priority::claim,
                     [&](const auto& reply) { written = reply; });
    run_until([&] { return written.has_value(); });
    EXPECT_FALSE(watcher_->has_synced());
    watcher_->start();
    run_until([&] { return !listed_.empty(); });
    EXPECT_EQ(listed_.front(), 1U);
    EXPECT_TRUE(watcher_->has_synced());
    client_->execute(object_put{{"route", "b"}, 0, "1"}, call_priority::claim, [](const auto&) {});
    run_until([&] { return !changed_.empty(); });
    EXPECT_EQ(changed_.front().id.name, "b");
    EXPECT_EQ(listed_.size(), 1U);
}

// An incomplete list was taken for a complete one, and all that it lacked was removed.
TEST_F(object_watcher_test, a_page_without_objects_ends_a_list_only_if_it_is_the_last) {
    const endless_page_codec codec{{}};
    watch_store(&codec);
    client_->execute(object_put{{"route", "a"}, 0, "1"}, call_priority::claim, [](const auto&) {});
    watcher_->start();
    run_until([&] { return !listed_.empty(); });
    EXPECT_EQ(listed_, std::vector<std::size_t>{1});
}

// The name of an entry of another writer could not be read: the list began anew for ever.
TEST_F(object_watcher_test, a_page_that_ends_with_an_unnamed_object_is_not_continued) {
    const endless_page_codec codec{{{{"route", ""}, 1, "1", false}}};
    watch_store(&codec);
    client_->execute(object_put{{"route", "a"}, 0, "1"}, call_priority::claim, [](const auto&) {});
    watcher_->start();
    run_until([&] { return !listed_.empty(); });
    EXPECT_EQ(listed_, std::vector<std::size_t>{1});
}

TEST_F(object_watcher_test, an_outage_and_its_end_are_detected) {
    watcher_->start();
    run_until([&] { return !listed_.empty(); });
    server_.model().faults().outage = outage_mode::hang;
    run_until([&] { return watcher_->is_disconnected(); });
    EXPECT_EQ(watcher_->reconnected_at(), time_point{});
    server_.model().faults().outage = outage_mode::none;
    run_until([&] { return !watcher_->is_disconnected(); });
    EXPECT_NE(watcher_->reconnected_at(), time_point{});
}

// The reply to the first list call would otherwise deliver the list twice and start a second watch.
TEST_F(object_watcher_test, a_second_start_ignores_replies_to_earlier_calls) {
    watcher_->start();
    watcher_->start();
    run_until([&] { return !listed_.empty(); });
    client_->execute(object_put{{"route", "b"}, 0, "1"}, call_priority::claim, [](const auto&) {});
    run_until([&] { return !changed_.empty(); });
    EXPECT_EQ(listed_.size(), 1U);
    EXPECT_EQ(changed_.size(), 1U);
    EXPECT_GT(watcher_->last_change().revision, 0U);
}

// A long watch call that is lost would delay the detection of the end of an outage.
TEST_F(object_watcher_test, no_long_watch_is_requested_after_a_failure) {
    watcher_->start();
    run_until([&] { return !listed_.empty(); });
    server_.model().faults().outage = outage_mode::hang;
    run_until([&] { return watcher_->is_disconnected(); });
    const auto requested_before = waits_requested_;
    boost::asio::steady_timer outage{context_, milliseconds{500}};
    bool has_elapsed = false;
    outage.async_wait([&](const auto&) { has_elapsed = true; });
    run_until([&] { return has_elapsed; });
    EXPECT_EQ(waits_requested_, requested_before);
    server_.model().faults().outage = outage_mode::none;
    run_until([&] { return waits_requested_ > requested_before; });
    EXPECT_FALSE(watcher_->is_disconnected());
}

/// Codec of the object API that lacks the epoch.
class no_epoch_codec final : public product_store_codec {
public:
    [[nodiscard]] std::optional<std::uint64_t>
    read_epoch(const http_headers& /*headers*/) const override {
        return std::nullopt;
    }
};

// Incident CONFIG: the position was set back to the store's, and what lay between was skipped.
TEST_F(object_watcher_test, a_revision_below_the_last_one_shows_that_the_store_was_restored) {
    const no_epoch_codec codec;
    watch_store(&codec);
    auto& store = server_.model().store();
    const auto copy = store;
    for (const std::string name : {"a", "b", "c"}) {
        ASSERT_TRUE(store.put({{"route", name}, 0, "1"}));
    }
    watcher_->start();
    constexpr std::uint64_t list_and_watch = 2;
    run_until([&] { return server_.model().counts().reads == list_and_watch; });
    store.restore(copy);
    ASSERT_TRUE(store.put({{"route", "d"}, 0, "1"}));
    constexpr int max_waits = 4;
    run_until([&] { return listed_.size() == 2 || waits_requested_ == max_waits; });
    EXPECT_EQ(listed_, (std::vector<std::size_t>{3, 1}));
}

// The rest of a list that began in an earlier epoch lacks what was restored in its first part.
TEST_F(object_watcher_test, a_list_that_continues_after_a_restoration_begins_anew) {
    constexpr std::size_t objects = 700;
    auto& store = server_.model().store();
    for (std::size_t object = 0; object < objects; ++object) {
        ASSERT_TRUE(store.put({{"route", std::to_string(object)}, 0, "1"}));
    }
    const auto copy = store;
    server_.model().faults().delay = milliseconds{20};
    watcher_->start();
    run_until([&] { return server_.model().counts().reads == 1; });
    store.restore(copy);
    run_until([&] { return !listed_.empty(); });
    EXPECT_EQ(listed_, std::vector<std::size_t>{objects});
    EXPECT_EQ(server_.model().counts().reads, 4U);
}

} // namespace
} // namespace magnolia
