// Servers of the own region first, the better of two: the chosen way.
#pragma once

#include "qz_entries/choice/servercandidate.h"

#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace qz {

/// The better of two within the own region. Another region is chosen only if the answer from
/// the own one would miss its target and the answer from there would not and come much sooner,
/// since the link between regions is narrow and paid by volume; or if the own region has no
/// server.
/// @see ServerChooser
class LocalFirstChoice
{
public:
    std::string_view name() const { return "local-first"; }

    /// The index of the chosen candidate; nothing if none has a weight above 0.
    std::optional<std::size_t> choose(const std::vector<ServerCandidate> &candidates,
                                      const ServerRequest &request,
                                      std::mt19937_64 &generator) const;
};

} // namespace qz
