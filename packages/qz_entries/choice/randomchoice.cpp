// Implements the weighted random choice.
#include "qz_entries/choice/randomchoice.h"

#include "qz_entries/choice/weighteddraw.h"

namespace qz {

std::optional<std::size_t> RandomChoice::choose(const std::vector<ServerCandidate> &candidates,
                                                const ServerRequest & /*request*/,
                                                std::mt19937_64 &generator) const
{
    CandidateIndexes usable = usableCandidates(candidates);
    return drawByWeight(candidates, usable, generator);
}

} // namespace qz
