// Rendezvous hashing on xxhash.
#include "qz_core/hashing/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace qz {

std::uint64_t rendezvousWeight(std::string_view key, std::string_view member)
{
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}

std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> members)
{
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(members.size());
    for (std::string &member : members) {
        const std::uint64_t weight = rendezvousWeight(key, member);
        weighted.emplace_back(weight, std::move(member));
    }
    std::sort(weighted.begin(), weighted.end(), [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    members.clear();
    for (auto &entry : weighted) {
        members.push_back(std::move(entry.second));
    }
    return members;
}

} // namespace qz
