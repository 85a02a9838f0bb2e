/// Shared by the source files of prompt_quarantine.
#pragma once

#include "prompt_quarantine.h"

#include <algorithm>

namespace magnolia {

inline constexpr std::string_view whole_request_prefix = "request:";

[[nodiscard]] inline bool is_whole_request(std::string_view segment) {
    return segment.starts_with(whole_request_prefix);
}

/// Whether the sorted list has all of the wanted ones, which are sorted too.
[[nodiscard]] inline bool has_all(const segment_list& segments, const segment_list& wanted) {
    return std::ranges::includes(segments, wanted);
}

/// The segments in order, each once.
[[nodiscard]] segment_list sorted(segment_list segments);
/// Adds the name unless it is known; the list stays sorted and short.
void add_name(std::vector<std::string>& names, const std::string& name);

} // namespace magnolia
