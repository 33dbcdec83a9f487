// Servers of the own region first.
#include "qz_entries/choice/localfirstchoice.h"

#include "qz_entries/choice/weighteddraw.h"

#include <algorithm>

namespace qz {

std::optional<std::size_t> LocalFirstChoice::choose(const std::vector<ServerCandidate> &candidates,
                                                    const ServerRequest &request,
                                                    std::mt19937_64 &generator) const
{
    CandidateIndexes usable = usableCandidates(candidates);
    const auto firstRemote =
            std::stable_partition(usable.begin(), usable.end(), [&](std::size_t index) {
                return candidates[index].location_.region_ == request.from_.region_;
            });
    const CandidateIndexes remote(firstRemote, usable.end());
    usable.erase(firstRemote, usable.end());

    const auto isInTarget = [&](std::size_t index) {
        return expectedAnswer(candidates[index], request) <= request.target_;
    };
    const auto local = betterOfTwo(candidates, request, usable, generator);
    if (local && isInTarget(*local)) {
        return local;
    }
    const auto other = betterOfTwo(candidates, request, remote, generator);
    if (!local || (other && isInTarget(*other))) {
        return other;
    }
    return local;
}

} // namespace qz
