// Timers of tests and of embedders that drive time themselves.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_core/time/manualclock.h"

#include <functional>
#include <map>
#include <memory>

namespace qz {

/// Runs timers by a ManualClock, when and only when advance() is called.
/// Invariant: work runs in the order of its due times, and in the order of the calls that
/// set it up where these are the same.
/// @see Timers, ManualClock
class ManualTimers : public Timers
{
public:
    /// @p clock outlives the timers, and moves only by advance() or by its owner.
    explicit ManualTimers(ManualClock &clock);
    ~ManualTimers() override;

    HandlePtr callAfter(Duration delay, std::function<void()> work) override;
    HandlePtr callEvery(Duration period, std::function<void()> work) override;

    /// Moves the clock by @p step, stopping at each timer that falls due to run it.
    void advance(Duration step);

    /// Runs what is due, without moving the clock.
    void runDue() { advance(Duration::zero()); }

    std::size_t pendingCount() const;

private:
    struct Timer;
    struct State;
    class TimerHandle;

    HandlePtr add(Duration delay, Duration period, std::function<void()> work);

    ManualClock &clock_;
    std::shared_ptr<State> state_; ///< Shared with the handles, which may outlive this.
};

} // namespace qz
