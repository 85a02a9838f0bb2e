#include "fake_control.h"

#include <charconv>

namespace magnolia::fakes {

fault_order read_fault(const http_request& request, std::string_view target) {
    constexpr std::string_view prefix = "/control/";
    const auto path = target_path(request.target);
    const auto number = [&request](std::string_view name, std::uint32_t value) {
        const auto text = query_parameter(request.target, name);
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    };
    return {std::string{path.starts_with(prefix) ? path.substr(prefix.size()) : path},
            number(target, 0), number("count", 1)};
}

bool use_one(std::uint32_t& count) {
    if (count == 0) {
        return false;
    }
    --count;
    return true;
}

} // namespace magnolia::fakes
