/// Cuts a stream of server-sent events into whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia {

/// One whole event, with the blank line that ends it.
struct stream_event {
    std::string text;
    /// Number in its id field; absent if it has none that is a whole number.
    std::optional<std::uint64_t> id;
};

/// Takes bytes as they come and gives whole events. Holds at most one event beyond what was given.
class event_splitter {
public:
    /// Whole events among all bytes so far. Lines end with LF, CRLF or CR.
    [[nodiscard]] std::vector<stream_event> append(std::string_view bytes);
    /// Bytes of an event whose end has not come.
    [[nodiscard]] std::string_view pending() const { return pending_; }

private:
    std::string pending_;
};

} // namespace magnolia
