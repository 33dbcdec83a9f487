// What a detector concludes of one backend server.
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
struct Unreachable
{
};
struct NoEvidence
{
};

/// A conclusion and how sure it is.
struct Verdict
{
    using State = std::variant<NoEvidence, Healthy, Slow, Failing, Unreachable>;

    State state_;
    /// 0..1. From weightConfidence on weights fall; from ejectConfidence on the server may be
    /// proposed for ejection.
    double confidence_ = 0;

    static constexpr double weightConfidence = 0.3;
    static constexpr double ejectConfidence = 1.0;

    /// The server is in trouble as far as the evidence goes.
    bool isUnhealthy() const
    {
        return !std::holds_alternative<Healthy>(state_)
                && !std::holds_alternative<NoEvidence>(state_);
    }
    bool isSuspect() const { return isUnhealthy() && confidence_ >= weightConfidence; }
    bool allowsEjection() const { return isUnhealthy() && confidence_ >= ejectConfidence; }
};

} // namespace qz
