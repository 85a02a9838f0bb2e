#include "explain.h"

#include <magnolia/config.h>

#include <algorithm>
#include <istream>
#include <optional>
#include <regex>
#include <set>

namespace magnolia {
namespace {

/// Maximum length of a line, in bytes; longer ones are no log lines. The search of the standard
/// library recurses with the length of what it matches.
constexpr std::size_t max_line_bytes = 4 * config::max_log_message_bytes;

/// Reads the next line that is not too long; false at the end of the input.
bool read_line(std::istream& in, std::string& line) {
    line.clear();
    bool is_too_long = false;
    bool has_text = false;
    for (auto byte = in.get(); byte != std::istream::traits_type::eof(); byte = in.get()) {
        if (byte != '\n') {
            has_text = true;
            is_too_long = is_too_long || line.size() >= max_line_bytes;
            if (!is_too_long) {
                line.push_back(static_cast<char>(byte));
            }
            continue;
        }
        if (!is_too_long) {
            return true;
        }
        line.clear();
        is_too_long = false;
        has_text = false;
    }
    return has_text && !is_too_long;
}

/// Fields of a line that decide whether it belongs to a request.
struct log_line {
    std::string time;
    std::string host;
    std::string request;
    std::string text;
};

std::optional<log_line> parse_line(const std::string& text) {
    static const std::regex line_pattern{
        R"((\d{4}-\d\d-\d\dT[\d:.]+Z) \S+ +\[[^\]]*\] host=(\S+) req=(\S+) )"};
    std::smatch match;
    if (!std::regex_search(text, match, line_pattern)) {
        return std::nullopt;
    }
    return log_line{match[1], match[2], match[3], text};
}

} // namespace

std::vector<std::string> explain_request(std::istream& log, std::string_view request) {
    std::vector<log_line> request_lines;
    std::vector<log_line> host_lines;
    for (std::string text; read_line(log, text);) {
        auto line = parse_line(text);
        if (line && line->request == request) {
            request_lines.push_back(std::move(*line));
        } else if (line && line->request == "-") {
            host_lines.push_back(std::move(*line));
        }
    }
    if (request_lines.empty()) {
        return {};
    }
    std::ranges::stable_sort(request_lines, {}, &log_line::time);
    std::set<std::string> hosts;
    std::ranges::transform(request_lines, std::inserter(hosts, hosts.end()), &log_line::host);
    // The state that the first line depends on was logged before it.
    constexpr std::size_t max_host_lines_before = 5;
    std::vector<log_line> before;
    for (const auto& line : host_lines) {
        if (!hosts.contains(line.host) || line.time > request_lines.back().time) {
            continue;
        }
        (line.time < request_lines.front().time ? before : request_lines).push_back(line);
    }
    std::ranges::stable_sort(before, {}, &log_line::time);
    const auto skipped = before.size() - std::min(before.size(), max_host_lines_before);
    request_lines.insert(request_lines.end(), before.begin() + static_cast<std::ptrdiff_t>(skipped),
                         before.end());
    std::ranges::stable_sort(request_lines, {}, &log_line::time);
    std::vector<std::string> lines;
    std::ranges::transform(request_lines, std::back_inserter(lines), &log_line::text);
    return lines;
}

} // namespace magnolia
