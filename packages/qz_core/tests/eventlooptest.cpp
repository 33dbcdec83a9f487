// Tests of the event loop's timers.
#include "qz_core/loop/eventloop.h"
#include "qz_core/loop/heldsignals.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

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

// Guards against a signal at the start that ends the process because its handler does not stand
// yet.
BOOST_AUTO_TEST_CASE(signalThatArrivesBeforeItsHandlerIsHandledOnceReleased)
{
    for (const int number : { SIGHUP, SIGTERM, SIGINT, SIGUSR1 }) {
        qz::holdSignals();
        raise(number);
        qz::EventLoop loop;
        int handled = 0;
        const auto handler = loop.onSignal(number, [&handled] { ++handled; });
        loop.runFor(10ms);
        BOOST_TEST(handled == 0);
        qz::releaseSignals();
        loop.runFor(10ms);
        BOOST_TEST(handled == 1);
        raise(number);
        loop.runFor(10ms);
        BOOST_TEST(handled == 2);
    }
}
