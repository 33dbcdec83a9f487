// Prefers servers of the entry's own region.
#include "qz_entries/choice/localfirstchoice.h"

#include "qz_entries/choice/weighteddraw.h"

#include <algorithm>

namespace qz {

namespace {

/// Factor by which an answer from another region must be faster. Prevents requests from moving back
/// and forth between regions that are about equally busy.
constexpr int minSpeedup = 2;

} // namespace

std::optional<std::size_t> LocalFirstChoice::choose(const std::vector<ServerCandidate> &candidates,
                                                    const ServerRequest &request,
                                                    std::mt19937_64 &generator) const
{
    CandidateIndexes usable = usableCandidates(candidates);
    const auto firstRemote =
            std::stable_partition(usable.begin(), usable.end(), [&](std::size_t index) {
                return candidates[index].location_.region_ == request.origin_.region_;
            });
    const CandidateIndexes remoteServers(firstRemote, usable.end());
    usable.erase(firstRemote, usable.end());

    const auto localServer = betterOfTwo(candidates, request, usable, generator);
    if (!localServer) {
        return betterOfTwo(candidates, request, remoteServers, generator);
    }
    const Duration localAnswer = expectedAnswer(candidates[*localServer], request);
    if (localAnswer <= request.target_) {
        return localServer;
    }
    const auto remoteServer = betterOfTwo(candidates, request, remoteServers, generator);
    if (!remoteServer) {
        return localServer;
    }
    const Duration remoteAnswer = expectedAnswer(candidates[*remoteServer], request);
    const bool isRemoteBetter =
            remoteAnswer <= request.target_ && minSpeedup * remoteAnswer <= localAnswer;
    return isRemoteBetter ? remoteServer : localServer;
}

} // namespace qz
