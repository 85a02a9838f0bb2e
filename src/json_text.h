/// Writes JSON, and reads what other programs wrote: documents of bounded depth, and the readable
/// parts of a document of which other parts are not.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace magnolia {

/// Deepest nesting of a document that is read. The JSON library recurses for each level where it
/// copies or writes a document.
inline constexpr std::size_t max_json_depth = 64;

/// Text of a document. Bytes that are not UTF-8 are replaced, where the JSON library would throw:
/// names come from callers and other hosts.
[[nodiscard]] std::string write_json(const nlohmann::json& document);

/// Document in the text; discarded if it is not valid JSON, nested deeper than max_json_depth, or
/// has a number outside the range of a double.
[[nodiscard]] nlohmann::json parse_json(std::string_view text);

/// Document in the text in which values that parse_json() would discard are null, down to `levels`
/// levels of nesting; discarded if its brackets do not match.
/// @param opaque  members with this name are read as a whole or are null.
[[nodiscard]] nlohmann::json parse_readable_json(std::string_view text, std::string_view opaque,
                                                 std::size_t levels);

} // namespace magnolia
