/// Hashing of API keys. Only hashes of the keys of workspaces and operators are stored.
#pragma once

#include <string>
#include <string_view>

namespace magnolia {

/// Returns the SHA-256 of a key as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string key_hash(std::string_view key);

/// Compares two hashes in a time that does not reveal where they differ.
[[nodiscard]] bool is_same_hash(std::string_view left, std::string_view right);

} // namespace magnolia
