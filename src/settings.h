/// Loads and validates the YAML settings of a program.
#pragma once

#include "schema_reader.h"

#include <magnolia/error.h>

#include <filesystem>
#include <iosfwd>
#include <span>

namespace magnolia {

/// Content of a file; empty if it cannot be read.
[[nodiscard]] std::optional<std::string> read_text_file(const std::filesystem::path& file);

/// Reads a YAML file and converts it to JSON. Errors: bad_settings with the file, line and column.
[[nodiscard]] result<nlohmann::json> read_yaml(const std::filesystem::path& file);

/// Converts YAML text to JSON. Errors: bad_settings with the line and column.
[[nodiscard]] result<nlohmann::json> parse_yaml(const std::string& text);

/// Formats one line per error: file, key, value and allowed values.
[[nodiscard]] std::string format_schema_errors(const std::filesystem::path& file,
                                               std::span<const schema_error> errors);

/// Reads the settings of a program from a document. Unknown keys are errors. Errors: bad_settings,
/// whose subject lists all errors, one per line.
/// @param file  named in the errors.
template <class Settings>
[[nodiscard]] result<Settings> read_settings(const result<nlohmann::json>& document,
                                             const std::filesystem::path& file) {
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

/// As read_settings(), from a file.
template <class Settings>
[[nodiscard]] result<Settings> load_settings(const std::filesystem::path& file) {
    return read_settings<Settings>(read_yaml(file), file);
}

/// Formats a JSON document as YAML text.
[[nodiscard]] std::string print_yaml(const nlohmann::json& document);

} // namespace magnolia
