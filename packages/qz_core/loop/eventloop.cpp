// The event loop on libevent.
#include "qz_core/loop/eventloop.h"

#include "qz_core/loop/timevalue.h"

#include <event2/event.h>

#include <utility>

namespace qz {

namespace {

/// One libevent event with the work it runs. The work may drop the handle itself.
class LoopEvent : public Timers::Handle
{
public:
    LoopEvent(event_base *base, int descriptor, short flags, std::function<void()> work)
        : work_(std::make_shared<std::function<void()>>(std::move(work)))
        , event_(event_new(base, descriptor, flags, &LoopEvent::run, this))
    {
    }

    ~LoopEvent() override { event_free(event_); }

    void add(const timeval *delay) { event_add(event_, delay); }

private:
    static void run(evutil_socket_t /*descriptor*/, short /*flags*/, void *self)
    {
        const auto work = static_cast<LoopEvent *>(self)->work_; // Outlives a dropped handle.
        (*work)();
    }

    std::shared_ptr<std::function<void()>> work_;
    event *event_;
};

} // namespace

void EventLoop::BaseDeleter::operator()(event_base *base) const
{
    event_base_free(base);
}

EventLoop::EventLoop()
    : base_(event_base_new())
{
}

EventLoop::~EventLoop() = default;

TimePoint EventLoop::now() const
{
    return std::chrono::steady_clock::now();
}

Timers::HandlePtr EventLoop::callAfter(Duration delay, std::function<void()> work)
{
    auto timer = std::make_unique<LoopEvent>(base(), -1, 0, std::move(work));
    const timeval value = toTimeval(delay);
    timer->add(&value);
    return timer;
}

Timers::HandlePtr EventLoop::callEvery(Duration period, std::function<void()> work)
{
    auto timer = std::make_unique<LoopEvent>(base(), -1, EV_PERSIST, std::move(work));
    const timeval value = toTimeval(period);
    timer->add(&value);
    return timer;
}

Timers::HandlePtr EventLoop::onSignal(int signalNumber, std::function<void()> work)
{
    const short flags = EV_SIGNAL | EV_PERSIST;
    auto handler = std::make_unique<LoopEvent>(base(), signalNumber, flags, std::move(work));
    handler->add(nullptr);
    return handler;
}

void EventLoop::run()
{
    event_base_loop(base(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::runFor(Duration limit)
{
    const HandlePtr timer = callAfter(limit, [this] { stop(); });
    run();
}

void EventLoop::stop()
{
    event_base_loopbreak(base());
}

} // namespace qz
