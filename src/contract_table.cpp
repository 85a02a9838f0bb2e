#include "contract_table.h"

#include <xxhash.h>

#include <algorithm>

namespace magnolia {
namespace {

constexpr unsigned bucket_shift = 56;

/// Bucket of a name: the highest eight bits of its hash.
std::size_t bucket_of(std::uint64_t name_hash) {
    return name_hash >> bucket_shift;
}

std::uint64_t version_hash(std::uint64_t name_hash, std::uint64_t version) {
    const std::array<std::uint64_t, 2> parts{name_hash, version};
    return XXH3_64bits(parts.data(), sizeof(parts));
}

} // namespace

std::uint64_t workspace_hash(std::string_view workspace) {
    return XXH3_64bits(workspace.data(), workspace.size());
}

bool contract_table::put(contract_version value) {
    const auto hash = workspace_hash(value.value.workspace);
    auto& current = contracts_[hash];
    if (current && current->version >= value.version) {
        return false;
    }
    if (current) {
        update_hashes(hash, current->version);
    } else {
        buckets_[bucket_of(hash)].push_back(hash);
        ++digest_.count;
    }
    update_hashes(hash, value.version);
    current = std::make_unique<contract_version>(std::move(value));
    return true;
}

void contract_table::update_hashes(std::uint64_t name_hash, std::uint64_t version) {
    const auto entry_hash = version_hash(name_hash, version);
    bucket_hashes_[bucket_of(name_hash)] ^= entry_hash;
    digest_.hash ^= entry_hash;
}

const contract_version* contract_table::find(std::string_view workspace) const {
    return find(workspace_hash(workspace));
}

const contract_version* contract_table::find(std::uint64_t name_hash) const {
    const auto found = contracts_.find(name_hash);
    return found == contracts_.end() ? nullptr : found->second.get();
}

version_list contract_table::list_differing(std::span<const std::uint64_t> hashes,
                                            std::size_t first, std::size_t max_contracts) const {
    version_list list;
    for (auto bucket = first; bucket < config_bucket_count; ++bucket) {
        const auto other = bucket < hashes.size() ? hashes[bucket] : 0;
        if (other == bucket_hashes_[bucket]) {
            continue;
        }
        if (!list.names.empty() && list.names.size() + buckets_[bucket].size() > max_contracts) {
            list.next_bucket = bucket;
            return list;
        }
        for (const auto name : buckets_[bucket]) {
            list.names.push_back(name);
            list.versions.push_back(contracts_.at(name)->version);
        }
    }
    return list;
}

std::vector<std::uint64_t>
contract_table::list_missing(std::span<const std::uint64_t> names,
                             std::span<const std::uint64_t> versions) const {
    std::vector<std::uint64_t> missing;
    for (std::size_t index = 0; index < std::min(names.size(), versions.size()); ++index) {
        const auto* current = find(names[index]);
        if (!current || current->version < versions[index]) {
            missing.push_back(names[index]);
        }
    }
    return missing;
}

} // namespace magnolia
