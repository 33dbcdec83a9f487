// Power-of-two server choice. A baseline for comparison.
#pragma once

#include "qz_entries/choice/servercandidate.h"

#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace qz {

/// Draws two candidates at random, in proportion to their weights, and chooses the one with the
/// earlier expected answer. Two draws are enough to balance the queues. A choice of the best of all
/// candidates would send the requests of every entry to the same server until the next digest.
/// @see ServerChooser
class PowerOfTwoChoice
{
public:
    std::string_view name() const { return "power-of-two"; }

    /// Returns the index of the chosen candidate, or no value if none has a weight above 0.
    std::optional<std::size_t> choose(const std::vector<ServerCandidate> &candidates,
                                      const ServerRequest &request,
                                      std::mt19937_64 &generator) const;
};

} // namespace qz
