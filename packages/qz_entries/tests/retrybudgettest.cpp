// Tests of the retry budget.
#include "qz_entries/retries/retrybudget.h"

#include "qz_core/time/manualclock.h"

#include <boost/test/unit_test.hpp>

namespace {

int takeAll(qz::RetryBudget &budget, const qz::Clock &clock)
{
    int taken = 0;
    while (budget.tryAcquire(clock.now())) {
        ++taken;
    }
    return taken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(retryBudget)

BOOST_AUTO_TEST_CASE(aTenthOfTheSuccesses)
{
    const qz::ManualClock clock;
    qz::RetryBudget budget({ 0.1, 1.0, 100.0 }, clock.now());
    for (int i = 0; i < 205; ++i) {
        budget.recordSuccess();
    }
    BOOST_TEST(takeAll(budget, clock) == 20);
}

BOOST_AUTO_TEST_CASE(withoutSuccessOnlyTheFloor)
{
    qz::ManualClock clock;
    qz::RetryBudget budget({ 0.1, 2.0, 100.0 }, clock.now());
    int taken = 0;
    for (int i = 0; i < 1000; ++i) { // 1,000 failures in 10 s.
        clock.advance(std::chrono::milliseconds(10));
        taken += budget.tryAcquire(clock.now()) ? 1 : 0;
    }
    BOOST_TEST(taken >= 19);
    BOOST_TEST(taken <= 20);
}

BOOST_AUTO_TEST_CASE(savesNoMoreThanItsLimit)
{
    qz::ManualClock clock;
    qz::RetryBudget budget({ 0.1, 1.0, 5.0 }, clock.now());
    for (int i = 0; i < 10000; ++i) {
        budget.recordSuccess();
    }
    clock.advance(std::chrono::hours(1));
    BOOST_TEST(takeAll(budget, clock) == 5);
}

BOOST_AUTO_TEST_SUITE_END()
