#include "settings.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

std::vector<schema_error> errors_of(const std::string& text) {
    schema_reader reader{unknown_keys::reject};
    entry_settings settings;
    read(*parse_yaml(text), reader, settings);
    return reader.errors();
}

TEST(settings, reports_every_error_with_key_value_and_bound) {
    const auto errors = errors_of("process: {name: a, zone: z, log_level: x}\n"
                                  "listen: {port: 70000}\n"
                                  "peer_listen: {port: 1}\n"
                                  "max_requests: 0\n"
                                  "max_request: 1\n");
    ASSERT_EQ(errors.size(), 4U);
    EXPECT_EQ(errors[0].path, "process.log_level");
    EXPECT_EQ(errors[1].path, "listen.port");
    EXPECT_EQ(errors[1].value, "70000");
    EXPECT_EQ(errors[2].path, "max_requests");
    EXPECT_EQ(errors[2].bound, "1..100000");
    EXPECT_EQ(errors[3].path, "max_request");
}

TEST(settings, a_missing_required_key_is_named) {
    const auto errors = errors_of("process: {name: a}\nlisten: {}\npeer_listen: {}\n");
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].path, "process.zone");
}

TEST(settings, printing_and_reading_again_gives_the_same) {
    entry_settings settings;
    settings.process.name = "entry-1";
    settings.process.zone = "howrah";
    settings.engines.resize(2);
    const auto text = print_yaml(nlohmann::json(settings));
    schema_reader reader{unknown_keys::accept};
    entry_settings again;
    read(*parse_yaml(text), reader, again);
    EXPECT_EQ(again, settings);
}

} // namespace
} // namespace magnolia
