/// Every compile-time limit of the system.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace magnolia::config {

/// Release of the programs, as --version shows it.
inline constexpr std::string_view program_release = "0.1.0";

/// Release of the protocol between processes; frames of other releases are read as far as they are
/// known.
inline constexpr std::uint32_t protocol_release = 1;

/// Longest frame between two processes, bytes.
inline constexpr std::size_t max_frame_bytes = std::size_t{1} << 20U;

/// Longest request body from a caller, bytes: a million tokens of text with room to spare.
inline constexpr std::size_t max_body_bytes = std::size_t{16} << 20U;

/// Longest value of an object in the platform's store, bytes.
inline constexpr std::size_t max_object_bytes = std::size_t{1} << 20U;

/// Objects that the claims of one span of creation times are spread over. All processes that share
/// a platform have to agree on it, and on the span.
inline constexpr std::uint32_t claim_shards = 16;

/// Span of creation times of keys whose claims share objects.
inline constexpr std::chrono::milliseconds claim_bucket{60000};

/// Furthest that the wall clock of a process may be from the true time.
inline constexpr std::chrono::milliseconds max_clock_error{5000};

/// Longest name of a workspace plus idempotency key, bytes.
inline constexpr std::size_t max_claim_key_bytes = 512;

/// Bytes of an answer that a claim keeps.
inline constexpr std::size_t max_claim_answer_bytes = 512;

/// Slots of a ring between two duties.
inline constexpr std::size_t ring_slots = 4096;

/// Bytes of text that stand for one token until an engine has counted.
inline constexpr std::size_t estimated_bytes_per_token = 4;

/// Longest sentence of a log line, bytes.
inline constexpr std::size_t max_log_message_bytes = 512;

/// Log lines per second of one process; further ones are counted and dropped.
inline constexpr std::uint32_t log_lines_per_second = 500;

/// Label combinations over all metrics of one process; further ones are counted and not kept.
inline constexpr std::size_t max_metric_series = 4000;

/// Events that wait for magnolia-timeline in one process; further ones are counted and dropped.
inline constexpr std::size_t max_queued_events = 8192;

} // namespace magnolia::config
