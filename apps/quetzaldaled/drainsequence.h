// The graceful stop of a daemon, in steps that do not interrupt requests in flight.
#pragma once

#include "qz_core/loop/eventloop.h"

#include <nlohmann/json.hpp>

#include <functional>

namespace qz {

/// The functions that a graceful stop calls at its steps, all on the event loop.
struct DrainSteps
{
    /// Called at once: announces to peers and callers that this instance is leaving.
    std::function<void()> leave_;
    /// Called after the grace of the gates: this instance's gates accept no new requests.
    std::function<void()> closeGates_;
    /// Called after the grace of the entry: this instance accepts no new callers.
    std::function<void()> closeEntry_;
    /// Returns the counts of what is still in flight, or an empty object.
    std::function<nlohmann::json()> inFlight_;
    /// Called last, and once.
    std::function<void(int exitStatus)> end_;
};

/// All times count from the start of the drain.
struct DrainTimes
{
    Duration gateGrace_{};
    Duration entryGrace_{}; ///< At least the time for which callers cache an address.
    Duration limit_{};      ///< Until the process ends even with requests in flight.
};

/// Runs the steps in order and ends once nothing is in flight. At the limit it logs what is
/// still in flight and ends with the exit status exitLimitReached.
class DrainSequence
{
public:
    static constexpr int exitLimitReached = 3;

    DrainSequence(EventLoop &loop, DrainTimes times, DrainSteps steps);
    DrainSequence(const DrainSequence &) = delete;
    DrainSequence &operator=(const DrainSequence &) = delete;

    /// Starts the drain. Further calls have no effect.
    void start();

private:
    void closeEntry();
    void check();
    void end(int exitStatus);

    EventLoop &loop_;
    const DrainTimes times_;
    const DrainSteps steps_;
    TimePoint startedAt_;
    bool isStarted_ = false;
    Timers::HandlePtr gateTimer_;
    Timers::HandlePtr entryTimer_;
    Timers::HandlePtr checkTimer_;
};

} // namespace qz
