// Smoothed service times by kind of request.
#include "qz_admission/estimates/servicetimes.h"

#include <chrono>

namespace qz {

namespace {

constexpr int meanDivisor = 8;      // 1/alpha of RFC 6298.
constexpr int deviationDivisor = 4; // 1/beta of RFC 6298.
constexpr int conservativeDeviations = 2;

} // namespace

void ServiceTimes::Estimate::record(Duration serviceTime)
{
    if (isEmpty_) {
        mean_ = serviceTime;
        deviation_ = serviceTime / 2;
        isEmpty_ = false;
        return;
    }
    const Duration difference = serviceTime - mean_;
    deviation_ += (std::chrono::abs(difference) - deviation_) / deviationDivisor;
    mean_ += difference / meanDivisor;
}

void ServiceTimes::record(const std::string &kind, Duration serviceTime)
{
    allKinds_.record(serviceTime);
    const auto found = byKind_.find(kind);
    if (found != byKind_.end()) {
        found->second.record(serviceTime);
    } else if (byKind_.size() < maxKinds) {
        byKind_[kind].record(serviceTime);
    }
}

Duration ServiceTimes::expected(const std::string &kind) const
{
    return estimateOf(kind).mean_;
}

Duration ServiceTimes::conservative(const std::string &kind) const
{
    const Estimate &estimate = estimateOf(kind);
    return estimate.mean_ + conservativeDeviations * estimate.deviation_;
}

const ServiceTimes::Estimate &ServiceTimes::estimateOf(const std::string &kind) const
{
    const auto found = byKind_.find(kind);
    return found == byKind_.end() ? allKinds_ : found->second;
}

} // namespace qz
