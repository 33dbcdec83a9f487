// Runs the steps of the graceful stop and checks what is still in flight.
#include "quetzaldaled/drainsequence.h"

#include "qz_core/faults/faultpoint.h"
#include "qz_core/logging/logger.h"

#include <utility>

namespace qz {

namespace {

constexpr Duration checkPeriod = std::chrono::milliseconds(50);

} // namespace

DrainSequence::DrainSequence(EventLoop &loop, DrainTimes times, DrainSteps steps)
    : loop_(loop)
    , times_(times)
    , steps_(std::move(steps))
{
}

void DrainSequence::start()
{
    if (isStarted_) {
        return;
    }
    isStarted_ = true;
    startedAt_ = loop_.now();
    log(LogLevel::Info, "drain-started");
    steps_.leave_();
    if (isFaultInjected(FaultPoint::DrainSkipped)) {
        end(0);
        return;
    }
    gateTimer_ = loop_.callAfter(times_.gateGrace_, [this] { steps_.closeGates_(); });
    entryTimer_ = loop_.callAfter(times_.entryGrace_, [this] { closeEntry(); });
}

void DrainSequence::closeEntry()
{
    steps_.closeEntry_();
    checkTimer_ = loop_.callEvery(checkPeriod, [this] { check(); });
}

void DrainSequence::check()
{
    const nlohmann::json inFlight = steps_.inFlight_();
    if (inFlight.empty()) {
        log(LogLevel::Info, "drain-ended");
        end(0);
    } else if (loop_.now() - startedAt_ >= times_.limit_) {
        log(LogLevel::Error, "drain-limit-reached", { { "in_flight", inFlight } });
        end(exitLimitReached);
    }
}

void DrainSequence::end(int exitStatus)
{
    const auto timer = std::move(checkTimer_);
    steps_.end_(exitStatus);
}

} // namespace qz
