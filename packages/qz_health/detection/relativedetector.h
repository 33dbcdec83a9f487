// The detector RelativeDetector.
#pragma once

#include "qz_health/detection/verdict.h"
#include "qz_health/evidence/evidencedigest.h"

#include <vector>

namespace qz {

/// The chosen detector: weighs the digest's scores, probes as a bounded part of them, and asks
/// thatn/// trouble has lasted and that the service as a whole is not in the same trouble.
/// @see OutlierDetector
class RelativeDetector
{
public:
    Verdict evaluate(const EvidenceDigest &own, const std::vector<EvidenceDigest> &others) const;
};

} // namespace qz
