// A choice at random, by weight: a baseline.
#pragma once

#include "qz_entries/choice/servercandidate.h"

#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace qz {

/// Any candidate, in proportion to its weight.
/// @see ServerChooser
class RandomChoice
{
public:
    std::string_view name() const { return "random"; }

    /// The index of the chosen candidate; nothing if none has a weight above 0.
    std::optional<std::size_t> choose(const std::vector<ServerCandidate> &candidates,
                                      const ServerRequest &request,
                                      std::mt19937_64 &generator) const;
};

} // namespace qz
