/// Rendezvous hashing (highest random weight): nodes with the same list of candidates make the same
/// choice without communication, and a candidate that leaves moves only its own keys.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia {

/// Returns the weight of a candidate for a key; the candidate with the highest weight is chosen.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

/// Returns the `count` candidates with the highest weights for a key, highest first; all of them if
/// there are fewer.
[[nodiscard]] std::vector<std::string>
rendezvous_choose(std::string_view key, std::span<const std::string> candidates, std::size_t count);

} // namespace magnolia
