/// Contracts in force at this entry. Versions only rise; retired contracts stay as tombstones.
#pragma once

#include <magnolia/schema.h>

#include <boost/unordered/unordered_flat_map.hpp>

#include <array>
#include <memory>
#include <span>

namespace magnolia {

/// Number of buckets by which two tables are compared.
inline constexpr std::size_t config_bucket_count = 256;

/// Hash of a workspace's name, by which tables name contracts to each other.
[[nodiscard]] std::uint64_t workspace_hash(std::string_view workspace);

/// Versions of a table's buckets that differ from another's.
struct version_list {
    std::vector<std::uint64_t> names;
    std::vector<std::uint64_t> versions;
    /// First bucket that was not compared.
    std::size_t next_bucket = config_bucket_count;
};

class contract_table {
public:
    /// Takes a contract if its version is newer than the known one; returns whether it was.
    bool put(contract_version value);

    /// The contract in force, or null.
    [[nodiscard]] const contract_version* find(std::string_view workspace) const;
    [[nodiscard]] const contract_version* find(std::uint64_t name_hash) const;
    [[nodiscard]] std::size_t size() const { return contracts_.size(); }
    [[nodiscard]] const config_digest& digest() const { return digest_; }
    [[nodiscard]] std::span<const std::uint64_t> bucket_hashes() const { return bucket_hashes_; }

    /// Versions in the buckets from `first` on whose hash differs from the given one, of at most
    /// `most` contracts, but of one bucket at least. Missing hashes count as those of empty
    /// buckets.
    [[nodiscard]] version_list list_differing(std::span<const std::uint64_t> hashes,
                                              std::size_t first, std::size_t max_contracts) const;
    /// Names whose listed version is newer than the one here.
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
    void update_hashes(std::uint64_t name_hash, std::uint64_t version);

    boost::unordered_flat_map<std::uint64_t, std::unique_ptr<contract_version>> contracts_;
    std::array<std::vector<std::uint64_t>, config_bucket_count> buckets_;
    std::array<std::uint64_t, config_bucket_count> bucket_hashes_{};
    config_digest digest_;
};

} // namespace magnolia
