// The one event loop of a process, on one thread: timers, signals and the loop's clock.
#pragma once

#include "qz_core/time/clock.h"

#include <functional>
#include <memory>

struct event;
struct event_base;

namespace qz {

/// Schedules work for later. Decisions that need a timer take this interface, so that a
/// test can drive them with ManualTimers.
/// @see EventLoop
class Timers
{
public:
    /// Keeps a timer alive: dropping it cancels the timer.
    class Handle
    {
    public:
        Handle() = default;
        Handle(const Handle &) = delete;
        Handle &operator=(const Handle &) = delete;
        virtual ~Handle() = default;
    };
    using HandlePtr = std::unique_ptr<Handle>;

    Timers() = default;
    Timers(const Timers &) = delete;
    Timers &operator=(const Timers &) = delete;
    virtual ~Timers() = default;

    /// Runs @p work once, after @p delay, unless the handle is dropped before.
    [[nodiscard]] virtual HandlePtr callAfter(Duration delay, std::function<void()> work) = 0;

    /// Runs @p work every @p period until the handle is dropped.
    [[nodiscard]] virtual HandlePtr callEvery(Duration period, std::function<void()> work) = 0;
};

/// A libevent loop with its clock. Everything in a process runs on the one thread that
/// calls run().
/// @see Clock, Timers
class EventLoop : public Clock, public Timers
{
public:
    EventLoop();
    ~EventLoop() override;

    TimePoint now() const override;
    HandlePtr callAfter(Duration delay, std::function<void()> work) override;
    HandlePtr callEvery(Duration period, std::function<void()> work) override;

    /// Runs @p work each time the process receives @p signalNumber.
    [[nodiscard]] HandlePtr onSignal(int signalNumber, std::function<void()> work);

    /// Runs until stop() is called.
    void run();

    /// Runs until stop() is called, or for @p limit.
    void runFor(Duration limit);

    void stop();

    /// The libevent base, for the HTTP and link libraries.
    event_base *base() const { return base_.get(); }

private:
    struct BaseDeleter
    {
        void operator()(event_base *base) const;
    };
    std::unique_ptr<event_base, BaseDeleter> base_;
};

} // namespace qz
