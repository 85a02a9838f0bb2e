#include "event_log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace magnolia {
namespace {

using boost::asio::ip::tcp;

TEST(event_log, numbers_events_and_counts_the_ones_that_do_not_fit) {
    event_log log{"entry-1", "howrah", 7, 2};
    EXPECT_EQ(log.emit(event_kind::process_started), 1U);
    EXPECT_EQ(log.emit(event_kind::request_received, request_id{1, 2}, {.workspace = "audit"}), 2U);
    EXPECT_EQ(log.emit(event_kind::request_ended), 3U);
    EXPECT_EQ(log.lost(), 1U);
    EXPECT_EQ(log.take()->kind, "process_started");
    const auto second = log.take();
    EXPECT_EQ(second->request, "0000000000000001-0000000000000002");
    EXPECT_EQ(second->workspace, "audit");
    EXPECT_EQ(second->boot, 7U);
    EXPECT_FALSE(log.take());
}

TEST(event_log, the_last_events_arrive_before_the_sender_ends) {
    boost::asio::io_context context;
    tcp::acceptor acceptor{context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    metrics_registry metrics;
    event_log log{"entry-1", "howrah", 7, 16};
    log.emit(event_kind::process_started);
    boost::asio::streambuf buffer;
    tcp::socket socket{context};
    {
        const event_sender sender{log, {"127.0.0.1", acceptor.local_endpoint().port()}, metrics};
        socket = acceptor.accept();
        boost::asio::read_until(socket, buffer, '\n');
        log.emit(event_kind::process_stopped, {.cause = {"entry-2", 4}});
    }
    std::istream lines{&buffer};
    std::string line;
    std::getline(lines, line);
    EXPECT_EQ(nlohmann::json::parse(line).at("kind"), "process_started");
    boost::asio::read_until(socket, buffer, '\n');
    std::getline(lines, line);
    EXPECT_EQ(nlohmann::json::parse(line).at("cause_sequence"), 4);
    EXPECT_EQ(log.lost(), 0U);
}

} // namespace
} // namespace magnolia
