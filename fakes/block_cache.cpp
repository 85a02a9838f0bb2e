#include "block_cache.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace magnolia::fakes {

std::vector<std::uint64_t> block_cache::blocks_of(std::string_view prompt) {
    std::vector<std::uint64_t> blocks;
    blocks.reserve(prompt.size() / cache_block_bytes);
    std::uint64_t chain = 0;
    for (; prompt.size() >= cache_block_bytes; prompt.remove_prefix(cache_block_bytes)) {
        chain = XXH64(prompt.data(), cache_block_bytes, chain);
        blocks.push_back(chain);
    }
    return blocks;
}

std::uint32_t block_cache::match(std::string_view prompt) {
    const auto blocks = blocks_of(prompt);
    const auto end = std::ranges::find_if(
        blocks, [this](std::uint64_t block) { return !positions_.contains(block); });
    // In reverse order: the first block becomes the most recently used, so that a prefix is evicted
    // after the blocks that follow it.
    std::for_each(std::make_reverse_iterator(end), blocks.rend(),
                  [this](std::uint64_t block) { mark_used(block); });
    return static_cast<std::uint32_t>(end - blocks.begin()) * cache_block_tokens;
}

std::vector<cache_change> block_cache::insert(std::string_view prompt) {
    auto blocks = blocks_of(prompt);
    blocks.resize(std::min<std::size_t>(blocks.size(), capacity_ / cache_block_tokens));
    std::vector<cache_change> changes;
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        if (!positions_.contains(*block)) {
            changes.push_back({*block, true});
        }
        mark_used(*block);
    }
    std::ranges::reverse(changes);
    std::ranges::copy(evict_to(capacity_), std::back_inserter(changes));
    return changes;
}

std::vector<cache_change> block_cache::evict_to(std::uint32_t max_tokens) {
    std::vector<cache_change> changes;
    while (this->tokens() > max_tokens) {
        changes.push_back({usage_order_.back(), false});
        positions_.erase(usage_order_.back());
        usage_order_.pop_back();
    }
    return changes;
}

std::uint32_t block_cache::tokens() const {
    return static_cast<std::uint32_t>(usage_order_.size()) * cache_block_tokens;
}

void block_cache::clear() {
    usage_order_.clear();
    positions_.clear();
}

void block_cache::mark_used(std::uint64_t block) {
    if (const auto position = positions_.find(block); position != positions_.end()) {
        usage_order_.splice(usage_order_.begin(), usage_order_, position->second);
        return;
    }
    usage_order_.push_front(block);
    positions_[block] = usage_order_.begin();
}

} // namespace magnolia::fakes
