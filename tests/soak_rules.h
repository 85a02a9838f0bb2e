/// What callers may see of hosts that are stopped, reloaded, started, frozen and killed: the bounds
/// of the deployments. Pure.
#pragma once

#include "http_types.h"

#include <iosfwd>
#include <optional>
#include <vector>

namespace magnolia {

using std::chrono::milliseconds;

struct time_span {
    time_point begin{};
    time_point end{};
};

/// A stop that a signal asked for. Its time lies in a range if the settings changed shortly before.
struct asked_stop {
    time_point at{};
    duration min_timeout{};
    duration max_timeout{};
};

/// What was done to a host.
struct host_history {
    /// Freezes, and kills up to the next start.
    std::vector<time_span> disturbances{};
    std::vector<asked_stop> stops{};
};

struct soak_call {
    std::string id;
    std::string target;
    std::size_t host = 0;
    /// Whether it may run more than once.
    bool is_repeatable = false;
    std::string expected_body;
    /// Empty if nothing was sent.
    std::optional<time_point> written_at{};
    time_point ended_at{};
    /// Empty without a complete answer.
    std::optional<http_response> answer{};
};

/// What the servers saw of a request.
struct server_record {
    std::size_t arrivals = 0;
    bool is_finished = false;
};

enum class call_verdict : std::uint8_t {
    served,
    /// Answered as failed, or as not run.
    refused,
    not_sent,
    /// No complete answer, of a host that was frozen or killed.
    disturbed,
    /// The request crossed the close of its connection.
    crossed,
    /// The server was still at work when the stop of the host ended.
    outlasted,
    /// The following ones are faults.
    lost,
    mixed,
    denied,
    refused_though_run,
    run_twice,
};

std::ostream& operator<<(std::ostream& out, call_verdict verdict);

[[nodiscard]] constexpr bool is_fault(call_verdict verdict) {
    return verdict >= call_verdict::lost;
}

/// @param lateness  longest delay of the caller's own timers during the call.
[[nodiscard]] call_verdict judge(const soak_call& call, const server_record& server,
                                 const host_history& host, duration lateness);

/// Time until which the process of a host has to end after a stop was asked for. A freeze meanwhile
/// extends it.
[[nodiscard]] time_point end_of_stop(const asked_stop& stop, const host_history& host);

} // namespace magnolia
