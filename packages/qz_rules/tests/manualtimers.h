// Timers that run when a test advances their clock.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_core/time/manualclock.h"

#include <map>
#include <memory>

namespace qz {

/// Timers on a ManualClock of their own.
class ManualTimers : public Timers
{
public:
    const ManualClock &clock() const { return clock_; }

    HandlePtr callAfter(Duration delay, std::function<void()> work) override
    {
        return add(delay, Duration::zero(), std::move(work));
    }

    HandlePtr callEvery(Duration period, std::function<void()> work) override
    {
        return add(period, period, std::move(work));
    }

    /// Advances time by @p step and runs what has fallen due, in order.
    void advance(Duration step)
    {
        const TimePoint end = clock_.now() + step;
        while (!due_.empty() && due_.begin()->first <= end) {
            const auto timer = due_.begin()->second.lock();
            const TimePoint at = due_.begin()->first;
            due_.erase(due_.begin());
            if (timer != nullptr) {
                clock_.advance(std::max(Duration::zero(), at - clock_.now()));
                run(timer, at);
            }
        }
        clock_.advance(end - clock_.now());
    }

private:
    struct Timer
    {
        std::function<void()> work_;
        Duration period_{};
    };

    class TimerHandle : public Handle
    {
    public:
        explicit TimerHandle(std::shared_ptr<Timer> timer)
            : timer_(std::move(timer))
        {
        }

    private:
        std::shared_ptr<Timer> timer_;
    };

    HandlePtr add(Duration delay, Duration period, std::function<void()> work)
    {
        auto timer = std::make_shared<Timer>(Timer{ std::move(work), period });
        due_.emplace(clock_.now() + delay, timer);
        return std::make_unique<TimerHandle>(std::move(timer));
    }

    void run(const std::shared_ptr<Timer> &timer, TimePoint at)
    {
        if (timer->period_ > Duration::zero()) {
            due_.emplace(at + timer->period_, timer);
        }
        timer->work_();
    }

    ManualClock clock_;
    std::multimap<TimePoint, std::weak_ptr<Timer>> due_;
};

} // namespace qz
