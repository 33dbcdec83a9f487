// Outlier detection by consecutive errors, for comparison.
#pragma once

#include "qz_health/detection/verdict.h"
#include "qz_health/evidence/evidencedigest.h"

#include <vector>

namespace qz {

/// Regards a server as failing after a number of consecutive errors, regardless of the other
/// servers. Exists for comparison with RelativeDetector.
/// @see OutlierDetector
class ConsecutiveErrorsDetector
{
public:
    Verdict evaluate(const EvidenceDigest &own, const std::vector<EvidenceDigest> &others) const;
};

} // namespace qz
