// The result of outlier detection for one backend server.
#pragma once

#include <variant>

namespace qz {

struct Healthy
{
};
struct Slow
{
    double factor_ = 1; ///< Latency relative to the service's other servers.
};
struct Failing
{
    double rate_ = 0; ///< Share of requests that fail, 0..1.
};
/// Connections to the server fail.
struct Unreachable
{
};
/// There is not enough evidence to compare the server.
struct NoEvidence
{
};

/// The detected state of a backend server, with a confidence.
struct Verdict
{
    using State = std::variant<NoEvidence, Healthy, Slow, Failing, Unreachable>;

    State state_;
    /// 0..1. If it is at least weightConfidence, the weight of an unhealthy server is reduced; if
    /// it is at least ejectConfidence, the server can be proposed for ejection.
    double confidence_ = 0;

    static constexpr double weightConfidence = 0.3;
    static constexpr double ejectConfidence = 1.0;

    /// Returns true if the state is neither Healthy nor NoEvidence, with any confidence.
    bool isUnhealthy() const
    {
        return !std::holds_alternative<Healthy>(state_)
                && !std::holds_alternative<NoEvidence>(state_);
    }
    /// Returns true if the server gets less weight and is probed.
    bool isSuspect() const { return isUnhealthy() && confidence_ >= weightConfidence; }
    /// Returns true if the server can be proposed for ejection.
    bool allowsEjection() const { return isUnhealthy() && confidence_ >= ejectConfidence; }
};

} // namespace qz
