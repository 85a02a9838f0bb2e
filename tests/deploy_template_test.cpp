/// The template of the gateway's settings on the users' platform.
#include "settings.h"

#include <magnolia/schema.h>

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <map>
#include <regex>

namespace magnolia {
namespace {

/// The template with every section and a value for every placeholder.
std::string render_template() {
    std::ifstream file{std::filesystem::path{MAGNOLIA_SOURCE_DIR} / "deploy" / "gateway.yaml.in"};
    std::string text{std::istreambuf_iterator<char>{file}, {}};
    const std::map<std::string, std::string> values{{"NodeName", "front-1"},
                                                    {"Zone", "z1"},
                                                    {"Ip", "127.0.0.1"},
                                                    {"Platform.Address", "127.0.0.1:8223"},
                                                    {"Listen.Front", "127.0.0.1:80"},
                                                    {"Listen.Ready", "127.0.0.1:81"},
                                                    {"InternalPorts.0", "7340"},
                                                    {"Bounds.RetryBudgetRatio", "0.2"},
                                                    {"Limits.CpuShare", "0.25"},
                                                    {"Bounds.BudgetWindowS", "10"},
                                                    {"Bounds.ColdOverage", "1.5"}};
    text = std::regex_replace(text, std::regex{"\\{\\{[#/][A-Za-z.]*\\}\\}"}, "");
    std::string rendered;
    const std::regex placeholder{"\\{\\{([A-Za-z0-9.]*)\\}\\}"};
    auto rest = text.cbegin();
    for (std::sregex_iterator match{text.begin(), text.end(), placeholder}, end; match != end;
         ++match) {
        rendered.append(rest, (*match)[0].first);
        const auto value = values.find((*match)[1].str());
        rendered += value == values.end() ? "3000" : value->second;
        rest = (*match)[0].second;
    }
    return rendered.append(rest, text.cend());
}

bool is_accepted(const std::string& text) {
    const auto document = parse_yaml(text);
    if (!document) {
        return false;
    }
    schema_reader reader{unknown_keys::reject};
    gateway_settings settings;
    read(*document, reader, settings);
    return reader.errors().empty();
}

// Incident FAULT: a process may read its settings while the file is being written, and must not
// start with a part of them.
TEST(deploy_template, no_part_of_the_settings_passes_for_the_whole) {
    const auto whole = render_template();
    ASSERT_TRUE(whole.ends_with("\"\n")) << whole;
    ASSERT_TRUE(is_accepted(whole)) << whole;
    // Without its last line break the file is complete.
    for (std::size_t size = 0; size + 1 < whole.size(); ++size) {
        ASSERT_FALSE(is_accepted(whole.substr(0, size))) << whole.substr(0, size);
    }
}

} // namespace
} // namespace magnolia
