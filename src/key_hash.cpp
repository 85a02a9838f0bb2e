#include "key_hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>
#include <span>

namespace magnolia {

std::string key_hash(std::string_view key) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    EVP_Digest(key.data(), key.size(), digest.data(), &length, EVP_sha256(), nullptr);
    std::string text;
    for (const auto byte : std::span{digest}.first(length)) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

bool is_same_hash(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace magnolia
