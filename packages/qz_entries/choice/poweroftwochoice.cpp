// Implements the power-of-two choice.
#include "qz_entries/choice/poweroftwochoice.h"

#include "qz_entries/choice/weighteddraw.h"

namespace qz {

std::optional<std::size_t> PowerOfTwoChoice::choose(const std::vector<ServerCandidate> &candidates,
                                                    const ServerRequest &request,
                                                    std::mt19937_64 &generator) const
{
    return betterOfTwo(candidates, request, usableCandidates(candidates), generator);
}

} // namespace qz
