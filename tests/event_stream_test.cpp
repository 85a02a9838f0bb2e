#include "event_stream.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

TEST(event_stream, events_are_split_at_blank_lines_for_every_chunk_size) {
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: x\ndata\n\n";
    for (std::size_t chunk_size = 1; chunk_size <= text.size(); ++chunk_size) {
        event_splitter splitter;
        std::vector<stream_event> events;
        for (std::size_t at = 0; at < text.size(); at += chunk_size) {
            for (auto& event : splitter.append(std::string_view{text}.substr(at, chunk_size))) {
                events.push_back(std::move(event));
            }
        }
        ASSERT_EQ(events.size(), 4U) << chunk_size;
        EXPECT_EQ(events[0].id, 1U);
        EXPECT_EQ(events[1].id, 2U);
        EXPECT_FALSE(events[2].id);
        EXPECT_FALSE(events[3].id);
        std::string joined;
        for (const auto& event : events) {
            joined += event.text;
        }
        EXPECT_EQ(joined, text);
        EXPECT_TRUE(splitter.pending().empty());
    }
}

TEST(event_stream, an_incomplete_event_stays_pending) {
    event_splitter splitter;
    EXPECT_EQ(splitter.append("id: 1\ndata: a\n\nid: 2\nda").size(), 1U);
    EXPECT_EQ(splitter.pending(), "id: 2\nda");
}

TEST(event_stream, the_end_of_a_stream_is_inside_an_event_until_its_blank_line) {
    const auto is_inside = [](std::string_view text) {
        event_splitter splitter;
        (void)splitter.append(text);
        return splitter.is_inside_event();
    };
    EXPECT_FALSE(is_inside(""));
    EXPECT_FALSE(is_inside("data: a\n\n"));
    EXPECT_FALSE(is_inside("data: a\r\n\r\n\r\n"));
    EXPECT_FALSE(is_inside("data: a\n\n: done\n"));
    EXPECT_TRUE(is_inside("data: a\n\n: do"));
    EXPECT_TRUE(is_inside("data: a\n"));
    EXPECT_TRUE(is_inside("data: a\r\n"));
    EXPECT_TRUE(is_inside("data: a\n\ni"));
    EXPECT_TRUE(is_inside("data: a\n\nid: 2\ndata: b"));
}

} // namespace
} // namespace magnolia
