// Keyed digests, which only those who know the key can make.
#pragma once

#include <string>

namespace qz {

/// Returns the 32 bytes of the HMAC-SHA256 of @p text.
std::string hmacSha256(const std::string &key, const std::string &text);

/// Compares without telling by its time where the texts differ.
bool isEqualInConstantTime(const std::string &a, const std::string &b);

} // namespace qz
