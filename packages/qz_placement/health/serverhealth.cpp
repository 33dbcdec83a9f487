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
double weightOf(AttemptResult result, bool isEarly)
{
    switch (result) {
    case AttemptResult::Cut:
        return isEarly ? 1.0 : 0.6;
    case AttemptResult::Silent:
    case AttemptResult::TimedOut:
    case AttemptResult::ConnectFailed:
    case AttemptResult::WrongInstance:
        return 1.0;
    case AttemptResult::ServerError:
        return 0.6;
    case AttemptResult::Shed:
    case AttemptResult::Overtaken:
        return 0.4;
    case AttemptResult::Answered:
    case AttemptResult::Cancelled:
        break;
    }
    return 0.0;
}

} // namespace

std::string_view toString(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Answered:
        return "answered";
    case AttemptResult::ServerError:
        return "server-error";
    case AttemptResult::Shed:
        return "shed";
    case AttemptResult::Cut:
        return "cut";
    case AttemptResult::Silent:
        return "silent";
    case AttemptResult::TimedOut:
        return "timed-out";
    case AttemptResult::ConnectFailed:
        return "connect-failed";
    case AttemptResult::WrongInstance:
        return "wrong-instance";
    case AttemptResult::Overtaken:
        return "overtaken";
    case AttemptResult::Cancelled:
        break;
    }
    return "cancelled";
}

bool isServerFault(AttemptResult result)
{
    return result == AttemptResult::Cut || result == AttemptResult::ServerError
            || result == AttemptResult::WrongInstance;
}

ServerHealth::ServerHealth(EjectionLimits limits)
    : limits_(limits)
{
}

ServerHealth::State ServerHealth::state(TimePoint now) const
{
    if (trialsLeft_ == 0) {
        return State::Good;
    }
    return now < ejectedUntil_ ? State::Ejected : State::Trial;
}

bool ServerHealth::record(AttemptResult result, Duration took, bool isRepeatable, TimePoint now)
{
    if (result == AttemptResult::Cancelled) {
        return false;
    }
    if (result == AttemptResult::Answered) {
        const double gain = meanLatency_ == Duration::zero() ? 1.0 : latencyGain;
        meanLatency_ += std::chrono::duration_cast<Duration>((took - meanLatency_) * gain);
        quickest_ += std::chrono::duration_cast<Duration>(quickest_ * quickestDrift);
        quickest_ = quickest_ == Duration::zero() ? took : std::min(quickest_, took);
        failureScore_ /= 2.0;
        // Answers to requests from before the hold say nothing of the trial.
        if (trialsLeft_ > 0 && now - took >= ejectedSince_ && --trialsLeft_ == 0) {
            ejectedUntil_ = std::min(ejectedUntil_, now);
            nextHold_ = Duration::zero();
        }
        return false;
    }
    // A queue lengthens the mean, not the quickest answers.
    const bool isEarly = quickest_ == Duration::zero() || took < quickest_ * earlyPart;
    failureScore_ += weightOf(result, isEarly);
    const bool isOnTrial = trialsLeft_ > 0;
    if (failureScore_ < holdLevel && !isOnTrial) {
        return false;
    }
    // Requests that were under way when the hold began fail together; they are one failure.
    const bool wasUnderWay = trialsLeft_ > 0 && now - took < ejectedSince_;
    if (!wasUnderWay) {
        hold(!isRepeatable && isEarly && isServerFault(result), now);
        return true;
    }
    return false;
}

void ServerHealth::hold(bool isCostly, TimePoint now)
{
    const Duration first =
            isCostly ? limits_.nonRepeatableBaseEjectionTime_ : limits_.baseEjectionTime_;
    const Duration length = std::max(first, nextHold_);
    ejectedSince_ = now;
    ejectedUntil_ = now + length;
    nextHold_ = std::min(length * 2, limits_.maxEjectionTime_);
    trialsLeft_ = limits_.trialSuccesses_;
    failureScore_ = 0.0;
}

void ServerHealth::applyReportedEjection(Duration hold, TimePoint now)
{
    ejectedSince_ = now;
    ejectedUntil_ = std::max(ejectedUntil_, now + std::min(hold, limits_.maxEjectionTime_));
    trialsLeft_ = std::max(trialsLeft_, 1);
}

void ServerHealth::applyReportedRecovery(TimePoint now)
{
    ejectedUntil_ = std::min(ejectedUntil_, now);
    trialsLeft_ = 0;
    failureScore_ = 0.0;
    nextHold_ = Duration::zero();
}

double ServerHealth::relativeLatency(Duration expected) const
{
    if (meanLatency_ == Duration::zero() || expected <= Duration::zero()) {
        return 1.0;
    }
    return std::chrono::duration<double>(meanLatency_) / std::chrono::duration<double>(expected);
}

} // namespace qz
