#include <arbutuscrank/config/codec.hpp>

#include <openssl/sha.h>

#include <array>

namespace arbutuscrank {

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const auto byte : digest) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 0xfU];
    }
    return hex;
}

} // namespace arbutuscrank
