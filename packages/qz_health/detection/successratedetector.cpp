#include "qz_health/detection/successratedetector.h"

#include <cmath>

namespace qz {

namespace {

constexpr unsigned minRequests = 10;    ///< In the sliding window, for a server to be evaluated.
constexpr std::size_t minServers = 3;   ///< With at least minRequests each.
constexpr double deviationFactor = 1.9; ///< In standard deviations below the mean.

double successRate(const EvidenceDigest &digest)
{
    return 1.0 - static_cast<double>(digest.errors()) / digest.total();
}

} // namespace

Verdict SuccessRateDetector::evaluate(const EvidenceDigest &own,
                                      const std::vector<EvidenceDigest> &others) const
{
    if (own.total() < minRequests) {
        return Verdict{ NoEvidence{}, 0 };
    }
    std::vector<double> rates{ successRate(own) };
    for (const EvidenceDigest &other : others) {
        if (other.total() >= minRequests) {
            rates.push_back(successRate(other));
        }
    }
    if (rates.size() < minServers) {
        return Verdict{ NoEvidence{}, 0 };
    }
    double mean = 0;
    double meanSquare = 0;
    for (const double rate : rates) {
        mean += rate / static_cast<double>(rates.size());
        meanSquare += rate * rate / static_cast<double>(rates.size());
    }
    const double deviation = std::sqrt(std::max(0.0, meanSquare - mean * mean));
    if (rates.front() < mean - deviationFactor * deviation) {
        return Verdict{ Failing{ 1 - rates.front() }, 1 };
    }
    return Verdict{ Healthy{}, 1 };
}

} // namespace qz
