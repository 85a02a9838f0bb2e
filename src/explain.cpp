#include "explain.h"

#include <algorithm>
#include <istream>
#include <optional>
#include <regex>
#include <set>

namespace magnolia {
namespace {

/// Parts of a line that decide whether it bears on a request.
struct log_line {
    std::string time;
    std::string host;
    std::string request;
    std::string text;
};

std::optional<log_line> read_line(const std::string& text) {
    static const std::regex form{
        R"((\d{4}-\d\d-\d\dT[\d:.]+Z) \S+ +\[[^\]]*\] host=(\S+) req=(\S+) )"};
    std::smatch found;
    if (!std::regex_search(text, found, form)) {
        return std::nullopt;
    }
    return log_line{found[1], found[2], found[3], text};
}

} // namespace

std::vector<std::string> explain_request(std::istream& log, std::string_view request) {
    std::vector<log_line> about;
    std::vector<log_line> beliefs;
    for (std::string text; std::getline(log, text);) {
        auto line = read_line(text);
        if (line && line->request == request) {
            about.push_back(std::move(*line));
        } else if (line && line->request == "-") {
            beliefs.push_back(std::move(*line));
        }
    }
    if (about.empty()) {
        return {};
    }
    std::ranges::stable_sort(about, {}, &log_line::time);
    std::set<std::string> hosts;
    std::ranges::transform(about, std::inserter(hosts, hosts.end()), &log_line::host);
    // A belief that the first line rests on was logged before it.
    constexpr std::size_t beliefs_before = 5;
    std::vector<log_line> before;
    for (const auto& line : beliefs) {
        if (!hosts.contains(line.host) || line.time > about.back().time) {
            continue;
        }
        (line.time < about.front().time ? before : about).push_back(line);
    }
    std::ranges::stable_sort(before, {}, &log_line::time);
    const auto skipped = before.size() - std::min(before.size(), beliefs_before);
    about.insert(about.end(), before.begin() + static_cast<std::ptrdiff_t>(skipped), before.end());
    std::ranges::stable_sort(about, {}, &log_line::time);
    std::vector<std::string> lines;
    std::ranges::transform(about, std::back_inserter(lines), &log_line::text);
    return lines;
}

} // namespace magnolia
