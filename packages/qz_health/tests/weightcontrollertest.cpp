// Weights of a server over time, and the rate of probes.
#include "qz_health/qz_health.h"

#include "qz_core/time/manualclock.h"

#include <boost/test/unit_test.hpp>

using namespace qz;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(weightFallsAtOnceToMinimum)
{
    ManualClock clock;
    WeightController weights;
    weights.update(Verdict{ Healthy{}, 1 }, clock.now());
    BOOST_TEST(weights.weight() == 1);
    weights.update(Verdict{ Slow{ 10 }, Verdict::weightConfidence }, clock.now());
    BOOST_TEST(weights.weight() < 0.1);
    weights.update(Verdict{ Unreachable{}, 1 }, clock.now());
    BOOST_TEST(weights.weight() == WeightController::minWeight);
}

BOOST_AUTO_TEST_CASE(coldServerRampsUpToFullWeight)
{
    ManualClock clock;
    WeightController weights;
    weights.startCold(clock.now());
    double last = weights.weight();
    BOOST_TEST(last == WeightController::coldWeight);
    for (int i = 0; i < 8; ++i) {
        clock.advance(1s);
        weights.update(Verdict{ NoEvidence{}, 0 }, clock.now());
        BOOST_TEST(weights.weight() > last);
        BOOST_TEST(weights.weight() < 1);
        last = weights.weight();
    }
    clock.advance(2s);
    weights.update(Verdict{ Healthy{}, 1 }, clock.now());
    BOOST_TEST(weights.weight() == 1);
}

BOOST_AUTO_TEST_CASE(probesOnlySuspectServersWithinBudget)
{
    ManualClock clock;
    ProbeScheduler scheduler;
    BOOST_TEST(!scheduler.shouldProbe(Verdict{ Healthy{}, 1 }, clock.now()));
    const Verdict suspect{ Slow{ 3 }, Verdict::weightConfidence };
    BOOST_TEST(scheduler.shouldProbe(suspect, clock.now()));
    clock.advance(1s);
    // The previous probe is still in flight.
    BOOST_TEST(!scheduler.shouldProbe(suspect, clock.now()));
    int sent = 0;
    for (int i = 0; i < 600; ++i) {
        clock.advance(100ms);
        scheduler.probeEnded();
        sent += scheduler.shouldProbe(suspect, clock.now()) ? 1 : 0;
    }
    BOOST_TEST(sent > 60);
    BOOST_TEST(sent <= 81); // the burst, then one probe per second
}
