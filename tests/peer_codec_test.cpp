#include "peer_codec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace magnolia {
namespace {

std::span<const std::uint8_t> bytes_of(const std::string& text) {
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

std::vector<std::uint8_t> pack(const nlohmann::json& document) {
    return nlohmann::json::to_msgpack(document);
}

RC_GTEST_PROP(peer_codec, arbitrary_bytes_never_crash, (const std::vector<std::uint8_t>& bytes)) {
    (void)read_frame(bytes);
    frame_splitter splitter;
    splitter.append(bytes);
    auto frame = splitter.next();
    while (frame && *frame) {
        frame = splitter.next();
    }
}

RC_GTEST_PROP(peer_codec, a_corrupted_frame_never_crashes,
              (std::size_t position, std::uint8_t value)) {
    std::string frame;
    RC_ASSERT(
        append_frame(hello_message{"entry-1", "howrah", 77, 1, "entry-2"}, frame).has_value());
    frame[position % frame.size()] = static_cast<char>(value);
    (void)read_frame(bytes_of(frame).subspan(4));
}

RC_GTEST_PROP(peer_codec, a_stream_split_anywhere_yields_the_same_messages,
              (const std::vector<std::string>& names, std::uint8_t step_seed)) {
    std::string stream;
    for (const auto& name : names) {
        RC_ASSERT(append_frame(hello_message{name, "z", 1, 2, {}}, stream).has_value());
    }
    frame_splitter splitter;
    std::vector<std::string> names_read;
    const std::size_t step = 1U + step_seed % 40U;
    for (std::size_t offset = 0; offset < stream.size(); offset += step) {
        splitter.append(bytes_of(stream).subspan(offset, std::min(step, stream.size() - offset)));
        for (auto frame = splitter.next(); frame && *frame; frame = splitter.next()) {
            names_read.push_back(std::get<hello_message>(*(*frame)->message).name);
        }
    }
    RC_ASSERT(names_read == names);
}

/// The msgpack reader recurses for each level: a frame of nested arrays must be refused, or it
/// would overflow the stack.
TEST(peer_codec, deep_nesting_is_refused_without_recursion) {
    const std::vector<std::uint8_t> nested(config::max_frame_bytes, 0x91);
    EXPECT_EQ(read_frame(nested).error().code, error_code::frame_invalid);
}

TEST(peer_codec, an_excessive_length_is_refused_before_the_body_arrives) {
    frame_splitter splitter;
    splitter.append(std::vector<std::uint8_t>{0xFF, 0, 0, 0});
    EXPECT_EQ(splitter.next().error().code, error_code::frame_invalid);
}

TEST(peer_codec, an_oversized_message_leaves_the_buffer_unchanged) {
    std::string out = "before";
    const hello_message message{std::string(config::max_frame_bytes, 'x'), "z", 1, 1, {}};
    EXPECT_EQ(append_frame(message, out).error().code, error_code::frame_invalid);
    EXPECT_EQ(out, "before");
}

/// During an update, entries of different releases exchange messages. What an older release does
/// not know must not close the connection.
TEST(peer_codec, a_message_number_of_a_later_release_is_ignored) {
    const auto frame = read_frame(pack({9, 60001, {1, 2, 3}}));
    ASSERT_TRUE(frame.has_value());
    EXPECT_FALSE(frame->message.has_value());
    EXPECT_EQ(frame->number, 60001);
}

TEST(peer_codec, fields_appended_by_a_later_release_are_ignored) {
    const auto frame = read_frame(pack({2, 1, {"a", "z", 5, 2, "b", "later"}, "later"}));
    ASSERT_TRUE(frame.has_value());
    EXPECT_EQ(std::get<hello_message>(*frame->message).boot, 5U);
}

TEST(peer_codec, the_error_names_a_field_of_the_wrong_type) {
    const auto frame = read_frame(pack({1, 1, {"a", 7}}));
    ASSERT_FALSE(frame.has_value());
    EXPECT_EQ(frame.error().subject, "zone");
}

} // namespace
} // namespace magnolia
