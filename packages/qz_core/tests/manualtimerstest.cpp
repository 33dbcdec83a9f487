// Tests of timers that run by a manual clock.
#include "qz_core/time/manualtimers.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(manualTimersRunInOrderAtTheirOwnTime)
{
    qz::ManualClock clock;
    qz::ManualTimers timers(clock);
    const qz::TimePoint start = clock.now();
    std::string order;
    const auto second = timers.callAfter(20ms, [&] { order += "b"; });
    const auto first = timers.callAfter(10ms, [&] {
        order += "a";
        BOOST_TEST((clock.now() - start == 10ms));
    });
    timers.advance(15ms);
    BOOST_TEST(order == "a");
    timers.advance(5ms);
    BOOST_TEST(order == "ab");
    BOOST_TEST((clock.now() - start == 20ms));
}

BOOST_AUTO_TEST_CASE(aPeriodicManualTimerRunsOnceAPeriodUntilItIsDropped)
{
    qz::ManualClock clock;
    qz::ManualTimers timers(clock);
    int runs = 0;
    qz::Timers::HandlePtr timer;
    timer = timers.callEvery(10ms, [&] {
        if (++runs == 3) {
            timer.reset();
        }
    });
    timers.advance(1s);
    BOOST_TEST(runs == 3);
    BOOST_TEST(timers.pendingCount() == 0U);
}

BOOST_AUTO_TEST_CASE(aDroppedManualTimerDoesNotRun)
{
    qz::ManualClock clock;
    qz::ManualTimers timers(clock);
    bool hasRun = false;
    auto timer = timers.callAfter(1ms, [&] { hasRun = true; });
    timer.reset();
    timers.advance(1s);
    BOOST_TEST(!hasRun);
}

BOOST_AUTO_TEST_CASE(workSetUpByManualWorkRunsInTheSameAdvanceIfItIsDue)
{
    qz::ManualClock clock;
    qz::ManualTimers timers(clock);
    bool hasRun = false;
    qz::Timers::HandlePtr inner;
    const auto outer =
            timers.callAfter(1ms, [&] { inner = timers.callAfter(1ms, [&] { hasRun = true; }); });
    timers.advance(2ms);
    BOOST_TEST(hasRun);
}
