/// Codec of the messages between entries. A frame is a length of 4 bytes, big endian, followed by a
/// msgpack array [protocol release, message number, body].
#pragma once

#include <magnolia/config.h>
#include <magnolia/error.h>

#include <optional>
#include <span>

namespace magnolia {

/// Decoded frame.
struct received_frame {
    /// Protocol release of the sender.
    std::uint32_t release = 0;
    /// Message number; identifies the type of the message.
    std::uint16_t number = 0;
    /// Absent if this release does not know the message number; the receiver then ignores the
    /// frame.
    std::optional<peer_message> message;
};

/// Appends the frame of a message to `out`; returns the length of the frame in bytes.
/// Errors: frame_invalid if it would exceed config::max_frame_bytes; `out` is unchanged.
[[nodiscard]] result<std::size_t> append_frame(const peer_message& message, std::string& out);

/// Decodes one frame without its length prefix. Fields unknown to this release are ignored.
/// Errors: frame_invalid; the subject says what is malformed.
[[nodiscard]] result<received_frame> read_frame(std::span<const std::uint8_t> body);

/// Splits a byte stream into frames. Not thread-safe. Buffers at most one incomplete frame beside
/// the bytes of the last append().
class frame_splitter {
public:
    /// Adds received bytes.
    void append(std::span<const std::uint8_t> bytes);
    /// Returns the next frame, or nothing if it is incomplete. Errors: frame_invalid; the frame
    /// boundaries are lost then, so the stream has to be closed.
    [[nodiscard]] result<std::optional<received_frame>> next();

private:
    std::vector<std::uint8_t> bytes_;
    /// Bytes at the front of `bytes_` that have been decoded.
    std::size_t read_ = 0;
};

} // namespace magnolia
