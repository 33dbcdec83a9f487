// Outlier detection by success rate, for comparison.
#pragma once

#include "qz_health/detection/verdict.h"
#include "qz_health/evidence/evidencedigest.h"

#include <vector>

namespace qz {

/// Regards a server as failing if its success rate is below the mean of its service by a number of
/// standard deviations. Used to compare RelativeDetector with.
/// @see OutlierDetector
class SuccessRateDetector
{
public:
    Verdict evaluate(const EvidenceDigest &own, const std::vector<EvidenceDigest> &others) const;
};

} // namespace qz
