// Implements the ejections and trials of a backend server.
#include "qz_placement/health/serverhealth.h"

#include <algorithm>

namespace qz {

namespace {

/// Failure score at which a server is ejected.
constexpr double ejectionScore = 1.0;

/// Weight of a new answer in the mean relative latency.
constexpr double latencyGain = 0.25;

/// Returns the failure score of one result. Healthy servers occasionally return an error, shed
/// requests at full load or lose an answer, so these results have a lower score.
double scoreOf(const AttemptEnd &end)
{
    switch (end.result_) {
    case AttemptResult::Cut:
        return end.isEarly_ ? 1.0 : 0.6;
    case AttemptResult::Silent:
    case AttemptResult::ConnectFailed:
    case AttemptResult::WrongInstance:
        return 1.0;
    case AttemptResult::ServerError:
        return 0.6;
    case AttemptResult::Shed:
        return 0.4;
    case AttemptResult::TimedOut:
    case AttemptResult::Overtaken:
        return end.silence_; // A short deadline is no fault of the server.
    case AttemptResult::Answered:
    case AttemptResult::Unable:
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
    case AttemptResult::Unable:
        return "unable";
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
    if (isInService_) {
        return State::Good;
    }
    return now < ejectedUntil_ ? State::Ejected : State::Trial;
}

bool ServerHealth::record(const AttemptEnd &end, TimePoint now)
{
    const AttemptResult result = end.result_;
    const Duration latency = end.latency_;
    if (result == AttemptResult::Cancelled) {
        return false;
    }
    if (result == AttemptResult::Answered) {
        relativeLatency_ +=
                (end.relativeLatency_ - relativeLatency_) * (hasAnswered_ ? latencyGain : 1.0);
        hasAnswered_ = true;
        failureScore_ /= 2.0;
        // Of the requests sent before the ejection, only the overdue one can end it.
        const TimePoint sentAt = now - latency;
        if (!isInService_ && (sentAt >= ejectedSince_ || sentAt == overdueSentAt_)) {
            returnToService(now);
        }
        return false;
    }
    failureScore_ += scoreOf(end);
    if (failureScore_ < ejectionScore && isInService_) {
        return false;
    }
    // Requests in flight at the start of the ejection fail together and count as one failure.
    const bool wasInFlight = !isInService_ && now - latency < ejectedSince_;
    if (!wasInFlight) {
        eject(!end.isRepeatable_ && end.isEarly_ && isServerFault(result), now);
        return true;
    }
    return false;
}

bool ServerHealth::recordOverdue(TimePoint sentAt, bool isRepeatable, TimePoint now)
{
    if (!isInService_ && sentAt < ejectedSince_) {
        return false; // Sent before the ejection: no result of a trial.
    }
    eject(!isRepeatable, now);
    overdueSentAt_ = sentAt;
    return true;
}

void ServerHealth::eject(bool isTrialCostly, TimePoint now)
{
    const Duration minTime =
            isTrialCostly ? limits_.nonRepeatableBaseEjectionTime_ : limits_.baseEjectionTime_;
    const Duration length = std::max(minTime, nextEjectionTime_);
    ejectedSince_ = now;
    ejectedUntil_ = now + length;
    overdueSentAt_ = {};
    nextEjectionTime_ = std::min(length * 2, limits_.maxEjectionTime_);
    isInService_ = false;
    failureScore_ = 0.0;
}

void ServerHealth::applyReportedEjection(Duration remaining, TimePoint now)
{
    ejectedSince_ = now;
    ejectedUntil_ = std::max(ejectedUntil_, now + std::min(remaining, limits_.maxEjectionTime_));
    isInService_ = false;
}

void ServerHealth::returnToService(TimePoint now)
{
    isInService_ = true;
    ejectedUntil_ = std::min(ejectedUntil_, now);
    failureScore_ = 0.0;
    nextEjectionTime_ = Duration::zero();
}

} // namespace qz
