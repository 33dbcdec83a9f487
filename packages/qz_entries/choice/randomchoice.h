// Weighted random server choice. A baseline for comparison.
#pragma once

#include "qz_entries/choice/servercandidate.h"

#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace qz {

/// Chooses a candidate at random, in proportion to its weight.
/// @see ServerChooser
class RandomChoice
{
public:
    std::string_view name() const { return "random"; }

    /// Returns the index of the chosen candidate, or no value if none has a weight above 0.
    std::optional<std::size_t> choose(const std::vector<ServerCandidate> &candidates,
                                      const ServerRequest &request,
                                      std::mt19937_64 &generator) const;
};

} // namespace qz
