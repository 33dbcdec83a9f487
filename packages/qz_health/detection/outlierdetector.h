// Outlier detection: one server against the other servers of its service.
#pragma once

#include "qz_health/detection/consecutiveerrorsdetector.h"
#include "qz_health/detection/relativedetector.h"
#include "qz_health/detection/successratedetector.h"

#include <variant>
#include <vector>

namespace qz {

/// The detector in use, one of the alternatives; RelativeDetector is the chosen one, the
/// others are baselines.
/// @see Verdict, WeightController, EjectionDecider
class OutlierDetector
{
public:
    using Policy = std::variant<RelativeDetector, ConsecutiveErrorsDetector, SuccessRateDetector>;

    OutlierDetector() = default;
    explicit OutlierDetector(Policy policy);

    /// Judges the server behind @p own; @p others are the digests of the service's other
    /// servers.
    Verdict evaluate(const EvidenceDigest &own, const std::vector<EvidenceDigest> &others) const;

private:
    Policy policy_;
};

} // namespace qz
