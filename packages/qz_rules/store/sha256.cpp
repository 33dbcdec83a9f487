// SHA-256 by libcrypto.
#include "qz_rules/store/sha256.h"

#include <openssl/evp.h>

#include <array>
#include <cstdlib>

namespace qz {

std::string sha256(std::string_view content)
{
    constexpr char digits[] = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    if (EVP_Digest(content.data(), content.size(), digest.data(), &size, EVP_sha256(), nullptr)
        != 1) {
        std::abort(); // A wrong content hash would let two documents pass for one.
    }
    std::string text;
    text.reserve(std::size_t{ 2 } * size);
    for (unsigned int i = 0; i < size; ++i) {
        text.push_back(digits[digest[i] >> 4]);
        text.push_back(digits[digest[i] & 0x0f]);
    }
    return text;
}

} // namespace qz
