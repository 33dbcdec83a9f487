// Corrects predicted queue waits by the waits that were observed.
#pragma once

#include "qz_core/time/clock.h"

namespace qz {

/// Corrects the predicted waits of one rank. A prediction covers the work that is queued now, but
/// not the more urgent work that arrives later and overtakes it. The ratio of recent actual waits
/// to their predictions accounts for that work.
/// @see AdmissionQueue
class WaitCorrection
{
public:
    /// Records that a request with the uncorrected prediction @p predicted waited for @p actual.
    void record(Duration predicted, Duration actual);

    /// Returns @p predicted multiplied by a correction factor from 1 to maxFactor.
    Duration corrected(Duration predicted) const;

private:
    static constexpr double maxFactor = 4.0;

    double meanPredicted_ = 0.0; ///< Nanoseconds, exponentially smoothed.
    double meanActual_ = 0.0;    ///< Nanoseconds, smoothed with the same gain.
};

} // namespace qz
