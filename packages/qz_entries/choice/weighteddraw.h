// Weighted random selection of server candidates.
#pragma once

#include "qz_entries/choice/servercandidate.h"

#include <optional>
#include <random>
#include <vector>

namespace qz {

using CandidateIndexes = std::vector<std::size_t>;

/// Returns the indexes of all candidates with a weight above 0.
CandidateIndexes usableCandidates(const std::vector<ServerCandidate> &candidates);

/// Draws one of @p among at random, in proportion to weight, and removes it from @p among. Returns
/// no value if @p among is empty.
std::optional<std::size_t> drawByWeight(const std::vector<ServerCandidate> &candidates,
                                        CandidateIndexes &among, std::mt19937_64 &generator);

/// Draws two of @p among like drawByWeight() and returns the one with the earlier expected answer,
/// or no value if @p among is empty.
std::optional<std::size_t> betterOfTwo(const std::vector<ServerCandidate> &candidates,
                                       const ServerRequest &request, CandidateIndexes among,
                                       std::mt19937_64 &generator);

} // namespace qz
