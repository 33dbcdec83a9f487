// Outlier detection by success rate, for comparison.
#pragma once

#include "qz_health/detection/verdict.h"
#include "qz_health/evidence/evidencedigest.h"

#include <vector>

namespace qz {

/// Regards a server as failing if its success rate is more than a fixed number of standard
/// deviations below the mean of its service. Exists for comparison with RelativeDetector.
/// @see OutlierDetector
class SuccessRateDetector
{
public:
    Verdict evaluate(const EvidenceDigest &own, const std::vector<EvidenceDigest> &others) const;
};

} // namespace qz
