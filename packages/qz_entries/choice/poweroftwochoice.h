// The better of two candidates drawn by weight: a baseline.
#pragma once

#include "qz_entries/choice/servercandidate.h"

#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace qz {

/// Draws two candidates in proportion to their weights and takes the one with the earlier
/// expected answer. Two draws are enough to level queues, and unlike a choice of the best of
/// all they don't send every entry to the same server between two digests.
/// @see ServerChooser
class PowerOfTwoChoice
{
public:
    std::string_view name() const { return "power-of-two"; }

    /// The index of the chosen candidate; nothing if none has a weight above 0.
    std::optional<std::size_t> choose(const std::vector<ServerCandidate> &candidates,
                                      const ServerRequest &request,
                                      std::mt19937_64 &generator) const;
};

} // namespace qz
