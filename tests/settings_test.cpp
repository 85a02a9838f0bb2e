#include "settings.h"

#include <gtest/gtest.h>

namespace magnolia {
namespace {

std::vector<schema_error> parse_errors(const std::string& text) {
    schema_reader reader{unknown_keys::reject};
    entry_settings settings;
    read(*parse_yaml(text), reader, settings);
    return reader.errors();
}

TEST(settings, every_error_is_reported_with_its_path_value_and_allowed_range) {
    const auto errors = parse_errors("process: {name: a, zone: z, log_level: x}\n"
                                     "listen: {port: 70000}\n"
                                     "peer_listen: {port: 1}\n"
                                     "max_requests: 0\n"
                                     "max_request: 1\n");
    ASSERT_EQ(errors.size(), 4U);
    EXPECT_EQ(errors[0].path, "process.log_level");
    EXPECT_EQ(errors[1].path, "listen.port");
    EXPECT_EQ(errors[1].value, "70000");
    EXPECT_EQ(errors[2].path, "max_requests");
    EXPECT_EQ(errors[2].allowed, "1..100000");
    EXPECT_EQ(errors[3].path, "max_request");
}

TEST(settings, a_missing_required_key_is_reported) {
    const auto errors = parse_errors("process: {name: a}\nlisten: {}\npeer_listen: {}\n");
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].path, "process.zone");
}

TEST(settings, printed_settings_can_be_read_back) {
    entry_settings settings;
    settings.process.name = "entry-1";
    settings.process.zone = "howrah";
    settings.engines.resize(2);
    const auto text = print_yaml(nlohmann::json(settings));
    schema_reader reader{unknown_keys::accept};
    entry_settings reread;
    read(*parse_yaml(text), reader, reread);
    EXPECT_EQ(reread, settings);
}

// Incident FAULT: such settings, read at a SIGHUP, ended the process by a stack overflow.
TEST(settings, endless_and_deeply_nested_documents_are_refused) {
    EXPECT_FALSE(parse_yaml("a: &loop\n  b: [*loop]\n"));
    EXPECT_FALSE(parse_yaml("a: &loop [*loop, *loop]\n"));
    constexpr std::size_t levels = 100000;
    EXPECT_FALSE(parse_yaml(std::string(levels, '[')));
}

} // namespace
} // namespace magnolia
