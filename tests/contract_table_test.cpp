#include "contract_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <ranges>

namespace magnolia {
namespace {

/// A contract of the workspace at the version.
contract_version version_of(const std::string& workspace, std::uint64_t version) {
    contract_version value{version, {}};
    value.value.workspace = workspace;
    return value;
}

/// Entries receive contracts in different orders; all have to reach the same table and digest.
RC_GTEST_PROP(contract_table, puts_in_any_order_keep_the_highest_versions_and_one_digest,
              (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& puts)) {
    contract_table forward;
    contract_table backward;
    std::map<std::string, std::uint64_t> highest;
    for (const auto& [name, version] : puts) {
        const auto workspace = "w" + std::to_string(name % 16);
        const std::uint64_t number = version + 1U;
        RC_ASSERT(forward.put(version_of(workspace, number)) == (highest[workspace] < number));
        highest[workspace] = std::max(highest[workspace], number);
    }
    for (const auto& [name, version] : puts | std::views::reverse) {
        backward.put(version_of("w" + std::to_string(name % 16), version + 1U));
    }
    for (const auto& [workspace, version] : highest) {
        RC_ASSERT(forward.find(workspace)->version == version);
    }
    RC_ASSERT(forward.digest() == backward.digest());
    RC_ASSERT(forward.size() == highest.size());
}

/// A repair in steps of at most four contracts has to find every missing or older version.
RC_GTEST_PROP(contract_table, repair_by_differing_buckets_finds_all_missing_versions,
              (const std::map<std::uint16_t, std::uint8_t>& there,
               const std::map<std::uint16_t, std::uint8_t>& here)) {
    contract_table other;
    contract_table own;
    for (const auto& [name, version] : there) {
        other.put(version_of("w" + std::to_string(name), version + 1U));
    }
    for (const auto& [name, version] : here) {
        own.put(version_of("w" + std::to_string(name), version + 1U));
    }
    for (std::size_t first = 0; first < config_bucket_count;) {
        const auto list = other.list_differing(own.bucket_hashes(), first, 4);
        for (const auto name : own.list_missing(list.names, list.versions)) {
            own.put(*other.find(name));
        }
        first = list.next_bucket;
    }
    const auto all = other.list_differing(own.bucket_hashes(), 0, SIZE_MAX);
    RC_ASSERT(own.list_missing(all.names, all.versions).empty());
}

} // namespace
} // namespace magnolia
