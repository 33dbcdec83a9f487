// Rendezvous hashing: every process that sees the same members puts them in the same order
// for a key, and a member that comes or goes moves only its own keys.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace qz {

/// The weight of @p member for @p key; the member with the highest weight comes first.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view member);

/// Orders @p members for @p key, first choice first. Ties go by name.
std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> members);

} // namespace qz
