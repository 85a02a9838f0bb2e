#include "event_stream.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <random>

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

// Lines may end with LF, CRLF or CR, also within one stream. Events whose lines end differently
// were joined with the next one, and the last one looked incomplete.
TEST(event_stream, events_are_split_whatever_ends_their_lines) {
    constexpr std::array<std::string_view, 3> line_ends{"\n", "\r\n", "\r"};
    std::mt19937 random{1};
    std::uniform_int_distribution<std::size_t> pick{0, line_ends.size() - 1};
    std::uniform_int_distribution<std::size_t> part{1, 9};
    for (int round = 0; round < 2000; ++round) {
        constexpr std::uint64_t event_count = 4;
        std::string text;
        for (std::uint64_t id = 1; id <= event_count; ++id) {
            text += "id: " + std::to_string(id);
            text += line_ends[pick(random)];
            text += "data: x";
            const auto data_end = line_ends[pick(random)];
            const auto blank_end = line_ends[pick(random)];
            // CR and LF in a row are one line end.
            const bool is_one_end = data_end == "\r" && blank_end == "\n";
            text += data_end;
            text += is_one_end ? "\r" : blank_end;
        }
        event_splitter splitter;
        std::string joined;
        std::uint64_t last_id = 0;
        for (std::string_view rest{text}; !rest.empty();) {
            const auto size = std::min(part(random), rest.size());
            for (const auto& event : splitter.append(rest.substr(0, size))) {
                joined += event.text;
                EXPECT_EQ(event.id, last_id + 1);
                last_id = event.id.value_or(0);
            }
            rest.remove_prefix(size);
        }
        EXPECT_EQ(last_id, event_count);
        EXPECT_FALSE(splitter.is_inside_event());
        EXPECT_EQ(joined + std::string{splitter.pending()}, text);
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
