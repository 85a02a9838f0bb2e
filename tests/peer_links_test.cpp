#include "peer_links.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <condition_variable>

namespace magnolia {
namespace {

using namespace std::chrono_literals;

/// Timeout of waits for an event that must happen; reached only if the test fails.
constexpr auto max_wait = 20s;

/// Thread-safe list of the messages that a node received.
class mailbox {
public:
    void put(peer_delivery delivery) {
        const std::scoped_lock lock{mutex_};
        items_.push_back(std::move(delivery));
        arrived_.notify_all();
    }

    std::vector<peer_delivery> wait_for(std::size_t count) {
        std::unique_lock lock{mutex_};
        arrived_.wait_for(lock, max_wait, [&] { return items_.size() >= count; });
        return items_;
    }

private:
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::vector<peer_delivery> items_;
};

/// Entry with its own I/O thread, listening on a free port of the loopback interface.
struct node {
    explicit node(const std::string& name, link_options options = {})
        : links{thread, hello_message{name, "howrah", 5, 1, {}}, 1,
                [this](peer_delivery delivery) { received.put(std::move(delivery)); }, options},
          port{*links.listen({"127.0.0.1", 0})} {
        thread.start();
    }
    ~node() { thread.stop(); }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    io_thread thread{"links-test"};
    mailbox received;
    peer_links links;
    std::uint16_t port;
};

/// Polls a condition on the state of another thread; returns whether it held before the timeout.
template <class Condition>
bool eventually(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + max_wait;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(2ms);
    }
    return condition();
}

peer_message make_ping(std::uint32_t number) {
    return ping_message{number, {}, 0, {}};
}

TEST(peer_links, messages_arrive_in_order_and_the_reply_uses_the_same_connection) {
    node a{"a"};
    node b{"b"};
    ASSERT_TRUE(a.links.set_members({{"b", "127.0.0.1", b.port}}).has_value());
    for (std::uint32_t number = 0; number < 100; ++number) {
        ASSERT_TRUE(a.links.send("b", make_ping(number)).has_value());
    }
    const auto deliveries = b.received.wait_for(100);
    ASSERT_EQ(deliveries.size(), 100U);
    EXPECT_EQ(deliveries.front().from, "a");
    EXPECT_EQ(std::get<ping_message>(deliveries.back().message).number, 99U);
    ASSERT_TRUE(b.links.send("a", make_ping(7)).has_value());
    EXPECT_EQ(a.received.wait_for(1).size(), 1U);
    EXPECT_EQ(a.links.counters().open, 1U);
}

/// An outdated address may belong to another entry by now.
TEST(peer_links, a_different_member_at_the_address_receives_nothing) {
    node a{"a"};
    node b{"b"};
    ASSERT_TRUE(a.links.set_members({{"c", "127.0.0.1", b.port}}).has_value());
    ASSERT_TRUE(a.links.send("c", make_ping(1)).has_value());
    EXPECT_TRUE(eventually([&] { return b.links.counters().frames_in > 0; }));
    EXPECT_TRUE(eventually([&] { return a.links.counters().open == 0; }));
    EXPECT_TRUE(b.received.wait_for(0).empty());
}

TEST(peer_links, a_restarted_member_is_reconnected) {
    node a{"a"};
    auto b = std::make_unique<node>("b");
    ASSERT_TRUE(a.links.set_members({{"b", "127.0.0.1", b->port}}).has_value());
    ASSERT_TRUE(a.links.send("b", make_ping(1)).has_value());
    ASSERT_EQ(b->received.wait_for(1).size(), 1U);
    b.reset();
    EXPECT_TRUE(eventually([&] { return a.links.counters().open == 0; }));
    b = std::make_unique<node>("b");
    ASSERT_TRUE(a.links.set_members({{"b", "127.0.0.1", b->port}}).has_value());
    EXPECT_TRUE(eventually([&] {
        (void)a.links.send("b", make_ping(2));
        return b->links.counters().frames_in >= 2;
    }));
}

TEST(peer_links, the_number_of_connections_is_bounded) {
    link_options options;
    options.max_links = 2;
    node a{"a", options};
    std::vector<std::unique_ptr<node>> others;
    std::vector<peer_address> addresses;
    for (const auto* name : {"b", "c", "d", "e"}) {
        others.push_back(std::make_unique<node>(name));
        addresses.push_back({name, "127.0.0.1", others.back()->port});
    }
    ASSERT_TRUE(a.links.set_members(addresses).has_value());
    for (std::size_t index = 0; index < others.size(); ++index) {
        ASSERT_TRUE(a.links.send(addresses[index].member, make_ping(1)).has_value());
        EXPECT_EQ(others[index]->received.wait_for(1).size(), 1U);
        EXPECT_LE(a.links.counters().open, 2U);
    }
}

TEST(peer_links, malformed_bytes_close_the_connection_only) {
    node a{"a"};
    node b{"b"};
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket{context};
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), a.port});
    boost::asio::write(socket, boost::asio::buffer(std::string(64, '\xFF')));
    EXPECT_TRUE(eventually([&] { return a.links.counters().invalid == 1; }));
    ASSERT_TRUE(b.links.set_members({{"a", "127.0.0.1", a.port}}).has_value());
    ASSERT_TRUE(b.links.send("a", make_ping(1)).has_value());
    EXPECT_EQ(a.received.wait_for(1).size(), 1U);
}

TEST(peer_links, an_unknown_member_is_counted_as_dropped) {
    node a{"a"};
    ASSERT_TRUE(a.links.send("nobody", make_ping(1)).has_value());
    EXPECT_TRUE(eventually([&] { return a.links.counters().dropped == 1; }));
}

} // namespace
} // namespace magnolia
