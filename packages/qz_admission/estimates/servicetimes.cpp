// Smoothed service times.
#include "qz_admission/estimates/servicetimes.h"

#include <chrono>

namespace qz {

namespace {

constexpr int meanDivisor = 8;      // RFC 6298's alpha.
constexpr int deviationDivisor = 4; // RFC 6298's beta.
constexpr int cautiousDeviations = 2;

} // namespace

void ServiceTimes::Estimate::record(Duration used)
{
    if (isEmpty_) {
        mean_ = used;
        deviation_ = used / 2;
        isEmpty_ = false;
        return;
    }
    const Duration error = used - mean_;
    deviation_ += (std::chrono::abs(error) - deviation_) / deviationDivisor;
    mean_ += error / meanDivisor;
}

void ServiceTimes::record(const std::string &kind, Duration used)
{
    all_.record(used);
    const auto known = kinds_.find(kind);
    if (known != kinds_.end()) {
        known->second.record(used);
    } else if (kinds_.size() < maxKinds) {
        kinds_[kind].record(used);
    }
}

Duration ServiceTimes::expected(const std::string &kind) const
{
    return estimateOf(kind).mean_;
}

Duration ServiceTimes::conservative(const std::string &kind) const
{
    const Estimate &estimate = estimateOf(kind);
    return estimate.mean_ + cautiousDeviations * estimate.deviation_;
}

const ServiceTimes::Estimate &ServiceTimes::estimateOf(const std::string &kind) const
{
    const auto known = kinds_.find(kind);
    return known == kinds_.end() ? all_ : known->second;
}

} // namespace qz
