// The detector ConsecutiveErrorsDetector.
#pragma once

#include "qz_health/detection/verdict.h"
#include "qz_health/evidence/evidencedigest.h"

#include <vector>

namespace qz {

/// A server is failing after a number of errors in a row, whatever the others do. A baseline.
/// @see OutlierDetector
class ConsecutiveErrorsDetector
{
public:
    Verdict evaluate(const EvidenceDigest &own, const std::vector<EvidenceDigest> &others) const;
};

} // namespace qz
