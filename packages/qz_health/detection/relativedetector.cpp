#include "qz_health/detection/relativedetector.h"

#include <algorithm>

namespace qz {

namespace {

constexpr double suspectScore = 4;      ///< From here on the weight is reduced and probes are sent.
constexpr double minRequestScore = 4;   ///< Minimum score of requests for an ejection.
constexpr double ejectScore = 14;       ///< Score of requests and probes together for an ejection.
constexpr double unreachableScore = 12; ///< Connect score for an ejection.
constexpr unsigned minSamples = 1;
constexpr Duration minUnhealthyTime = std::chrono::milliseconds(1200);

/// Returns the confidence of @p score: weightConfidence up to suspectScore, then linear up to
/// ejectConfidence at @p ejectScore.
double confidenceOf(double score, double ejectScore)
{
    const double part = std::clamp((score - suspectScore) / (ejectScore - suspectScore), 0.0, 1.0);
    return Verdict::weightConfidence
            + part * (Verdict::ejectConfidence - Verdict::weightConfidence);
}

/// Returns the score that @p score reads from @p own, or 0 if the median of the other servers
/// reaches suspectScore as well: then the fault affects the whole service and not this server.
template<typename Score>
double relativeScore(const EvidenceDigest &own, const std::vector<EvidenceDigest> &others,
                     Score score)
{
    std::vector<double> scores;
    scores.reserve(others.size());
    for (const EvidenceDigest &other : others) {
        scores.push_back(score(other));
    }
    if (scores.empty()) {
        return score(own);
    }
    const auto middle = scores.begin() + static_cast<std::ptrdiff_t>(scores.size() / 2);
    std::nth_element(scores.begin(), middle, scores.end());
    return *middle >= suspectScore ? 0 : score(own);
}

/// Highest confidence of a server that must not be ejected yet.
constexpr double maxConfidenceBelowEjection = 0.99;

Verdict verdictOf(Verdict::State state, double confidence, const EvidenceDigest &own)
{
    if (own.unhealthyTime() < minUnhealthyTime) {
        confidence = std::min(confidence, maxConfidenceBelowEjection);
    }
    return Verdict{ state, confidence };
}

double failureRate(const EvidenceDigest &digest)
{
    const unsigned answered = 0U + digest.succeeded_ + digest.failed_ + digest.cut_;
    return answered == 0 ? 0 : static_cast<double>(digest.failed_ + digest.cut_) / answered;
}

} // namespace

Verdict RelativeDetector::evaluate(const EvidenceDigest &own,
                                   const std::vector<EvidenceDigest> &others) const
{
    const double slow = relativeScore(own, others, [](const auto &d) { return d.slowScore_; });
    const double fail = relativeScore(own, others, [](const auto &d) { return d.failScore_; });
    const double requestScore = std::max(slow, fail);
    if (own.connectScore_ >= suspectScore) {
        return verdictOf(Unreachable{}, confidenceOf(own.connectScore_, unreachableScore), own);
    }
    if (requestScore < suspectScore) {
        return own.total() < minSamples ? Verdict{ NoEvidence{}, 0 } : Verdict{ Healthy{}, 1 };
    }
    double confidence = confidenceOf(requestScore + own.probeScore_, ejectScore);
    if (requestScore < minRequestScore) {
        confidence = std::min(confidence, maxConfidenceBelowEjection);
    }
    if (fail >= slow) {
        return verdictOf(Failing{ failureRate(own) }, confidence, own);
    }
    return verdictOf(Slow{ own.slowFactor_ }, confidence, own);
}

} // namespace qz
