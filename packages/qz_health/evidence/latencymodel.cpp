#include "qz_health/evidence/latencymodel.h"

#include <algorithm>
#include <cmath>

namespace qz {

namespace {

// Bounds of the ratio of one request, in nats.
constexpr double minCompletedLogRatio = -1.5;
constexpr double maxCompletedLogRatio = 3.0;
constexpr double maxPendingLogRatio = 6.0;
constexpr double minSeconds = 1e-4;

/// Returns the probability that a standard normal variable exceeds @p z; at least smallestTail, so
/// that its logarithm is finite.
double upperTail(double z)
{
    constexpr double smallestTail = 1e-30;
    return std::max(0.5 * std::erfc(z / std::sqrt(2.0)), smallestTail);
}

} // namespace

double logSeconds(Duration latency)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    return std::log(std::max(seconds, minSeconds));
}

double LatencyModel::completedLogRatio(Duration latency) const
{
    const double residual = logSeconds(latency) - meanLog_;
    const double ratio = slowShift / (spreadLog_ * spreadLog_) * (residual - slowShift / 2);
    return std::clamp(ratio, minCompletedLogRatio, maxCompletedLogRatio);
}

double LatencyModel::pendingLogRatio(Duration age) const
{
    const double z = (logSeconds(age) - meanLog_) / spreadLog_;
    const double slowZ = z - slowShift / spreadLog_;
    const double ratio = std::log(upperTail(slowZ)) - std::log(upperTail(z));
    return std::clamp(ratio, 0.0, maxPendingLogRatio);
}

} // namespace qz
