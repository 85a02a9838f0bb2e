#include "event_collector.h"
#include "event_log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace magnolia {
namespace {

using boost::asio::ip::tcp;

TEST(event_log, numbers_events_and_counts_dropped_ones) {
    event_log log{"entry-1", "howrah", 7, 2};
    EXPECT_EQ(log.emit(event_kind::process_started), 1U);
    EXPECT_EQ(log.emit(event_kind::request_received, request_id{1, 2}, {.workspace = "audit"}), 2U);
    EXPECT_EQ(log.emit(event_kind::request_ended), 3U);
    EXPECT_EQ(log.lost(), 1U);
    EXPECT_EQ(log.pop()->kind, "process_started");
    const auto second = log.pop();
    EXPECT_EQ(second->request, "0000000000000001-0000000000000002");
    EXPECT_EQ(second->workspace, "audit");
    EXPECT_EQ(second->boot, 7U);
    EXPECT_FALSE(log.pop());
}

TEST(event_log, sender_flushes_queued_events_when_destroyed) {
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

TEST(event_log, collector_receives_events_and_closes_connections_with_invalid_lines) {
    boost::asio::io_context context;
    metrics_registry metrics;
    std::vector<timeline_event> received;
    event_collector collector{context, metrics,
                              [&](timeline_event event) { received.push_back(std::move(event)); }};
    ASSERT_TRUE(collector.listen({"127.0.0.1", 0}));
    tcp::socket invalid_client{context};
    invalid_client.connect({boost::asio::ip::make_address("127.0.0.1"), collector.port()});
    boost::asio::write(invalid_client, boost::asio::buffer(std::string{"GET / HTTP/1.1\n"}));
    event_log log{"entry-1", "howrah", 7, 16};
    log.emit(event_kind::process_started);
    const event_sender sender{log, {"127.0.0.1", collector.port()}, metrics};
    while (received.empty()) {
        context.run_one();
    }
    EXPECT_EQ(received.front().host, "entry-1");
    char byte = 0;
    boost::system::error_code end;
    invalid_client.async_read_some(
        boost::asio::buffer(&byte, 1),
        [&end](const boost::system::error_code& failure, std::size_t) { end = failure; });
    while (!end) {
        context.run_one();
    }
    EXPECT_EQ(end, boost::asio::error::eof);
}

TEST(event_log, unknown_fields_and_kinds_of_newer_releases_are_accepted) {
    const auto event = read_event_line(R"({"host":"a","kind":"unheard","colour":"red"})");
    ASSERT_TRUE(event);
    EXPECT_EQ(event->kind, "unheard");
    EXPECT_EQ(read_event_line("[]").error().code, error_code::frame_invalid);
    EXPECT_EQ(read_event_line("").error().code, error_code::frame_invalid);
}

} // namespace
} // namespace magnolia
