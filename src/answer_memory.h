/// Bounds the bytes of answers that wait in a host, over all calls: unsigned answers, events that
/// have not ended, output that callers have not read. Answers the load of many backend servers that
/// send without end, and of many callers that do not read. Performs no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace magnolia {

/// What the bytes that a call keeps of an answer wait for; those without a use are given up first.
enum class answer_wait : std::uint8_t {
    /// They are not for the caller: unsigned, a refusal, an error behind a started stream.
    no_use,
    /// The end of an event.
    event_end,
    /// The end of a short body.
    body_end,
};

/// Bytes that a call keeps of the answer of its current attempt.
struct kept_answer {
    answer_wait wait = answer_wait::no_use;
    std::size_t bytes = 0;
};

/// What has to be freed for the sum to be within its limit again.
struct memory_relief {
    /// Indexes of the answers to give up, in this order.
    std::vector<std::size_t> answers;
    /// Bytes of unread output that are too many even without these answers.
    std::size_t unread_bytes = 0;
};

/// Maximum sum of the bytes that wait, for a host with so much memory. All in bytes.
[[nodiscard]] std::size_t answer_memory_limit(std::uint64_t host_memory);

/// Chooses what to free: answers without a use, then what takes more: other answers, or the output.
/// @param unread  bytes of output that callers have not read, over all connections.
[[nodiscard]] memory_relief choose_relief(std::span<const kept_answer> answers, std::size_t unread,
                                          std::size_t limit);

/// Bytes that may wait for one caller before its backend server is not read on: less, once half of
/// the limit is in use.
/// @param waiting  bytes that wait in the host.
[[nodiscard]] std::size_t unread_allowance(std::size_t waiting, std::size_t limit);

} // namespace magnolia
