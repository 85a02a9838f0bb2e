/// Parses the server-sent events of one completion and checks that they form one complete answer.
/// Does no I/O; time points are passed in.
#pragma once

#include <magnolia/schema.h>
#include <magnolia/types.h>

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia {

/// Why a stream is not one complete answer.
enum class stream_fault : std::uint8_t {
    none,
    /// An event is not a JSON object of the documented form, or is too long.
    malformed,
    /// An offset repeats or skips tokens.
    gap,
    /// An event carries the id of another request.
    crossed,
    /// The stream ended before its last event.
    incomplete,
    /// An event arrived after the final one.
    after_end,
};

/// Name of the fault in reports.
[[nodiscard]] std::string_view to_string(stream_fault fault);

/// Incremental parser and checker of one completion stream. Used by the load generator; not
/// thread-safe.
class answer_reader {
public:
    /// @param token_bytes  size of each generated token in bytes. If 0, sizes differ, and offsets
    ///                     are only checked to increase.
    explicit answer_reader(std::size_t token_bytes = 0) : token_bytes_{token_bytes} {}

    /// Parses the next bytes of the body, which arrived at `now`.
    void feed(std::string_view text, time_point now);
    /// Ends the stream and returns the first fault found. A stream that was ended by an error event
    /// needs no final event.
    [[nodiscard]] stream_fault finish();

    /// First fault found so far.
    [[nodiscard]] stream_fault fault() const { return fault_; }
    /// Generated text of all events, in order of arrival.
    [[nodiscard]] const std::string& text() const { return text_; }
    /// Arrival time of each event with text.
    [[nodiscard]] const std::vector<time_point>& arrivals() const { return arrivals_; }
    /// Outcome in the final event or in an error event; empty if neither has arrived.
    [[nodiscard]] const std::string& outcome_name() const { return outcome_; }
    /// Error type in an error event; empty if none has arrived.
    [[nodiscard]] const std::string& error_type() const { return error_; }
    /// Number of generated tokens in the final event.
    [[nodiscard]] std::optional<std::uint32_t> generated_tokens() const { return generated_; }

private:
    void parse_event(std::string_view event, time_point now);
    void parse_data(const nlohmann::json& data, time_point now);
    void append_text(std::uint64_t offset, const std::string& text, time_point now);
    /// Keeps the first fault.
    void record_fault(stream_fault fault);

    std::size_t token_bytes_;
    std::string pending_;
    std::string id_;
    std::string text_;
    std::string outcome_;
    std::string error_;
    std::vector<time_point> arrivals_;
    std::optional<std::uint32_t> generated_;
    std::optional<std::uint64_t> last_offset_;
    bool has_final_event_ = false;
    bool has_done_marker_ = false;
    stream_fault fault_ = stream_fault::none;
};

} // namespace magnolia
