/// Rendezvous hashing: every node that knows the same candidates makes the same choice.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia {

/// Weight of a candidate for a key; the highest weight is chosen.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

/// The best `count` candidates for a key, best first.
[[nodiscard]] std::vector<std::string>
rendezvous_choose(std::string_view key, std::span<const std::string> candidates, std::size_t count);

} // namespace magnolia
