#include "qz_health/detection/relativedetector.h"

#include <algorithm>

namespace qz {

namespace {

constexpr double doubtScore = 4;  ///< From here on weights fall and probes are sent.
constexpr double workScore = 4;   ///< Evidence of work that an ejection needs at least.
constexpr double ejectScore = 14; ///< Evidence of work and probes together for an ejection.
constexpr double unreachableScore = 12;
constexpr unsigned minSamples = 1;
constexpr Duration minTroubleSpan = std::chrono::milliseconds(1200);

/// How sure the evidence is: weightConfidence at doubtScore, ejectConfidence at @p ejectScore.
double confidenceOf(double score, double ejectScore)
{
    const double part = std::clamp((score - doubtScore) / (ejectScore - doubtScore), 0.0, 1.0);
    return Verdict::weightConfidence
            + part * (Verdict::ejectConfidence - Verdict::weightConfidence);
}

/// The score that @p score reads, or 0 if the median of the other servers is in doubt as well:
/// then the service is in trouble and not this server.
template<typename Score>
double relative(const EvidenceDigest &own, const std::vector<EvidenceDigest> &others, Score score)
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
    return *middle >= doubtScore ? 0 : score(own);
}

/// The highest confidence short of ejection, for trouble that is too young.
constexpr double shortOfEjection = 0.99;

Verdict verdictOf(Verdict::State state, double confidence, const EvidenceDigest &own)
{
    if (own.unhealthyTime() < minTroubleSpan) {
        confidence = std::min(confidence, shortOfEjection);
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
    const double slow = relative(own, others, [](const auto &d) { return d.slowScore_; });
    const double fail = relative(own, others, [](const auto &d) { return d.failScore_; });
    const double work = std::max(slow, fail);
    if (own.connectScore_ >= doubtScore) {
        return verdictOf(Unreachable{}, confidenceOf(own.connectScore_, unreachableScore), own);
    }
    if (work < doubtScore) {
        return own.total() < minSamples ? Verdict{ NoEvidence{}, 0 } : Verdict{ Healthy{}, 1 };
    }
    double confidence = confidenceOf(work + own.probeScore_, ejectScore);
    if (work < workScore) {
        confidence = std::min(confidence, shortOfEjection);
    }
    if (fail >= slow) {
        return verdictOf(Failing{ failureRate(own) }, confidence, own);
    }
    return verdictOf(Slow{ own.slowFactor_ }, confidence, own);
}

} // namespace qz
