/// Selects the log lines of all hosts that explain what happened to one request.
#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia {

/// Returns the lines of the request, and the lines without a request (changes of a host's state) of
/// the hosts that handled it: those between its first and last line and a few before. Sorted by
/// time. Text before the timestamp of a line is kept. Empty if no line names the request.
/// @param log      lines of any number of hosts, in any order; other lines, and those of more than
///                 2 KB, are ignored.
/// @param request  value of the `req` field.
[[nodiscard]] std::vector<std::string> explain_request(std::istream& log, std::string_view request);

} // namespace magnolia
