// How far predicted waits were off, as learned from the waits that followed.
#pragma once

#include "qz_core/time/clock.h"

namespace qz {

/// Corrects the predicted waits of one rank. A prediction knows the work that is queued, but
/// not the work that will come later and go first; how much that is shows in the waits of the
/// tickets that were started lately.
/// @see AdmissionQueue
class WaitCorrection
{
public:
    /// A ticket with the uncorrected wait @p predicted started after @p actual.
    void record(Duration predicted, Duration actual);

    /// @p predicted as corrected: at least itself, at most maxFactor times it.
    Duration corrected(Duration predicted) const;

private:
    static constexpr double maxFactor = 4.0;

    double meanPredicted_ = 0.0; ///< Nanoseconds, smoothed.
    double meanActual_ = 0.0;    ///< Nanoseconds, smoothed in the same way.
};

} // namespace qz
