#include "prefix_affinity.h"

#include "router.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace magnolia {
namespace {

/// Length of the shortest prefix that is tracked, bytes.
constexpr std::size_t first_block_bytes = 2048;

} // namespace

std::size_t prefix_bytes(std::size_t index) {
    // Two boundaries per octave: 1, 1.5, 2, 3, 4, 6, 8 ... times the first block.
    const auto base = first_block_bytes << (index / 2);
    return index % 2 == 0 ? base : base + base / 2;
}

std::vector<std::uint64_t> prefix_hashes(std::string_view prompt) {
    std::vector<std::uint64_t> hashes;
    XXH3_state_t* const stream = XXH3_createState();
    XXH3_64bits_reset(stream);
    std::size_t done = 0;
    for (std::size_t index = 0; prefix_bytes(index) <= prompt.size(); ++index) {
        const auto block = prompt.substr(done, prefix_bytes(index) - done);
        XXH3_64bits_update(stream, block.data(), block.size());
        hashes.push_back(XXH3_64bits_digest(stream));
        done = prefix_bytes(index);
    }
    XXH3_freeState(stream);
    return hashes;
}

std::uint64_t rendezvous_weight(std::uint64_t prefix, std::uint64_t engine) {
    std::uint64_t mixed = prefix ^ (engine * 0x9E3779B97F4A7C15ULL);
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31U);
}

prefix_table::prefix_table(std::size_t slots) : slots_(std::bit_ceil(slots)) {}

void prefix_table::put(std::span<const std::uint64_t> hashes, engine_handle engine) {
    for (const auto hash : hashes) {
        auto& entry = slots_[hash & (slots_.size() - 1)];
        if (entry.hash != hash) {
            entry = {.hash = hash, .value = {}};
        }
        auto& engines = entry.value.engines;
        auto position = std::ranges::find(engines, engine);
        if (position == engines.end()) {
            position = std::prev(engines.end());
            *position = engine;
        }
        std::rotate(engines.begin(), position, std::next(position));
    }
}

void prefix_table::remove(std::uint64_t hash, engine_handle engine) {
    auto& entry = slots_[hash & (slots_.size() - 1)];
    if (entry.hash == hash) {
        std::ranges::replace(entry.value.engines, engine, engine_handle{});
    }
}

prefix_table::holders prefix_table::find(std::uint64_t hash) const {
    const auto& entry = slots_[hash & (slots_.size() - 1)];
    return entry.hash == hash ? entry.value : holders{};
}

} // namespace magnolia
