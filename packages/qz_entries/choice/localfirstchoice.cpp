// Servers of the own region first.
#include "qz_entries/choice/localfirstchoice.h"

#include "qz_entries/choice/weighteddraw.h"

#include <algorithm>

namespace qz {

namespace {

/// How many times sooner an answer from another region must be, so that work doesn't go to and
/// fro while both regions are about as busy.
constexpr int minGain = 2;

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
    const CandidateIndexes remote(firstRemote, usable.end());
    usable.erase(firstRemote, usable.end());

    const auto local = betterOfTwo(candidates, request, usable, generator);
    if (!local) {
        return betterOfTwo(candidates, request, remote, generator);
    }
    const Duration localAnswer = expectedAnswer(candidates[*local], request);
    if (localAnswer <= request.target_) {
        return local;
    }
    const auto other = betterOfTwo(candidates, request, remote, generator);
    if (!other) {
        return local;
    }
    const Duration otherAnswer = expectedAnswer(candidates[*other], request);
    const bool isWorthTheLink =
            otherAnswer <= request.target_ && minGain * otherAnswer <= localAnswer;
    return isWorthTheLink ? other : local;
}

} // namespace qz
