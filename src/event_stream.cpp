#include "event_stream.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace magnolia {
namespace {

/// Blank lines that terminate an event, one for each line ending.
constexpr std::array<std::string_view, 3> event_terminators{"\n\n", "\r\n\r\n", "\r\r"};

/// Length of the first event in the text, including its blank line; npos if it is incomplete.
std::size_t event_length(std::string_view text) {
    std::size_t first = std::string_view::npos;
    for (const auto end : event_terminators) {
        if (const auto found = text.find(end); found != std::string_view::npos) {
            first = std::min(first, found + end.size());
        }
    }
    return first;
}

/// Number in the last id field of the event that holds an unsigned integer.
std::optional<std::uint64_t> parse_id(std::string_view event) {
    constexpr std::string_view name = "id:";
    std::optional<std::uint64_t> id;
    while (!event.empty()) {
        const auto end = std::min(event.find_first_of("\r\n"), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(name)) {
            continue;
        }
        line.remove_prefix(name.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t number = 0;
        const auto [last, failure] = std::from_chars(line.begin(), line.end(), number);
        if (failure == std::errc{} && last == line.end()) {
            id = number;
        }
    }
    return id;
}

} // namespace

std::vector<stream_event> event_splitter::append(std::string_view bytes) {
    pending_ += bytes;
    std::vector<stream_event> events;
    std::string_view text{pending_};
    for (auto length = event_length(text); length != std::string_view::npos;
         length = event_length(text)) {
        const auto event = text.substr(0, length);
        events.push_back({std::string{event}, parse_id(event)});
        text.remove_prefix(length);
    }
    pending_.erase(0, pending_.size() - text.size());
    return events;
}

bool event_splitter::is_inside_event() const {
    std::string_view text{pending_};
    while (!text.empty()) {
        const auto line_end = text.find_first_of("\r\n");
        const bool is_comment = text.front() == ':';
        if (line_end == std::string_view::npos || (line_end > 0 && !is_comment)) {
            return true;
        }
        text.remove_prefix(line_end + 1);
    }
    return false;
}

} // namespace magnolia
