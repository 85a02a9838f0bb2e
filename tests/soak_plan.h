/// Events of a soak: what happens to which host and to the store, and when. Drawn from a seed.
/// Pure.
#pragma once

#include "platform_model.h"

#include <magnolia/types.h>

#include <array>
#include <iosfwd>
#include <optional>
#include <variant>
#include <vector>

namespace magnolia {

using std::chrono::milliseconds;

/// A signal to the process of a host. SIGKILL is unplanned, the others belong to planned work.
struct signal_event {
    int number = 0;
};

/// SIGSTOP, and SIGCONT after this time.
struct freeze_event {
    milliseconds span{};
};

/// The settings file is replaced by one with another time for a stop, or truncated and written
/// again after a moment.
struct settings_event {
    /// Share of the file that stands there meanwhile; empty if the file is replaced.
    std::optional<double> first_share{};
    std::chrono::seconds stop_timeout{};
};

/// The next version of the configuration is written. Concerns all hosts.
struct configuration_event {};

/// The store is away for this time. Concerns all hosts.
struct outage_event {
    outage_mode mode = outage_mode::none;
    milliseconds span{};
};

using soak_action =
    std::variant<signal_event, freeze_event, settings_event, configuration_event, outage_event>;

struct soak_event {
    /// Since the begin of the soak.
    milliseconds at{};
    /// Index of the host; unused by events that concern all hosts.
    std::size_t host = 0;
    soak_action action{};
};

/// Writes the action, without its time and host.
std::ostream& operator<<(std::ostream& out, const soak_action& action);

/// Times of a stop that settings files name.
constexpr std::array soak_stop_timeouts{std::chrono::seconds{3}, std::chrono::seconds{4}};

/// The events of a soak of this length, in the order of their times.
[[nodiscard]] std::vector<soak_event> plan_soak(std::uint64_t seed, std::size_t hosts,
                                                milliseconds length);

} // namespace magnolia
