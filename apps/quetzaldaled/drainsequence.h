// The planned stop of a daemon, in steps that cut nothing in flight.
#pragma once

#include "qz_core/loop/eventloop.h"

#include <nlohmann/json.hpp>

#include <functional>

namespace qz {

/// What a planned stop does at each step; all run on the loop.
struct DrainSteps
{
    std::function<void()> leave_;      ///< At once: tell peers and callers.
    std::function<void()> closeGates_; ///< After the gates' grace: no new work at gates here.
    std::function<void()> closeEntry_; ///< After the grace: no new callers.
    std::function<nlohmann::json()> inFlight_; ///< What is still held; empty if nothing.
    std::function<void(int exitStatus)> end_;  ///< Last, once.
};

struct DrainTimes
{
    Duration gateGrace_{};
    Duration entryGrace_{}; ///< Not below the time for which callers keep an address.
    Duration limit_{};
};

/// Runs the steps in order. It ends once nothing is in flight, or at the limit; it then logs
/// what was still held and ends with exitLimitReached.
class DrainSequence
{
public:
    static constexpr int exitLimitReached = 3;

    DrainSequence(EventLoop &loop, DrainTimes times, DrainSteps steps);
    DrainSequence(const DrainSequence &) = delete;
    DrainSequence &operator=(const DrainSequence &) = delete;

    /// Begins; a second call does nothing.
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
