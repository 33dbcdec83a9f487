// Replays of load on a small model of servers: spells of failure, slowness, floods. Time is
// simulated; what is asserted is served, lost, late and sent, against stated bounds.
#include "qz_placement/tests/serversimulation.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using qz::testing::SimulatedLoad;
using qz::testing::SimulationResult;

namespace {

constexpr int seeds = 8;

/// Eight servers of two slots at a third of their capacity, as in the deployments of today.
SimulatedLoad makeUsualLoad()
{
    SimulatedLoad load;
    load.servers_ = 8;
    load.slots_ = 2;
    load.perSecond_ = 33.0;
    load.work_ = 160ms;
    load.target_ = 600ms;
    load.timeout_ = 2s;
    return load;
}

/// At any time three in ten servers fail most requests at once, for some seconds.
SimulatedLoad makeSpells()
{
    SimulatedLoad load = makeUsualLoad();
    load.spellShare_ = 0.3;
    load.spellLength_ = 9s;
    load.spellFails_ = 0.85;
    return load;
}

SimulationResult simulate(const SimulatedLoad &load)
{
    SimulationResult sum;
    for (int seed = 1; seed <= seeds; ++seed) {
        sum += qz::testing::simulate(load, static_cast<unsigned>(seed));
    }
    return sum;
}

} // namespace

BOOST_AUTO_TEST_CASE(soundServersServeEverythingInTime)
{
    const SimulationResult result = simulate(makeUsualLoad());
    BOOST_TEST(result.lost_ == 0);
    BOOST_TEST(result.refused_ == 0);
    BOOST_TEST(result.served_ > 0);
    BOOST_TEST(result.late_ < result.served_ / 100);
}

BOOST_AUTO_TEST_CASE(spellsOfFailureCostAFewRequestsThatMayNotBeRepeated)
{
    SimulatedLoad load = makeSpells();
    load.isRepeatable_ = false;
    const SimulationResult result = simulate(load);
    // Without evidence 0.3 x 0.85 of the requests are lost.
    BOOST_TEST(result.lost_ < result.asked_ * 0.08);
    BOOST_TEST(result.refused_ == 0);
    BOOST_TEST(result.sent_ == result.asked_);
}

BOOST_AUTO_TEST_CASE(spellsOfFailureCostRepeatableRequestsNearlyNothing)
{
    SimulatedLoad load = makeSpells();
    load.isRepeatable_ = true;
    const SimulationResult result = simulate(load);
    BOOST_TEST(result.lost_ < result.asked_ * 0.01);
    BOOST_TEST(result.sent_ - result.asked_ < result.asked_ * 0.2);
}

BOOST_AUTO_TEST_CASE(soundServersStayInUseWhileOthersFail)
{
    SimulatedLoad load = makeSpells();
    load.isRepeatable_ = false;
    const SimulationResult result = simulate(load);
    // The floor of the deployments: seven in ten, in each two seconds with many failures.
    BOOST_TEST(result.windowsBelowFloor_ <= result.windows_ / 50);
}

BOOST_AUTO_TEST_CASE(slowServersGetLessWork)
{
    SimulatedLoad load = makeUsualLoad();
    load.slowServers_ = 2;
    load.slowFactor_ = 8.0;
    const SimulationResult result = simulate(load);
    // The first request to a slow server can outlast its time before it is known as slow.
    BOOST_TEST(result.lost_ <= load.slowServers_ * seeds);
    BOOST_TEST(result.late_ < result.asked_ * 0.06);
}

BOOST_AUTO_TEST_CASE(aFloodIsRefusedAtOnceAndTheRestServed)
{
    SimulatedLoad load = makeUsualLoad();
    load.perSecond_ = 200.0; // Twice the capacity.
    const SimulationResult result = simulate(load);
    const double capacity = 8 * 2 / 0.16 * 30 * seeds;
    BOOST_TEST(result.served_ > capacity * 0.85);
    // What is sent is served: nothing runs out of its time at a server.
    BOOST_TEST(result.lost_ < result.asked_ * 0.02);
    BOOST_CHECK(result.longestRefusal_ < 100ms);
}

BOOST_AUTO_TEST_CASE(instancesThatDoNotSeeEachOthersWorkDoNotFillTheSameServers)
{
    // Twelve instances before 72 servers of four slots. In the burst 0.55 of the slots work; a
    // pool that knew all its queues would let nearly nothing wait.
    SimulatedLoad load;
    load.servers_ = 72;
    load.slots_ = 4;
    load.instances_ = 12;
    load.perSecond_ = 260.0;
    load.burst_ = 1.5;
    load.work_ = 400ms;
    load.target_ = 1s;
    load.timeout_ = 3s;
    load.isRepeatable_ = true;
    load.spellShare_ = 0.3;
    load.spellLength_ = 6s;
    load.spellFails_ = 0.75;
    const SimulationResult result = simulate(load);
    BOOST_TEST_MESSAGE("late " << result.late_ << " lost " << result.lost_ << " refused "
                               << result.refused_ << " of " << result.asked_);
    BOOST_TEST(result.late_ < result.asked_ * 0.08);
    BOOST_TEST(result.lost_ < result.asked_ * 0.02);
}
