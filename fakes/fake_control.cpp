#include "fake_control.h"

#include <charconv>

namespace magnolia::fakes {

fault_injection parse_fault(const http_request& request, std::string_view target) {
    constexpr std::string_view prefix = "/control/";
    const auto path = target_path(request.target);
    const auto number_parameter = [&request](std::string_view name, std::uint32_t number) {
        const auto text = query_parameter(request.target, name);
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    };
    return {std::string{path.starts_with(prefix) ? path.substr(prefix.size()) : path},
            number_parameter(target, 0), number_parameter("count", 1)};
}

bool consume_fault(std::uint32_t& count) {
    if (count == 0) {
        return false;
    }
    --count;
    return true;
}

} // namespace magnolia::fakes
