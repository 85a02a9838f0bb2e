/// Tests of the simulated link between availability zones over real sockets.
#include "delay_link.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <numeric>
#include <thread>

namespace magnolia::fakes {
namespace {

using boost::asio::ip::tcp;

struct delay_link_test : testing::Test {
    boost::asio::io_context context;
    tcp::acceptor target{context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    delay_link_settings settings{.listen = {},
                                 .target = {"127.0.0.1", target.local_endpoint().port()},
                                 .delay = std::chrono::milliseconds{1},
                                 .spread = std::chrono::milliseconds{2}};
    delay_link link{context, settings};

    /// Sends a text through the link and returns what the target received.
    std::string relay(const std::string& text) {
        std::string received;
        std::thread peer{[&] {
            boost::asio::io_context peer_context;
            tcp::socket socket{peer_context};
            socket.connect({boost::asio::ip::make_address("127.0.0.1"), link.port()});
            boost::asio::write(socket, boost::asio::buffer(text));
            socket.shutdown(tcp::socket::shutdown_send);
            char byte = 0;
            boost::system::error_code end;
            boost::asio::read(socket, boost::asio::buffer(&byte, 1), end);
        }};
        bool is_finished = false;
        tcp::socket far{context};
        target.async_accept(far, [&](const boost::system::error_code& /*failure*/) {
            boost::asio::async_read(far, boost::asio::dynamic_buffer(received),
                                    [&](const boost::system::error_code&, std::size_t) {
                                        is_finished = true;
                                        far.close();
                                    });
        });
        while (!is_finished) {
            context.run_one();
        }
        while (context.poll() > 0) {
        }
        link.set_partitioned(true);
        peer.join();
        return received;
    }
};

TEST_F(delay_link_test, bytes_arrive_completely_and_in_order) {
    ASSERT_TRUE(link.listen());
    std::string text(3'000'000, ' ');
    std::iota(text.begin(), text.end(), static_cast<char>(0));
    EXPECT_EQ(relay(text), text);
}

TEST_F(delay_link_test, a_partitioned_link_closes_new_connections) {
    ASSERT_TRUE(link.listen());
    link.set_partitioned(true);
    tcp::socket socket{context};
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), link.port()});
    char byte = 0;
    boost::system::error_code end;
    bool is_finished = false;
    boost::asio::async_read(socket, boost::asio::buffer(&byte, 1),
                            [&](const boost::system::error_code& failure, std::size_t) {
                                end = failure;
                                is_finished = true;
                            });
    while (!is_finished) {
        context.run_one();
    }
    EXPECT_TRUE(end);
}

} // namespace
} // namespace magnolia::fakes
