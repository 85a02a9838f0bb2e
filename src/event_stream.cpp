#include "event_stream.h"

#include <algorithm>
#include <charconv>

namespace magnolia {
namespace {

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
    const std::string_view text{pending_};
    std::vector<stream_event> events;
    std::size_t event_start = 0;
    const auto find_line_end = [&] {
        return text.find_first_of("\r\n", std::max(line_start_, scanned_));
    };
    for (auto line_end = find_line_end(); line_end != std::string_view::npos;
         line_end = find_line_end()) {
        const auto line = text.substr(line_start_, line_end - line_start_);
        const bool follows_cr = line_end > 0 ? text[line_end - 1] == '\r' : follows_cr_;
        const bool is_second_of_crlf = line.empty() && follows_cr && text[line_end] == '\n';
        line_start_ = line_end + 1;
        if (!line.empty()) {
            has_line_ = true;
            has_field_ = has_field_ || line.front() != ':';
        } else if (has_line_ && !is_second_of_crlf) {
            if (text.substr(line_end).starts_with("\r\n")) {
                ++line_start_;
            }
            const auto event = text.substr(event_start, line_start_ - event_start);
            events.push_back({std::string{event}, parse_id(event), has_field_});
            event_start = line_start_;
            has_line_ = false;
            has_field_ = false;
        }
    }
    if (event_start > 0) {
        follows_cr_ = text[event_start - 1] == '\r';
        pending_.erase(0, event_start);
        line_start_ -= event_start;
    }
    scanned_ = pending_.size();
    return events;
}

bool event_splitter::is_inside_event() const {
    return has_field_ || line_start_ < pending_.size();
}

} // namespace magnolia
