/// Where the prefixes of prompts are likely to be cached, without telling every node everything.
#pragma once

#include <magnolia/types.h>

#include <array>
#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace magnolia {

/// Bytes of the prompt that the prefix hash at `index` covers.
[[nodiscard]] std::size_t prefix_bytes(std::size_t index);

/// Rendezvous weight of an engine for a prefix; the highest one is the prefix's home.
[[nodiscard]] std::uint64_t rendezvous_weight(std::uint64_t prefix, std::uint64_t engine);

/// Engines that were sent a prefix lately, in a table of fixed size with random replacement.
class prefix_table {
public:
    /// Engines remembered for one prefix.
    static constexpr std::size_t ways = 3;

    struct holders {
        std::array<engine_handle, ways> engines{};
    };

    /// @param slots  entries of the table; rounded up to a power of two.
    explicit prefix_table(std::size_t slots);

    /// Remembers that the engine got prompts with these prefixes.
    void put(std::span<const std::uint64_t> hashes, engine_handle engine);
    /// Forgets one prefix on an engine whose cache turned out not to hold it.
    void remove(std::uint64_t hash, engine_handle engine);
    /// Engines that were sent the prefix, the latest first.
    [[nodiscard]] holders find(std::uint64_t hash) const;

private:
    struct slot {
        std::uint64_t hash = 0;
        holders value;
    };

    std::vector<slot> slots_;
};

} // namespace magnolia
