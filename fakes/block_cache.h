/// LRU prefix cache of a simulated engine. Each block of a prompt is identified by a hash chained
/// over the blocks before it, so equal hashes mean equal prefixes.
#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace magnolia::fakes {

/// Bytes of prompt in one block; 256 tokens of four bytes.
inline constexpr std::size_t cache_block_bytes = 1024;

/// Tokens of one block.
inline constexpr std::uint32_t cache_block_tokens = 256;

/// A block that was added to the cache or evicted.
struct cache_change {
    std::uint64_t block = 0;
    bool added = false;
};

/// LRU cache of prompt blocks; holds their hashes only. Owned by an engine_model; not thread-safe.
class block_cache {
public:
    /// @param capacity  maximum size, tokens.
    explicit block_cache(std::uint32_t capacity) : capacity_{capacity} {}

    /// Returns the chained hashes of the full blocks of a prompt; a partial last block is left out.
    [[nodiscard]] static std::vector<std::uint64_t> blocks_of(std::string_view prompt);

    /// Returns the length of the longest cached prefix of a prompt, tokens, and marks its blocks as
    /// used.
    std::uint32_t match(std::string_view prompt);
    /// Adds the blocks of a prompt, evicting others if needed; returns all changes.
    std::vector<cache_change> insert(std::string_view prompt);
    /// Evicts least recently used blocks down to `max_tokens`; returns the evicted blocks.
    std::vector<cache_change> evict_to(std::uint32_t max_tokens);
    /// Current size, tokens.
    [[nodiscard]] std::uint32_t tokens() const;
    void clear();

private:
    /// Moves a block to the front of the usage order; adds it if it is new.
    void mark_used(std::uint64_t block);

    std::uint32_t capacity_ = 0;
    /// Most recently used first.
    std::list<std::uint64_t> usage_order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

} // namespace magnolia::fakes
