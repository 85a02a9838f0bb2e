/// Finds in the logs of all hosts what bears on one request.
#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia {

/// Lines about the request, and lines of the hosts that handled it about their beliefs between its
/// first and last line; in the order of their times. Text before a line's time is kept.
/// @param log  lines of any number of hosts, in any order.
[[nodiscard]] std::vector<std::string> explain_request(std::istream& log, std::string_view request);

} // namespace magnolia
