// Holds and trials of a backend server.
#include "qz_placement/health/serverhealth.h"

#include <algorithm>

namespace qz {

namespace {

/// Suspicion at which a server is held.
constexpr double holdLevel = 1.0;

/// The share of a new answer in the mean latency.
constexpr double latencyGain = 0.25;

/// A connection that breaks sooner than this part of the time of the quickest answers was
/// refused rather than lost with an answer.
constexpr double earlyPart = 0.5;

/// How much of the quickest answer's time is added with each slower one, so that one odd
/// answer does not count for ever.
constexpr double quickestDrift = 0.01;

/// Evidence of one result. Sound servers answer with a failure, shed when full and lose an
/// answer now and then, so these count in part only.
double weightOf(TryResult result, bool isEarly)
{
    switch (result) {
    case TryResult::Cut:
        return isEarly ? 1.0 : 0.6;
    case TryResult::Silent:
    case TryResult::TimedOut:
    case TryResult::ConnectFailed:
    case TryResult::WrongInstance:
        return 1.0;
    case TryResult::ServerError:
        return 0.6;
    case TryResult::Shed:
    case TryResult::Overtaken:
        return 0.4;
    case TryResult::Answered:
    case TryResult::Cancelled:
        break;
    }
    return 0.0;
}

} // namespace

std::string_view toString(TryResult result)
{
    switch (result) {
    case TryResult::Answered:
        return "answered";
    case TryResult::ServerError:
        return "server-error";
    case TryResult::Shed:
        return "shed";
    case TryResult::Cut:
        return "cut";
    case TryResult::Silent:
        return "silent";
    case TryResult::TimedOut:
        return "timed-out";
    case TryResult::ConnectFailed:
        return "connect-failed";
    case TryResult::WrongInstance:
        return "wrong-instance";
    case TryResult::Overtaken:
        return "overtaken";
    case TryResult::Cancelled:
        break;
    }
    return "cancelled";
}

bool isOfServer(TryResult result)
{
    return result == TryResult::Cut || result == TryResult::ServerError
            || result == TryResult::WrongInstance;
}

ServerHealth::ServerHealth(HealthLimits limits)
    : limits_(limits)
{
}

ServerHealth::State ServerHealth::state(TimePoint now) const
{
    if (trialsLeft_ == 0) {
        return State::Good;
    }
    return now < heldUntil_ ? State::Held : State::Trial;
}

bool ServerHealth::record(TryResult result, Duration took, bool isRepeatable, TimePoint now)
{
    if (result == TryResult::Cancelled) {
        return false;
    }
    if (result == TryResult::Answered) {
        const double gain = meanLatency_ == Duration::zero() ? 1.0 : latencyGain;
        meanLatency_ += std::chrono::duration_cast<Duration>((took - meanLatency_) * gain);
        quickest_ += std::chrono::duration_cast<Duration>(quickest_ * quickestDrift);
        quickest_ = quickest_ == Duration::zero() ? took : std::min(quickest_, took);
        suspicion_ /= 2.0;
        // Answers to requests from before the hold say nothing of the trial.
        if (trialsLeft_ > 0 && now - took >= heldSince_ && --trialsLeft_ == 0) {
            heldUntil_ = std::min(heldUntil_, now);
            nextHold_ = Duration::zero();
        }
        return false;
    }
    // A queue lengthens the mean, not the quickest answers.
    const bool isEarly = quickest_ == Duration::zero() || took < quickest_ * earlyPart;
    suspicion_ += weightOf(result, isEarly);
    const bool isOnTrial = trialsLeft_ > 0;
    if (suspicion_ < holdLevel && !isOnTrial) {
        return false;
    }
    // Requests that were under way when the hold began fail together; they are one failure.
    const bool wasUnderWay = trialsLeft_ > 0 && now - took < heldSince_;
    if (!wasUnderWay) {
        hold(!isRepeatable && isEarly && isOfServer(result), now);
        return true;
    }
    return false;
}

void ServerHealth::hold(bool isCostly, TimePoint now)
{
    const Duration first = isCostly ? limits_.firstCostlyHold_ : limits_.firstHold_;
    const Duration length = std::max(first, nextHold_);
    heldSince_ = now;
    heldUntil_ = now + length;
    nextHold_ = std::min(length * 2, limits_.longestHold_);
    trialsLeft_ = limits_.trialSuccesses_;
    suspicion_ = 0.0;
}

void ServerHealth::adoptHold(Duration hold, TimePoint now)
{
    heldSince_ = now;
    heldUntil_ = std::max(heldUntil_, now + std::min(hold, limits_.longestHold_));
    trialsLeft_ = std::max(trialsLeft_, 1);
}

void ServerHealth::adoptRecovery(TimePoint now)
{
    heldUntil_ = std::min(heldUntil_, now);
    trialsLeft_ = 0;
    suspicion_ = 0.0;
    nextHold_ = Duration::zero();
}

double ServerHealth::slowness(Duration expected) const
{
    if (meanLatency_ == Duration::zero() || expected <= Duration::zero()) {
        return 1.0;
    }
    return std::chrono::duration<double>(meanLatency_) / std::chrono::duration<double>(expected);
}

} // namespace qz
