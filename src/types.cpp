#include <magnolia/types.h>

#include <array>
#include <cinttypes>
#include <cstdio>

namespace magnolia {

std::string to_string(const request_id& id) {
    std::array<char, 34> text{};
    const auto length = std::snprintf(text.data(), text.size(), "%016" PRIx64 "-%016" PRIx64,
                                      id.origin, id.sequence);
    return {text.data(), static_cast<std::size_t>(length)};
}

} // namespace magnolia
