#include "timeline_view.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace magnolia {
namespace {

constexpr double image_width = 1400;
constexpr double lane_height = 60;
constexpr double left_margin = 160;
constexpr double right_margin = 40;
constexpr double top_margin = 50;
constexpr double us_per_ms = 1000;

std::int64_t first_time(std::span<const ordered_event> events) {
    return events.empty() ? 0 : std::ranges::min(events, {}, &ordered_event::time_us).time_us;
}

std::int64_t last_time(std::span<const ordered_event> events) {
    return events.empty() ? 0 : std::ranges::max(events, {}, &ordered_event::time_us).time_us;
}

/// Fields of an event that are not empty, as `name=value` pairs.
std::string describe_event(const timeline_event& event) {
    std::string text;
    const auto add = [&text](std::string_view name, const std::string& value) {
        if (!value.empty()) {
            text += " " + std::string{name} + "=" + value;
        }
    };
    add("req", event.request);
    add("workspace", event.workspace);
    add("subject", event.subject);
    add("detail", event.detail);
    return text;
}

/// Maps processes and times to coordinates of the image.
class timeline_layout {
public:
    explicit timeline_layout(std::span<const ordered_event> events)
        : start_{first_time(events)},
          span_{std::max<double>(1, static_cast<double>(last_time(events) - start_))} {
        for (const auto& item : events) {
            lanes_.emplace(item.event.host, 0);
        }
        std::size_t lane = 0;
        for (auto& [host, index] : lanes_) {
            index = lane++;
        }
    }

    [[nodiscard]] double x(const ordered_event& item) const {
        const auto fraction = static_cast<double>(item.time_us - start_) / span_;
        return left_margin + fraction * (image_width - left_margin - right_margin);
    }
    [[nodiscard]] double y(const std::string& host) const {
        return top_margin + (static_cast<double>(lanes_.at(host)) + 0.5) * lane_height;
    }
    [[nodiscard]] double height() const {
        return 2 * top_margin + static_cast<double>(lanes_.size()) * lane_height;
    }
    [[nodiscard]] double span_ms() const { return span_ / us_per_ms; }
    [[nodiscard]] const std::map<std::string, std::size_t>& lanes() const { return lanes_; }

private:
    std::int64_t start_;
    double span_;
    std::map<std::string, std::size_t> lanes_;
};

/// Colour of the circle for a kind of event: red for refusals and losses, blue for requests, green
/// for attempts, brown for all others.
std::string_view mark_colour(std::string_view kind) {
    if (kind.ends_with("refused") || kind.ends_with("lost") || kind.ends_with("lapsed")) {
        return "#c0392b";
    }
    if (kind.starts_with("request")) {
        return "#2471a3";
    }
    return kind.starts_with("attempt") ? "#1e8449" : "#7d6608";
}

void draw_lanes(std::ostream& out, const timeline_layout& layout) {
    for (const auto& [host, index] : layout.lanes()) {
        const auto y = layout.y(host);
        out << "<text x=\"8\" y=\"" << y + 4 << "\">" << xml_escape(host) << "</text>"
            << "<line class=\"lane\" x1=\"" << left_margin << "\" y1=\"" << y << "\" x2=\""
            << image_width - right_margin << "\" y2=\"" << y << "\"/>\n";
    }
}

void draw_causes(std::ostream& out, const timeline_layout& layout,
                 std::span<const ordered_event> events) {
    for (const auto& item : events) {
        if (item.cause == SIZE_MAX) {
            continue;
        }
        const auto& cause = events[item.cause];
        out << "<line class=\"cause\" x1=\"" << layout.x(cause) << "\" y1=\""
            << layout.y(cause.event.host) << "\" x2=\"" << layout.x(item) << "\" y2=\""
            << layout.y(item.event.host) << "\"/>\n";
    }
}

void draw_events(std::ostream& out, const timeline_layout& layout,
                 std::span<const ordered_event> events) {
    for (const auto& item : events) {
        out << "<circle cx=\"" << layout.x(item) << "\" cy=\"" << layout.y(item.event.host)
            << "\" r=\"4\" fill=\"" << mark_colour(item.event.kind) << "\"><title>"
            << xml_escape(item.event.kind + describe_event(item.event)) << "</title></circle>\n";
    }
}

} // namespace

std::string timeline_text(std::span<const ordered_event> events) {
    const auto start = first_time(events);
    std::ostringstream out;
    out << std::fixed << std::setprecision(3);
    for (const auto& item : events) {
        out << std::setw(12) << static_cast<double>(item.time_us - start) / us_per_ms << " ms  "
            << std::left << std::setw(16) << item.event.host << ' ' << std::setw(22)
            << item.event.kind << std::right << describe_event(item.event);
        if (!item.event.cause_host.empty()) {
            out << " <- " << item.event.cause_host << '#' << item.event.cause_sequence;
        }
        out << '\n';
    }
    return out.str();
}

std::string timeline_json(std::span<const ordered_event> events) {
    auto list = nlohmann::json::array();
    for (const auto& item : events) {
        auto& object = list.emplace_back(item.event);
        object["time_us"] = item.time_us;
    }
    return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string timeline_svg(std::span<const ordered_event> events) {
    const timeline_layout layout{events};
    std::ostringstream out;
    out << std::fixed << std::setprecision(1)
        << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << image_width << "\" height=\""
        << layout.height() << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<style>.lane{stroke:#ccc}.cause{stroke:#999;stroke-dasharray:3 2}</style>\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"8\" y=\"20\">" << events.size() << " events over " << layout.span_ms()
        << " ms</text>\n";
    draw_lanes(out, layout);
    draw_causes(out, layout, events);
    draw_events(out, layout, events);
    out << "</svg>\n";
    return out.str();
}

std::string xml_escape(std::string_view text) {
    std::string escaped;
    escaped.reserve(text.size());
    for (const char character : text) {
        switch (character) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += static_cast<unsigned char>(character) < 0x20 ? ' ' : character;
        }
    }
    return escaped;
}

} // namespace magnolia
