// Outlier detection by likelihood scores; the default policy.
#pragma once

#include "qz_health/detection/verdict.h"
#include "qz_health/evidence/evidencedigest.h"

#include <vector>

namespace qz {

/// Detects an outlier by the scores of its digest. The score of probes has bounded influence. A
/// server can be ejected only after it has been unhealthy for a minimum time. A score of requests
/// is ignored if the median of the other servers' scores is high as well.
/// @see OutlierDetector
class RelativeDetector
{
public:
    Verdict evaluate(const EvidenceDigest &own, const std::vector<EvidenceDigest> &others) const;
};

} // namespace qz
