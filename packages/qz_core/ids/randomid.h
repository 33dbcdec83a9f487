// Random identifiers from the operating system's generator, by libcrypto.
#pragma once

#include <string>

namespace qz {

/// 128 random bits as 32 lower-case hexadecimal digits: for request ids, attempt tokens
/// and incarnations.
std::string makeRandomId();

} // namespace qz
