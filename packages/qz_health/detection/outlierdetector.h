// Outlier detection: compares a backend server with the other servers of its service.
#pragma once

#include "qz_health/detection/consecutiveerrorsdetector.h"
#include "qz_health/detection/relativedetector.h"
#include "qz_health/detection/successratedetector.h"

#include <variant>
#include <vector>

namespace qz {

/// Detects outliers by one of several policies. The default is RelativeDetector; the other policies
/// exist for comparison.
/// @see Verdict, WeightController, EjectionDecider
class OutlierDetector
{
public:
    using Policy = std::variant<RelativeDetector, ConsecutiveErrorsDetector, SuccessRateDetector>;

    OutlierDetector() = default;
    explicit OutlierDetector(Policy policy);

    /// Returns the verdict for the server that @p own describes. @p others are the digests of the
    /// other servers of the service.
    Verdict evaluate(const EvidenceDigest &own, const std::vector<EvidenceDigest> &others) const;

private:
    Policy policy_;
};

} // namespace qz
