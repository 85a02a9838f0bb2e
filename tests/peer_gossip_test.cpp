#include "peer_codec.h"
#include "peer_gossip.h"

#include <boost/asio/buffer.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace magnolia {
namespace {

using boost::asio::ip::udp;

/// Two gateways on loopback.
class gossip_pair : public testing::Test {
protected:
    static constexpr std::uint16_t first_port = 28741;

    void SetUp() override {
        ASSERT_TRUE(first_.open({"127.0.0.1", first_port}));
        ASSERT_TRUE(second_.open({"127.0.0.1", first_port + 1}));
    }

    template <class Condition>
    void run_until(Condition condition) {
        while (!condition() && context_.run_one() > 0) {
        }
    }

    static placement_update update_from(std::uint64_t origin) {
        placement_update update;
        update.origin = origin;
        update.ended = {1, 2, 3};
        return update;
    }

    struct received {
        std::string sender;
        peer_message message;
    };

    boost::asio::io_context context_{1};
    std::vector<received> received_by_first_;
    std::vector<received> received_by_second_;
    peer_gossip first_{context_, "one", [this](const auto& sender, const auto& message) {
                           received_by_first_.push_back({sender, message});
                       }};
    peer_gossip second_{context_, "two", [this](const auto& sender, const auto& message) {
                            received_by_second_.push_back({sender, message});
                        }};
    const std::vector<std::string> to_one_{"one"};
    const std::vector<std::string> to_two_{"two"};
};

TEST_F(gossip_pair, a_message_names_its_sender_and_an_unlisted_sender_gets_answers) {
    first_.add_address("two", {"127.0.0.1", first_port + 1});
    EXPECT_FALSE(second_.knows("127.0.0.1"));
    first_.send(update_from(7), to_two_);
    run_until([&] { return !received_by_second_.empty(); });
    EXPECT_EQ(received_by_second_.front().sender, "one");
    auto expected = update_from(7);
    expected.sender = "one";
    EXPECT_EQ(std::get<placement_update>(received_by_second_.front().message), expected);
    EXPECT_TRUE(second_.knows("127.0.0.1"));
    second_.send(update_from(8), to_one_);
    run_until([&] { return !received_by_first_.empty(); });
    EXPECT_EQ(std::get<placement_update>(received_by_first_.front().message).origin, 8U);
    EXPECT_EQ(first_.traffic().datagrams_out, 1U);
    EXPECT_EQ(first_.traffic().datagrams_in, 1U);
    EXPECT_EQ(first_.traffic().bytes_out, second_.traffic().bytes_in);
}

TEST_F(gossip_pair, membership_messages_name_their_sender_too) {
    first_.add_address("two", {"127.0.0.1", first_port + 1});
    first_.send(ping_message{}, to_two_);
    run_until([&] { return !received_by_second_.empty(); });
    EXPECT_EQ(received_by_second_.front().sender, "one");
}

// A host that was started at another address is heard from there before any list names it.
TEST_F(gossip_pair, the_address_of_the_last_message_is_used) {
    second_.add_address("one", {"127.0.0.1", first_port + 7});
    first_.add_address("two", {"127.0.0.1", first_port + 1});
    first_.send(update_from(7), to_two_);
    run_until([&] { return !received_by_second_.empty(); });
    EXPECT_EQ(second_.address_of("one"), (endpoint{"127.0.0.1", first_port}));
    second_.add_address("one", {"127.0.0.1", first_port + 7});
    EXPECT_EQ(second_.address_of("one"), (endpoint{"127.0.0.1", first_port}));
}

// Names of hosts are kept: 4,096 of them with 60 KB each would be 240 MB.
TEST_F(gossip_pair, a_datagram_with_a_name_without_end_is_ignored) {
    udp::socket stranger{context_, udp::v4()};
    const udp::endpoint second{boost::asio::ip::make_address("127.0.0.1"), first_port + 1};
    auto message = update_from(7);
    message.sender = std::string(60'000, 'n');
    std::string frame;
    ASSERT_TRUE(append_frame(message, frame));
    stranger.send_to(boost::asio::buffer(frame), second);
    first_.add_address("two", {"127.0.0.1", first_port + 1});
    first_.send(update_from(8), to_two_);
    run_until([&] { return !received_by_second_.empty(); });
    EXPECT_EQ(received_by_second_.front().sender, "one");
    EXPECT_FALSE(second_.address_of(message.sender));
}

TEST_F(gossip_pair, unreadable_datagrams_and_those_without_a_sender_are_ignored) {
    udp::socket stranger{context_, udp::v4()};
    const udp::endpoint second{boost::asio::ip::make_address("127.0.0.1"), first_port + 1};
    for (const std::string bytes : {"", "abc", "\0\0\0\1x", "\0\0\0\5hello"}) {
        stranger.send_to(boost::asio::buffer(bytes), second);
    }
    first_.add_address("two", {"127.0.0.1", first_port + 1});
    first_.send(update_from(7), to_two_);
    run_until([&] { return !received_by_second_.empty(); });
    EXPECT_EQ(received_by_second_.size(), 1U);
    EXPECT_EQ(received_by_second_.front().sender, "one");
}

} // namespace
} // namespace magnolia
