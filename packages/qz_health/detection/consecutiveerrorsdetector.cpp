#include "qz_health/detection/consecutiveerrorsdetector.h"

#include <algorithm>

namespace qz {

Verdict ConsecutiveErrorsDetector::evaluate(const EvidenceDigest &own,
                                            const std::vector<EvidenceDigest> & /*others*/) const
{
    constexpr double errorsToEject = 5;
    if (own.total() == 0) {
        return Verdict{ NoEvidence{}, 0 };
    }
    if (own.consecutiveErrors_ == 0) {
        return Verdict{ Healthy{}, 1 };
    }
    const double confidence = std::min(1.0, own.consecutiveErrors_ / errorsToEject);
    return Verdict{ Failing{ 1 }, confidence };
}

} // namespace qz
