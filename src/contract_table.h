/// Table of the contracts in force at an entry. Versions only increase; retired contracts remain as
/// tombstones.
#pragma once

#include <magnolia/schema.h>

#include <boost/unordered/unordered_flat_map.hpp>

#include <array>
#include <memory>
#include <span>

namespace magnolia {

/// Number of buckets into which names are hashed; two tables are compared bucket by bucket.
inline constexpr std::size_t config_bucket_count = 256;

/// Hash of a workspace name; identifies the contract in messages between tables.
[[nodiscard]] std::uint64_t workspace_hash(std::string_view workspace);

/// Names and versions in the buckets of a table that differ from those of another.
struct version_list {
    /// Workspace hashes, with the versions at the same index.
    std::vector<std::uint64_t> names;
    std::vector<std::uint64_t> versions;
    /// First bucket not compared.
    std::size_t next_bucket = config_bucket_count;
};

/// Contracts by the hash of their workspace, with a digest of all versions and hashes of buckets
/// for anti-entropy repair. Owned by contract_relay; not thread-safe.
class contract_table {
public:
    /// Stores a contract if its version is newer than the current one; returns whether it was.
    bool put(contract_version value);

    /// Returns the contract in force; null if there is none.
    [[nodiscard]] const contract_version* find(std::string_view workspace) const;
    [[nodiscard]] const contract_version* find(std::uint64_t name_hash) const;
    [[nodiscard]] std::size_t size() const { return contracts_.size(); }
    [[nodiscard]] const config_digest& digest() const { return digest_; }
    [[nodiscard]] std::span<const std::uint64_t> bucket_hashes() const { return bucket_hashes_; }

    /// Compares the buckets from `first` on with the given hashes, and lists the names and versions
    /// in those that differ: at most `max_contracts`, but at least one bucket. Missing hashes count
    /// as those of empty buckets.
    [[nodiscard]] version_list list_differing(std::span<const std::uint64_t> hashes,
                                              std::size_t first, std::size_t max_contracts) const;
    /// Returns the names whose listed version is newer than the one in this table.
    [[nodiscard]] std::vector<std::uint64_t>
    list_missing(std::span<const std::uint64_t> names,
                 std::span<const std::uint64_t> versions) const;

    /// Calls `visit` with every contract.
    template <class Visitor>
    void for_each(Visitor visit) const {
        for (const auto& [hash, value] : contracts_) {
            visit(*value);
        }
    }

private:
    /// Adds a version to the hashes, or removes it if it was added before.
    void update_hashes(std::uint64_t name_hash, std::uint64_t version);

    boost::unordered_flat_map<std::uint64_t, std::unique_ptr<contract_version>> contracts_;
    std::array<std::vector<std::uint64_t>, config_bucket_count> buckets_;
    std::array<std::uint64_t, config_bucket_count> bucket_hashes_{};
    config_digest digest_;
};

} // namespace magnolia
