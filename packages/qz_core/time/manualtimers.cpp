// Timers on a clock that stands still until it is advanced.
#include "qz_core/time/manualtimers.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace qz {

struct ManualTimers::Timer
{
    Duration period_{}; ///< 0 for a timer that runs once.
    std::function<void()> work_;
};

struct ManualTimers::State
{
    using Id = std::uint64_t;
    using Place = std::pair<TimePoint, Id>;

    std::map<Place, Timer> timers_;    ///< By due time, then by age.
    std::map<Id, TimePoint> dueTimes_; ///< One entry for each timer in timers_.
    Id lastId_ = 0;

    void insert(Id id, TimePoint dueAt, Timer timer)
    {
        timers_.emplace(Place{ dueAt, id }, std::move(timer));
        dueTimes_[id] = dueAt;
    }

    void remove(Id id)
    {
        const auto due = dueTimes_.find(id);
        if (due != dueTimes_.end()) {
            timers_.erase(Place{ due->second, id });
            dueTimes_.erase(due);
        }
    }
};

/// Cancels its timer when it is dropped.
class ManualTimers::TimerHandle : public Timers::Handle
{
public:
    TimerHandle(std::weak_ptr<State> state, State::Id id)
        : state_(std::move(state))
        , id_(id)
    {
    }

    ~TimerHandle() override
    {
        if (const auto state = state_.lock()) {
            state->remove(id_);
        }
    }

private:
    const std::weak_ptr<State> state_;
    const State::Id id_;
};

ManualTimers::ManualTimers(ManualClock &clock)
    : clock_(clock)
    , state_(std::make_shared<State>())
{
}

ManualTimers::~ManualTimers() = default;

Timers::HandlePtr ManualTimers::callAfter(Duration delay, std::function<void()> work)
{
    return add(delay, Duration::zero(), std::move(work));
}

Timers::HandlePtr ManualTimers::callEvery(Duration period, std::function<void()> work)
{
    return add(period, std::max(period, Duration(1)), std::move(work));
}

Timers::HandlePtr ManualTimers::add(Duration delay, Duration period, std::function<void()> work)
{
    const State::Id id = ++state_->lastId_;
    const TimePoint dueAt = clock_.now() + std::max(delay, Duration::zero());
    state_->insert(id, dueAt, Timer{ period, std::move(work) });
    return std::make_unique<TimerHandle>(state_, id);
}

void ManualTimers::advance(Duration step)
{
    const TimePoint end = clock_.now() + step;
    while (!state_->timers_.empty() && state_->timers_.begin()->first.first <= end) {
        const auto [dueAt, id] = state_->timers_.begin()->first;
        Timer timer = std::move(state_->timers_.begin()->second);
        state_->remove(id);
        clock_.advance(std::max(dueAt - clock_.now(), Duration::zero()));
        const auto work = timer.work_; // Outlives a dropped handle.
        if (timer.period_ > Duration::zero()) {
            const TimePoint nextDueAt = dueAt + timer.period_;
            state_->insert(id, nextDueAt, std::move(timer));
        }
        work();
    }
    clock_.advance(std::max(end - clock_.now(), Duration::zero()));
}

std::size_t ManualTimers::pendingCount() const
{
    return state_->timers_.size();
}

} // namespace qz
