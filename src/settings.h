/// Loads and checks the YAML settings of a program.
#pragma once

#include "schema_reader.h"

#include <magnolia/error.h>

#include <filesystem>
#include <iosfwd>
#include <span>

namespace magnolia {

/// Reads a YAML file as JSON. Errors: bad_settings with the file, line and column.
[[nodiscard]] result<nlohmann::json> read_yaml(const std::filesystem::path& file);

/// Reads YAML text as JSON. Errors: bad_settings with the line and column.
[[nodiscard]] result<nlohmann::json> parse_yaml(const std::string& text);

/// One line an error: file, key, value, bound.
[[nodiscard]] std::string format_schema_errors(const std::filesystem::path& file,
                                               std::span<const schema_error> errors);

/// Settings of a program from its file. Errors: bad_settings; the subject lists every error, one a
/// line.
template <class Settings>
[[nodiscard]] result<Settings> load_settings(const std::filesystem::path& file) {
    const auto document = read_yaml(file);
    if (!document) {
        return tl::unexpected{document.error()};
    }
    schema_reader reader{unknown_keys::reject};
    Settings settings;
    read(*document, reader, settings);
    if (!reader.errors().empty()) {
        return fail(error_code::bad_settings, format_schema_errors(file, reader.errors()));
    }
    return settings;
}

/// Settings as YAML text, with every default filled in.
[[nodiscard]] std::string print_yaml(const nlohmann::json& document);

} // namespace magnolia
