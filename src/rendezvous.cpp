#include "rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace magnolia {

std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate) {
    const auto seed = XXH3_64bits(candidate.data(), candidate.size());
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

std::vector<std::string> rendezvous_choose(std::string_view key,
                                           std::span<const std::string> candidates,
                                           std::size_t count) {
    std::vector<std::pair<std::uint64_t, std::string_view>> weighted;
    weighted.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        weighted.emplace_back(rendezvous_weight(key, candidate), candidate);
    }
    std::ranges::sort(weighted, std::greater{});
    weighted.resize(std::min(count, weighted.size()));
    std::vector<std::string> chosen;
    std::ranges::transform(weighted, std::back_inserter(chosen),
                           [](const auto& item) { return std::string{item.second}; });
    return chosen;
}

} // namespace magnolia
