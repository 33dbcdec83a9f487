// HMAC-SHA256 of libcrypto.
#include "qz_core/hashing/hmac.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cstdlib>

namespace qz {

std::string hmacSha256(const std::string &key, const std::string &text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    const auto *bytes = reinterpret_cast<const unsigned char *>(text.data());
    const unsigned char *result = HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
                                       bytes, text.size(), digest.data(), &length);
    if (result == nullptr) {
        std::abort(); // Without a digest no peer can be told from a stranger.
    }
    return std::string(reinterpret_cast<const char *>(digest.data()), length);
}

bool isEqualInConstantTime(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace qz
