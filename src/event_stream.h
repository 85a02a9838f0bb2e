/// Splits a stream of server-sent events into complete events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia {

/// One complete event, including the blank line that terminates it.
struct stream_event {
    std::string text;
    /// Number in the id field; absent if there is none or it is not an unsigned integer.
    std::optional<std::uint64_t> id;
    /// Whether it has a field; otherwise it is a comment.
    bool has_field = true;
};

/// Incremental parser of one event stream. Buffers one incomplete event, however large; its user
/// limits it. The work per byte does not depend on the length of lines. Used by a forwarded call;
/// not thread-safe.
class event_splitter {
public:
    /// Adds bytes and returns the events that they complete. Lines end with LF, CRLF or CR.
    [[nodiscard]] std::vector<stream_event> append(std::string_view bytes);
    /// Bytes of the incomplete event at the end of the stream so far.
    [[nodiscard]] std::string_view pending() const { return pending_; }
    /// Whether the stream so far ends inside an event: inside a line, or after a field that no
    /// blank line follows.
    [[nodiscard]] bool is_inside_event() const;

private:
    std::string pending_;
    /// Position in pending_ of the line that is being received.
    std::size_t line_start_ = 0;
    /// Position in pending_ up to which that line has no end.
    std::size_t scanned_ = 0;
    /// The last byte before pending_ is a CR, so a LF at its start ends the same line.
    bool follows_cr_ = false;
    /// pending_ has a complete line that is not blank.
    bool has_line_ = false;
    /// pending_ has a complete line that is a field, not a comment.
    bool has_field_ = false;
};

} // namespace magnolia
