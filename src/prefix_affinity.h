/// Estimates on which engines the prefixes of a prompt are cached, from the routing history of this
/// entry and rendezvous hashing, so that entries need not exchange the contents of the caches.
#pragma once

#include <magnolia/types.h>

#include <array>
#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace magnolia {

/// Bytes of the prompt covered by the prefix hash at `index`.
[[nodiscard]] std::size_t prefix_bytes(std::size_t index);

/// Rendezvous hashing weight of an engine for a prefix; the engine with the highest weight is the
/// home of the prefix.
[[nodiscard]] std::uint64_t rendezvous_weight(std::uint64_t prefix, std::uint64_t engine);

/// Engines that were recently sent a prefix, in a direct-mapped hash table of fixed size: a prefix
/// that hashes to an occupied slot replaces the older one. Not thread-safe; owned by the router.
class prefix_table {
public:
    /// Engines stored per prefix.
    static constexpr std::size_t ways = 3;

    /// Engines of one prefix; unused positions are invalid.
    struct holders {
        std::array<engine_handle, ways> engines{};
    };

    /// @param slots  size of the table; rounded up to a power of two.
    explicit prefix_table(std::size_t slots);

    /// Records that prompts with these prefixes were sent to the engine.
    void put(std::span<const std::uint64_t> hashes, engine_handle engine);
    /// Removes an engine from a prefix that its cache turned out not to hold.
    void remove(std::uint64_t hash, engine_handle engine);
    /// Engines that were sent the prefix, most recent first.
    [[nodiscard]] holders find(std::uint64_t hash) const;

private:
    struct slot {
        std::uint64_t hash = 0;
        holders value;
    };

    std::vector<slot> slots_;
};

} // namespace magnolia
