/// Prefix cache of a model engine: blocks of a prompt under chained hashes, least recently used
/// out first.
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

/// A block that came or went.
struct cache_change {
    std::uint64_t block = 0;
    bool added = false;
};

class block_cache {
public:
    /// @param capacity  tokens that fit.
    explicit block_cache(std::uint32_t capacity) : capacity_{capacity} {}

    /// Chained hashes of the full blocks of a prompt.
    [[nodiscard]] static std::vector<std::uint64_t> blocks_of(std::string_view prompt);

    /// Tokens of the longest prefix that is held; marks its blocks as used.
    std::uint32_t match(std::string_view prompt);
    /// Holds the blocks of a prompt; returns what changed.
    std::vector<cache_change> insert(std::string_view prompt);
    /// Shrinks to at most `tokens`; returns what went.
    std::vector<cache_change> evict_to(std::uint32_t max_tokens);
    [[nodiscard]] std::uint32_t tokens() const;
    void clear();

private:
    void mark_used(std::uint64_t block);

    std::uint32_t capacity_ = 0;
    /// Most recently used first.
    std::list<std::uint64_t> usage_order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

} // namespace magnolia::fakes
