#include "peer_codec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace magnolia {
namespace {

std::span<const std::uint8_t> bytes_of(const std::string& text) {
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

std::vector<std::uint8_t> packed(const nlohmann::json& document) {
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

RC_GTEST_PROP(peer_codec, a_changed_frame_never_crashes, (std::size_t place, std::uint8_t value)) {
    std::string frame;
    RC_ASSERT(
        append_frame(hello_message{"entry-1", "howrah", 77, 1, "entry-2"}, frame).has_value());
    frame[place % frame.size()] = static_cast<char>(value);
    (void)read_frame(bytes_of(frame).subspan(4));
}

RC_GTEST_PROP(peer_codec, a_stream_cut_anywhere_gives_the_same_messages,
              (const std::vector<std::string>& names, std::uint8_t cut)) {
    std::string stream;
    for (const auto& name : names) {
        RC_ASSERT(append_frame(hello_message{name, "z", 1, 2, {}}, stream).has_value());
    }
    frame_splitter splitter;
    std::vector<std::string> seen;
    const std::size_t step = 1U + cut % 40U;
    for (std::size_t at = 0; at < stream.size(); at += step) {
        splitter.append(bytes_of(stream).subspan(at, std::min(step, stream.size() - at)));
        for (auto frame = splitter.next(); frame && *frame; frame = splitter.next()) {
            seen.push_back(std::get<hello_message>(*(*frame)->message).name);
        }
    }
    RC_ASSERT(seen == names);
}

TEST(peer_codec, deep_nesting_is_refused_without_recursion) {
    const std::vector<std::uint8_t> nested(config::max_frame_bytes, 0x91);
    EXPECT_EQ(read_frame(nested).error().code, error_code::frame_invalid);
}

TEST(peer_codec, a_length_beyond_the_bound_is_refused_before_the_body_comes) {
    frame_splitter splitter;
    splitter.append(std::vector<std::uint8_t>{0xFF, 0, 0, 0});
    EXPECT_EQ(splitter.next().error().code, error_code::frame_invalid);
}

TEST(peer_codec, a_message_too_long_to_send_leaves_the_buffer_as_it_was) {
    std::string out = "before";
    const hello_message message{std::string(config::max_frame_bytes, 'x'), "z", 1, 1, {}};
    EXPECT_EQ(append_frame(message, out).error().code, error_code::frame_invalid);
    EXPECT_EQ(out, "before");
}

TEST(peer_codec, a_number_of_a_later_release_is_passed_over) {
    const auto frame = read_frame(packed({9, 60001, {1, 2, 3}}));
    ASSERT_TRUE(frame.has_value());
    EXPECT_FALSE(frame->message.has_value());
    EXPECT_EQ(frame->number, 60001);
}

TEST(peer_codec, fields_appended_by_a_later_release_are_passed_over) {
    const auto frame = read_frame(packed({2, 1, {"a", "z", 5, 2, "b", "later"}, "later"}));
    ASSERT_TRUE(frame.has_value());
    EXPECT_EQ(std::get<hello_message>(*frame->message).boot, 5U);
}

TEST(peer_codec, a_field_of_the_wrong_type_is_named) {
    const auto frame = read_frame(packed({1, 1, {"a", 7}}));
    ASSERT_FALSE(frame.has_value());
    EXPECT_EQ(frame.error().subject, "zone");
}

} // namespace
} // namespace magnolia
