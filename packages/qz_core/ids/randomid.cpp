// Random identifiers.
#include "qz_core/ids/randomid.h"

#include <openssl/rand.h>

#include <array>
#include <cstdlib>

namespace qz {

std::string makeRandomId()
{
    constexpr std::size_t idBytes = 16;
    constexpr char digits[] = "0123456789abcdef";
    std::array<unsigned char, idBytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        std::abort(); // An id that may repeat would break at-most-once.
    }
    std::string text;
    text.reserve(2 * idBytes);
    for (const unsigned char byte : bytes) {
        text.push_back(digits[byte >> 4]);
        text.push_back(digits[byte & 0x0f]);
    }
    return text;
}

} // namespace qz
