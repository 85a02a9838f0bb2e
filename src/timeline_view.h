/// Text, JSON and SVG of an ordered time line.
#pragma once

#include "timeline.h"

namespace magnolia {

/// One line an event: time since the first one, process, kind, and what it is about.
[[nodiscard]] std::string timeline_text(std::span<const ordered_event> events);

/// JSON array of the events with their time on the common clock, `time_us`.
[[nodiscard]] std::string timeline_json(std::span<const ordered_event> events);

/// Picture: a lane for each process, a mark for each event, a line from each cause to its effect.
[[nodiscard]] std::string timeline_svg(std::span<const ordered_event> events);

/// Text with the characters that XML reserves replaced.
[[nodiscard]] std::string xml_escape(std::string_view text);

} // namespace magnolia
