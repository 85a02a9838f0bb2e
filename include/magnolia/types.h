/// Basic types of all components: clocks, typed handles, request and attempt identifiers.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace magnolia {

/// Clock for all decision code. It has no now(), so that code under test gets every time point as
/// an argument.
struct process_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<process_clock>;
    static constexpr bool is_steady = true;
};

/// Time span in microseconds.
using duration = process_clock::duration;

/// Point in time on the steady clock of one process. Meaningless in any other process, so it is
/// never sent in a message.
using time_point = process_clock::time_point;

/// Reads the steady clock of this process. Not called by decision code, which takes the time as a
/// parameter.
[[nodiscard]] inline time_point steady_now() {
    return time_point{
        std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch())};
}

/// Typed index into a table. A default-constructed handle is invalid.
template <class Tag>
struct handle {
    static constexpr std::uint32_t invalid = UINT32_MAX;

    std::uint32_t value = invalid;

    [[nodiscard]] bool is_valid() const { return value != invalid; }
    auto operator<=>(const handle&) const = default;
};

using engine_handle = handle<struct engine_tag>;
using service_handle = handle<struct service_tag>;
using zone_handle = handle<struct zone_tag>;
using model_handle = handle<struct model_tag>;
using workspace_handle = handle<struct workspace_tag>;
using connection_handle = handle<struct connection_tag>;

/// Identifies a request. Unique across all entries and their restarts.
struct request_id {
    /// Random number that the entry chose when its process started.
    std::uint64_t origin = 0;
    /// Sequence number among the requests of that entry process.
    std::uint64_t sequence = 0;

    auto operator<=>(const request_id&) const = default;
};

/// Identifies one attempt to execute a request.
struct attempt_id {
    request_id request;
    /// 1 for the first attempt.
    std::uint32_t number = 0;

    auto operator<=>(const attempt_id&) const = default;
};

/// Formats the id as 16 hexadecimal digits, a dash and 16 hexadecimal digits.
[[nodiscard]] std::string to_string(const request_id& id);

} // namespace magnolia

template <class Tag>
struct std::hash<magnolia::handle<Tag>> {
    std::size_t operator()(magnolia::handle<Tag> value) const noexcept { return value.value; }
};

template <>
struct std::hash<magnolia::request_id> {
    std::size_t operator()(const magnolia::request_id& id) const noexcept {
        return id.origin ^ (id.sequence * 0x9E3779B97F4A7C15ULL);
    }
};
