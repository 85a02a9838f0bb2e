#include "event_stream.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

TEST(event_stream, events_are_cut_at_blank_lines_wherever_the_bytes_break) {
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: x\ndata\n\n";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        event_splitter splitter;
        std::vector<stream_event> events;
        for (std::size_t at = 0; at < text.size(); at += step) {
            for (auto& event : splitter.append(std::string_view{text}.substr(at, step))) {
                events.push_back(std::move(event));
            }
        }
        ASSERT_EQ(events.size(), 4U) << step;
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

TEST(event_stream, an_event_without_its_end_is_kept_back) {
    event_splitter splitter;
    EXPECT_EQ(splitter.append("id: 1\ndata: a\n\nid: 2\nda").size(), 1U);
    EXPECT_EQ(splitter.pending(), "id: 2\nda");
}

} // namespace
} // namespace magnolia
