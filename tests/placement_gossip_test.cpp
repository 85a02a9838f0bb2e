#include "placement_gossip.h"

#include <gtest/gtest.h>

#include <optional>

namespace magnolia {
namespace {

class exchange_pair : public testing::Test {
protected:
    static constexpr std::uint16_t first_port = 28741;

    void SetUp() override {
        ASSERT_TRUE(one_.open({"127.0.0.1", first_port}));
        ASSERT_TRUE(two_.open({"127.0.0.1", first_port + 1}));
    }

    template <class Condition>
    void run_until(Condition condition) {
        while (!condition() && context_.run_one() > 0) {
        }
    }

    static placement_update news_of(std::uint64_t origin) {
        placement_update news;
        news.sender = "gateway";
        news.origin = origin;
        news.ended = {1, 2, 3};
        return news;
    }

    boost::asio::io_context context_{1};
    std::vector<placement_update> heard_by_one_;
    std::vector<placement_update> heard_by_two_;
    std::vector<std::uint64_t> gone_;
    placement_gossip one_{context_,
                          {[this](const placement_update& news) { heard_by_one_.push_back(news); },
                           [](std::uint64_t) {}, [](const auto&) {}}};
    placement_gossip two_{context_,
                          {[this](const placement_update& news) { heard_by_two_.push_back(news); },
                           [this](std::uint64_t origin) { gone_.push_back(origin); },
                           [this](const auto& peer) { two_.send_to(news_of(50 + ++met_), peer); }}};
    std::uint64_t met_ = 0;
};

TEST_F(exchange_pair, who_is_heard_is_answered_without_being_listed) {
    one_.add_peer({"127.0.0.1", first_port + 1});
    one_.send(news_of(7));
    run_until([&] { return !heard_by_two_.empty(); });
    EXPECT_EQ(heard_by_two_.front(), news_of(7));
    two_.send(news_of(8));
    run_until([&] { return heard_by_one_.size() == 2; });
    EXPECT_EQ(heard_by_one_.back().origin, 8U);
    EXPECT_EQ(two_.live_peers(), 1U);
}

TEST_F(exchange_pair, each_start_is_met_once) {
    one_.add_peer({"127.0.0.1", first_port + 1});
    one_.send(news_of(7));
    one_.send(news_of(7));
    one_.send(news_of(9));
    run_until([&] { return heard_by_two_.size() == 3 && heard_by_one_.size() == 2; });
    EXPECT_EQ(met_, 2U);
    EXPECT_EQ(heard_by_one_.front().origin, 51U);
}

TEST_F(exchange_pair, a_new_start_or_silence_ends_the_former_start) {
    one_.add_peer({"127.0.0.1", first_port + 1});
    one_.send(news_of(7));
    one_.send(news_of(9));
    run_until([&] { return heard_by_two_.size() == 2; });
    EXPECT_EQ(gone_, std::vector<std::uint64_t>{7});
    two_.expire_silent_peers(steady_now());
    EXPECT_EQ(gone_.size(), 1U);
    two_.expire_silent_peers(steady_now() + std::chrono::seconds{10});
    EXPECT_EQ(gone_, (std::vector<std::uint64_t>{7, 9}));
    EXPECT_EQ(two_.known_peers(), 1U);
    EXPECT_EQ(two_.live_peers(), 0U);
}

} // namespace
} // namespace magnolia
