// Implements weighted random selection and the expected times that it compares.
#include "qz_entries/choice/weighteddraw.h"

#include <algorithm>
#include <cmath>

namespace qz {

namespace {

/// Age at which the wait in a digest counts half. The length of a queue under load changes slowly,
/// but a server without new digests must become eligible again.
constexpr std::chrono::duration<double> digestHalfLife = std::chrono::seconds(1);

} // namespace

Duration expectedWait(const ServerCandidate &candidate, std::size_t rank)
{
    if (!candidate.digest_ || candidate.digest_->waitByRank_.empty()) {
        return Duration{};
    }
    const QueueDigest &digest = *candidate.digest_;
    const std::size_t knownRank = std::min(rank, digest.waitByRank_.size() - 1);
    const std::chrono::duration<double> age = digest.age_;
    const double decay = std::exp2(-age / digestHalfLife);
    const auto wait = static_cast<double>(digest.waitByRank_[knownRank].count());
    return Duration(static_cast<Duration::rep>(wait * decay));
}

Duration expectedAnswer(const ServerCandidate &candidate, const ServerRequest &request)
{
    return expectedWait(candidate, request.rank_) + request.expectedServiceTime_
            + candidate.roundTrip_;
}

CandidateIndexes usableCandidates(const std::vector<ServerCandidate> &candidates)
{
    CandidateIndexes usable;
    usable.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].weight_ > 0.0) {
            usable.push_back(i);
        }
    }
    return usable;
}

std::optional<std::size_t> drawByWeight(const std::vector<ServerCandidate> &candidates,
                                        CandidateIndexes &among, std::mt19937_64 &generator)
{
    if (among.empty()) {
        return std::nullopt;
    }
    double total = 0.0;
    for (const std::size_t index : among) {
        total += candidates[index].weight_;
    }
    double remaining = std::uniform_real_distribution<double>(0.0, total)(generator);
    std::size_t drawn = 0;
    while (drawn + 1 < among.size() && remaining >= candidates[among[drawn]].weight_) {
        remaining -= candidates[among[drawn]].weight_;
        ++drawn;
    }
    const std::size_t index = among[drawn];
    among.erase(among.begin() + static_cast<std::ptrdiff_t>(drawn));
    return index;
}

std::optional<std::size_t> betterOfTwo(const std::vector<ServerCandidate> &candidates,
                                       const ServerRequest &request, CandidateIndexes among,
                                       std::mt19937_64 &generator)
{
    const auto first = drawByWeight(candidates, among, generator);
    const auto second = drawByWeight(candidates, among, generator);
    if (!second) {
        return first;
    }
    const Duration firstAnswer = expectedAnswer(candidates[*first], request);
    const Duration secondAnswer = expectedAnswer(candidates[*second], request);
    return secondAnswer < firstAnswer ? second : first;
}

} // namespace qz
