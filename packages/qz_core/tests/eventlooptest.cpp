// Tests of the event loop's timers.
#include "qz_core/loop/eventloop.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(timersRunInOrderOfTheirDelay)
{
    qz::EventLoop loop;
    std::string order;
    const auto second = loop.callAfter(20ms, [&] {
        order += "b";
        loop.stop();
    });
    const auto first = loop.callAfter(1ms, [&] { order += "a"; });
    loop.runFor(5s);
    BOOST_TEST(order == "ab");
}

BOOST_AUTO_TEST_CASE(aDroppedHandleCancelsItsTimer)
{
    qz::EventLoop loop;
    bool hasRun = false;
    auto timer = loop.callAfter(1ms, [&] { hasRun = true; });
    timer.reset();
    loop.runFor(20ms);
    BOOST_TEST(!hasRun);
}

BOOST_AUTO_TEST_CASE(aTimerMayDropItsOwnHandle)
{
    qz::EventLoop loop;
    int runs = 0;
    qz::Timers::HandlePtr timer;
    timer = loop.callEvery(1ms, [&] {
        ++runs;
        timer.reset();
        ++runs;
    });
    loop.runFor(30ms);
    BOOST_TEST(runs == 2);
}
