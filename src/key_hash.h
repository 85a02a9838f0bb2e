/// Keys of workspaces and operators as they are kept: hashed.
#pragma once

#include <string>
#include <string_view>

namespace magnolia {

/// SHA-256 of a key, 64 lower-case hexadecimal digits.
[[nodiscard]] std::string key_hash(std::string_view key);

/// Compares two hashes in a time that does not depend on where they differ.
[[nodiscard]] bool is_same_hash(std::string_view left, std::string_view right);

} // namespace magnolia
