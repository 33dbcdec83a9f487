// Tests of the retry budget.
#include "qz_entries/retries/retrybudget.h"

#include "qz_core/time/manualclock.h"

#include <boost/test/unit_test.hpp>

namespace {

int spendAll(qz::RetryBudget &budget, const qz::Clock &clock)
{
    int spent = 0;
    while (budget.tryAcquire(clock.now())) {
        ++spent;
    }
    return spent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(retryBudget)

BOOST_AUTO_TEST_CASE(successesEarnTokens)
{
    const qz::ManualClock clock;
    qz::RetryBudget budget({ 0.1, 1.0, 100.0 }, clock.now());
    for (int i = 0; i < 205; ++i) {
        budget.recordSuccess();
    }
    BOOST_TEST(spendAll(budget, clock) == 20);
}

BOOST_AUTO_TEST_CASE(withoutSuccessesOnlyTimeEarnsTokens)
{
    qz::ManualClock clock;
    qz::RetryBudget budget({ 0.1, 2.0, 100.0 }, clock.now());
    int spent = 0;
    for (int i = 0; i < 1000; ++i) { // 1,000 failures in 10 s.
        clock.advance(std::chrono::milliseconds(10));
        spent += budget.tryAcquire(clock.now()) ? 1 : 0;
    }
    BOOST_TEST(spent >= 19);
    BOOST_TEST(spent <= 20);
}

BOOST_AUTO_TEST_CASE(savesAtMostTheMaximumNumberOfTokens)
{
    qz::ManualClock clock;
    qz::RetryBudget budget({ 0.1, 1.0, 5.0 }, clock.now());
    for (int i = 0; i < 10000; ++i) {
        budget.recordSuccess();
    }
    clock.advance(std::chrono::hours(1));
    BOOST_TEST(spendAll(budget, clock) == 5);
}

BOOST_AUTO_TEST_SUITE_END()
