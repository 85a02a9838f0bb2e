/// All compile-time limits and constants of the system.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace magnolia::config {

/// Release of the programs, as printed by --version.
inline constexpr std::string_view program_release = "0.1.0";

/// Version of the protocol between processes. Frames of another version are accepted; messages and
/// fields that this release does not define are ignored.
inline constexpr std::uint32_t protocol_release = 1;

/// Maximum size of a frame between two processes, in bytes.
inline constexpr std::size_t max_frame_bytes = std::size_t{1} << 20U;

/// Maximum size of a request body from a caller, in bytes. Fits a prompt of a million tokens with a
/// margin.
inline constexpr std::size_t max_body_bytes = std::size_t{16} << 20U;

/// Maximum size of the body of a backend server's answer to a probe or an order, in bytes. They are
/// a few fields; a faulty server may send without end.
inline constexpr std::size_t max_order_answer_bytes = std::size_t{64} << 10U;

/// Maximum size of an object's value in the platform's store, in bytes.
inline constexpr std::size_t max_object_bytes = std::size_t{1} << 20U;

/// Number of objects that the claims of one claim_bucket are distributed over. All processes that
/// share a platform have to use the same value, and the same claim_bucket.
inline constexpr std::uint32_t claim_shards = 16;

/// Claims of idempotency keys that were created within the same bucket of this length share
/// objects.
inline constexpr std::chrono::milliseconds claim_bucket{60000};

/// Maximum assumed error of the wall clock of any process.
inline constexpr std::chrono::milliseconds max_clock_error{5000};

/// Maximum combined length of a workspace name and an idempotency key, in bytes.
inline constexpr std::size_t max_claim_key_bytes = 512;

/// Number of bytes of a response body that are stored with its claim; the rest is cut off.
inline constexpr std::size_t max_claim_answer_bytes = 512;

/// Capacity of a ring between two I/O threads, in items.
inline constexpr std::size_t ring_capacity = 4096;

/// Bytes of prompt text per token; used to estimate the token count until an engine reports it.
inline constexpr std::size_t estimated_bytes_per_token = 4;

/// Maximum length of the message of a log line, in bytes.
inline constexpr std::size_t max_log_message_bytes = 512;

/// Maximum rate of log lines per process. Excess lines are dropped and counted.
inline constexpr std::uint32_t log_lines_per_second = 500;

/// Maximum number of metric series (label combinations over all metrics) per process. Further
/// series are refused and counted.
inline constexpr std::size_t max_metric_series = 4000;

/// Maximum number of events per process that are queued for magnolia-timeline. Further events are
/// dropped and counted.
inline constexpr std::size_t max_queued_events = 8192;

/// Maximum number of hosts among which a host chooses one that it passes requests on to.
inline constexpr std::size_t max_relay_hosts = 1024;

/// Crashes of backend servers that are kept as evidence against prompt segments; the oldest one is
/// dropped.
inline constexpr std::size_t max_crashes = 64;

/// Maximum total length of the segment ids that are kept for one crash, in bytes. Further prompts
/// are ignored.
inline constexpr std::size_t max_crash_bytes = std::size_t{16} << 10U;

/// Number of segments of which it is remembered that they do not crash backend servers: of those
/// under suspicion at most, and of all others at least.
inline constexpr std::size_t max_clearances = 4096;
inline constexpr std::size_t max_sound_segments = 4096;

/// Maximum number of blocked segment combinations. Further ones are refused.
inline constexpr std::size_t max_quarantined = 64;

} // namespace magnolia::config
