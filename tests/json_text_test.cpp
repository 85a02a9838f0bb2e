#include "json_text.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace magnolia {
namespace {

using json = nlohmann::json;

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

TEST(json_text, documents_of_bounded_depth_are_read) {
    EXPECT_FALSE(parse_json(nested(max_json_depth)).is_discarded());
    EXPECT_TRUE(parse_json(nested(max_json_depth + 1)).is_discarded());
    EXPECT_TRUE(parse_json(std::string(1'000'000, '[')).is_discarded());
    EXPECT_EQ(parse_json(R"({"a":"[[[\"[["})"), json({{"a", R"([[["[[)"}}));
    EXPECT_TRUE(parse_json("{} []").is_discarded());
}

TEST(json_text, unreadable_values_are_null_and_the_others_stay) {
    const auto text = R"( {"a" : [1, 1e999, {"x":)" + nested(100) + R"(,"y":"],}"}], "b\"":true })";
    const json expected{{"a", {1, nullptr, {{"x", nullptr}, {"y", "],}"}}}}, {"b\"", true}};
    EXPECT_EQ(parse_readable_json(text, "", 3), expected);
    EXPECT_EQ(parse_readable_json(text, "a", 3), json({{"a", nullptr}, {"b\"", true}}));
    EXPECT_EQ(parse_readable_json(text, "", 1), json({{"a", nullptr}, {"b\"", true}}));
}

TEST(json_text, a_text_that_is_cut_off_is_discarded) {
    const std::string text = R"({"a":[1,1e999,{"b":"c"}],"d":2})";
    ASSERT_FALSE(parse_readable_json(text, "", 3).is_discarded());
    for (std::size_t length = 0; length < text.size(); ++length) {
        EXPECT_TRUE(parse_readable_json(text.substr(0, length), "", 3).is_discarded()) << length;
    }
}

RC_GTEST_PROP(json_text, arbitrary_text_never_crashes, (const std::string& text)) {
    (void)parse_readable_json("[1e999," + text + "]", "a", 4);
    (void)parse_readable_json(text, "a", 4);
}

} // namespace
} // namespace magnolia
