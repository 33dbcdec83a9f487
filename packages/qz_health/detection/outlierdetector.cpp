#include "qz_health/detection/outlierdetector.h"

namespace qz {

OutlierDetector::OutlierDetector(Policy policy)
    : policy_(policy)
{
}

Verdict OutlierDetector::evaluate(const EvidenceDigest &own,
                                  const std::vector<EvidenceDigest> &others) const
{
    return std::visit([&](const auto &policy) { return policy.evaluate(own, others); }, policy_);
}

} // namespace qz
