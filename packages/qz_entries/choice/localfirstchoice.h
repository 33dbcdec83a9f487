// Server choice that prefers the entry's own region. The default policy.
#pragma once

#include "qz_entries/choice/servercandidate.h"

#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace qz {

/// Chooses the better of two servers in the entry's own region. Chooses a server in another region
/// only if there is none in its own, or if the local answer would miss its target and the remote
/// answer would meet it and arrive much earlier. The reason is that the link between regions has
/// little bandwidth and is paid by volume.
/// @see ServerChooser
class LocalFirstChoice
{
public:
    std::string_view name() const { return "local-first"; }

    /// Returns the index of the chosen candidate, or no value if none has a weight above 0.
    std::optional<std::size_t> choose(const std::vector<ServerCandidate> &candidates,
                                      const ServerRequest &request,
                                      std::mt19937_64 &generator) const;
};

} // namespace qz
