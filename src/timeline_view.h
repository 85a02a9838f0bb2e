/// Renders an ordered timeline as text, JSON or SVG.
#pragma once

#include "timeline.h"

namespace magnolia {

/// One line per event: time since the first event, process, kind and fields.
[[nodiscard]] std::string timeline_text(std::span<const ordered_event> events);

/// JSON array of the events, each with its time on the common clock as `time_us`.
[[nodiscard]] std::string timeline_json(std::span<const ordered_event> events);

/// SVG image with a lane for each process, a circle for each event and a line from each cause to
/// its effect.
[[nodiscard]] std::string timeline_svg(std::span<const ordered_event> events);

/// Escapes the characters that are reserved in XML and replaces control characters by spaces.
[[nodiscard]] std::string xml_escape(std::string_view text);

} // namespace magnolia
