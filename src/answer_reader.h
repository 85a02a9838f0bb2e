/// Reads the server-sent events of one completion and checks that they form one whole answer.
/// Pure: time points are passed in.
#pragma once

#include <magnolia/schema.h>
#include <magnolia/types.h>

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia {

/// Why a stream is not one whole answer.
enum class stream_fault : std::uint8_t {
    none,
    /// An event is no JSON object of the documented form, or is too long.
    malformed,
    /// An offset repeats or leaves out tokens.
    gap,
    /// An event names another request.
    crossed,
    /// The stream ended before its last event.
    incomplete,
    /// Text came after the last event.
    after_end,
};

/// Name of the fault as it stands in reports.
[[nodiscard]] std::string_view to_string(stream_fault fault);

class answer_reader {
public:
    /// @param token_bytes  bytes of each generated token; 0 if they differ, and offsets are then
    /// only
    ///                     checked to rise.
    explicit answer_reader(std::size_t token_bytes = 0) : token_bytes_{token_bytes} {}

    /// Takes the next bytes of the body, which arrived at `now`.
    void feed(std::string_view text, time_point now);
    /// The body ended; returns the verdict on the whole stream.
    [[nodiscard]] stream_fault finish();

    [[nodiscard]] stream_fault fault() const { return fault_; }
    /// Text of all events, in order.
    [[nodiscard]] const std::string& text() const { return text_; }
    /// Times at which text arrived.
    [[nodiscard]] const std::vector<time_point>& arrivals() const { return arrivals_; }
    /// Outcome that the last event names.
    [[nodiscard]] const std::string& outcome_name() const { return outcome_; }
    /// Error that an event names; empty if none does.
    [[nodiscard]] const std::string& error_type() const { return error_; }
    /// Tokens that the last event counts.
    [[nodiscard]] std::optional<std::uint32_t> generated_tokens() const { return generated_; }

private:
    void parse_event(std::string_view event, time_point now);
    void parse_data(const nlohmann::json& data, time_point now);
    void append_text(std::uint64_t offset, const std::string& text, time_point now);
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
