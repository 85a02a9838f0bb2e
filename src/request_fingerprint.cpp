#include "request_fingerprint.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <memory>

namespace magnolia {
namespace {

struct state_deleter {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

} // namespace

std::string request_fingerprint(std::string_view key, const http_request& request) {
    const std::unique_ptr<XXH3_state_t, state_deleter> state{XXH3_createState()};
    XXH3_128bits_reset(state.get());
    for (const std::string_view part :
         {key, std::string_view{request.method}, find_header(request.headers, "Host"),
          std::string_view{request.target}, std::string_view{request.body}}) {
        // The length separates the parts.
        const std::uint64_t length = part.size();
        XXH3_128bits_update(state.get(), &length, sizeof length);
        XXH3_128bits_update(state.get(), part.data(), part.size());
    }
    const auto hash = XXH3_128bits_digest(state.get());
    constexpr std::size_t digits = 32;
    std::array<char, digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return {text.data(), digits};
}

} // namespace magnolia
