/// Fault injection requests on the control listeners of the simulated backend servers:
/// POST /control/FAULT?TARGET=INDEX&count=N.
#pragma once

#include "http_types.h"

#include <cstdint>

namespace magnolia::fakes {

/// A fault to inject into one backend server.
struct fault_injection {
    std::string fault;
    /// Index of the backend server.
    std::uint32_t target = 0;
    /// How many times the fault occurs; the time in ms for `delay`; other faults may ignore it.
    std::uint32_t count = 1;
};

/// Parses a fault injection request; an absent or invalid number keeps its default.
/// @param target  name of the query parameter with the index of the backend server.
[[nodiscard]] fault_injection parse_fault(const http_request& request, std::string_view target);

/// Returns whether a counted fault applies now, and decrements its count.
[[nodiscard]] bool consume_fault(std::uint32_t& count);

} // namespace magnolia::fakes
