// The detector SuccessRateDetector.
#pragma once

#include "qz_health/detection/verdict.h"
#include "qz_health/evidence/evidencedigest.h"

#include <vector>

namespace qz {

/// A server is failing if its success rate is well below the mean of its service. A baseline.
/// @see OutlierDetector
class SuccessRateDetector
{
public:
    Verdict evaluate(const EvidenceDigest &own, const std::vector<EvidenceDigest> &others) const;
};

} // namespace qz
