/// Fault orders on the control listeners of the stand-ins: POST /control/FAULT?TARGET=I&count=N.
#pragma once

#include "http_types.h"

#include <cstdint>

namespace magnolia::fakes {

struct fault_injection {
    std::string fault;
    std::uint32_t target = 0;
    std::uint32_t count = 1;
};

/// @param target  name of the query parameter that chooses the back end.
[[nodiscard]] fault_injection parse_fault(const http_request& request, std::string_view target);

/// Uses one of the counted faults up; false if none is left.
[[nodiscard]] bool consume_fault(std::uint32_t& count);

} // namespace magnolia::fakes
