/// Frames between processes: 4 bytes of length, big endian, then a msgpack array [release, number,
/// body].
#pragma once

#include <magnolia/config.h>
#include <magnolia/error.h>

#include <optional>
#include <span>

namespace magnolia {

/// Message as it was framed by the sender.
struct received_frame {
    /// Release of the sender's protocol.
    std::uint32_t release = 0;
    std::uint16_t number = 0;
    /// Absent for a number that this release does not know.
    std::optional<peer_message> message;
};

/// Appends the message's frame to `out`; returns the frame's bytes.
/// Errors: frame_invalid if it would exceed config::max_frame_bytes; `out` is unchanged.
[[nodiscard]] result<std::size_t> append_frame(const peer_message& message, std::string& out);

/// Reads one frame without its length. Errors: frame_invalid.
[[nodiscard]] result<received_frame> read_frame(std::span<const std::uint8_t> body);

/// Cuts a stream of bytes into frames. Holds at most one frame beyond what was appended.
class frame_splitter {
public:
    void append(std::span<const std::uint8_t> bytes);
    /// Next whole frame, or nothing if bytes are missing. Errors: frame_invalid; the stream cannot
    /// be read any further.
    [[nodiscard]] result<std::optional<received_frame>> next();

private:
    std::vector<std::uint8_t> bytes_;
    std::size_t read_ = 0;
};

} // namespace magnolia
