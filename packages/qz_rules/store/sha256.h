// Content hashes by libcrypto.
#pragma once

#include <string>
#include <string_view>

namespace qz {

/// The SHA-256 of @p content as 64 lower-case hexadecimal digits.
std::string sha256(std::string_view content);

} // namespace qz
