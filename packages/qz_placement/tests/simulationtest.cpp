// Simulates load on a small model of servers with temporary failures, slow servers and floods.
// Time is simulated. The tests compare the served, lost, late and sent requests with fixed bounds.
#include "qz_placement/tests/serversimulation.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using qz::testing::SimulatedLoad;
using qz::testing::SimulationResult;

namespace {

constexpr int seeds = 8;

/// Eight servers with two slots each at a third of their capacity, as in typical deployments.
SimulatedLoad makeTypicalLoad()
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

/// At any time about 30 % of the servers immediately fail most requests for several seconds.
SimulatedLoad makeLoadWithFailures()
{
    SimulatedLoad load = makeTypicalLoad();
    load.failingShare_ = 0.3;
    load.failurePeriod_ = 9s;
    load.failureProbability_ = 0.85;
    return load;
}

/// Four instances share 19 servers, of which about 30 % accept most requests for several seconds
/// and never answer them.
SimulatedLoad makeLoadWithSilence()
{
    SimulatedLoad load;
    load.servers_ = 19;
    load.slots_ = 3;
    load.instances_ = 4;
    load.perSecond_ = 76.0;
    load.work_ = 240ms;
    load.target_ = 1s;
    load.timeout_ = 2500ms;
    load.failingShare_ = 0.3;
    load.failurePeriod_ = 9s;
    load.failureProbability_ = 0.75;
    load.isSilent_ = true;
    return load;
}

SimulationResult simulate(const SimulatedLoad &load)
{
    SimulationResult total;
    for (int seed = 1; seed <= seeds; ++seed) {
        total += qz::testing::simulate(load, static_cast<unsigned>(seed));
    }
    return total;
}

} // namespace

BOOST_AUTO_TEST_CASE(healthyServersAnswerAllRequestsInTime)
{
    const SimulationResult result = simulate(makeTypicalLoad());
    BOOST_TEST(result.lost_ == 0);
    BOOST_TEST(result.refused_ == 0);
    BOOST_TEST(result.served_ > 0);
    BOOST_TEST(result.late_ < result.served_ / 100);
}

BOOST_AUTO_TEST_CASE(temporaryFailuresLoseFewNonRepeatableRequests)
{
    SimulatedLoad load = makeLoadWithFailures();
    load.isRepeatable_ = false;
    const SimulationResult result = simulate(load);
    // If servers were chosen regardless of their health, 0.3 x 0.85 of the requests would be lost.
    BOOST_TEST(result.lost_ < result.offered_ * 0.08);
    BOOST_TEST(result.refused_ == 0);
    BOOST_TEST(result.sent_ == result.offered_);
}

BOOST_AUTO_TEST_CASE(temporaryFailuresLoseHardlyAnyRepeatableRequests)
{
    SimulatedLoad load = makeLoadWithFailures();
    load.isRepeatable_ = true;
    const SimulationResult result = simulate(load);
    BOOST_TEST(result.lost_ < result.offered_ * 0.01);
    BOOST_TEST(result.sent_ - result.offered_ < result.offered_ * 0.2);
}

BOOST_AUTO_TEST_CASE(healthyServersStayInUseWhileOthersFail)
{
    SimulatedLoad load = makeLoadWithFailures();
    load.isRepeatable_ = false;
    const SimulationResult result = simulate(load);
    // The floor of the deployments: 70 % of the healthy servers are in use in each window of two
    // seconds with many failures.
    BOOST_TEST(result.windowsBelowFloor_ <= result.windows_ / 50);
}

BOOST_AUTO_TEST_CASE(silentServersLoseFewNonRepeatableRequests)
{
    const SimulationResult result = simulate(makeLoadWithSilence());
    BOOST_TEST_MESSAGE("lost " << result.lost_ << " late " << result.late_ << " of "
                               << result.offered_);
    // The bound for servers that fail at once; 0.3 x 0.75 regardless of the servers' health.
    BOOST_TEST(result.lost_ < result.offered_ * 0.08);
    BOOST_TEST(result.refused_ == 0);
    BOOST_TEST(result.sent_ == result.offered_);
}

BOOST_AUTO_TEST_CASE(silentServersLoseHardlyAnyRepeatableRequests)
{
    SimulatedLoad load = makeLoadWithSilence();
    load.isRepeatable_ = true;
    const SimulationResult result = simulate(load);
    BOOST_TEST_MESSAGE("lost " << result.lost_ << " late " << result.late_ << " of "
                               << result.offered_);
    BOOST_TEST(result.lost_ < result.offered_ * 0.01);
    // Half of the requests at silent servers would be late if the second attempt came too late.
    BOOST_TEST(result.late_ < result.offered_ * 0.03);
}

BOOST_AUTO_TEST_CASE(shortRequestsDoNotMakeLongOnesLookUnanswered)
{
    SimulatedLoad load = makeLoadWithSilence();
    load.isRepeatable_ = true;
    load.perSecond_ *= 2.0;
    load.shortShare_ = 0.5;
    const SimulationResult result = simulate(load);
    BOOST_TEST_MESSAGE("lost " << result.lost_ << " late " << result.late_ << " of "
                               << result.offered_);
    BOOST_TEST(result.lost_ < result.offered_ * 0.01);
    BOOST_TEST(result.late_ < result.offered_ * 0.03);
}

BOOST_AUTO_TEST_CASE(slowServersGetFewerRequests)
{
    SimulatedLoad load = makeTypicalLoad();
    load.slowServers_ = 2;
    load.slowFactor_ = 8.0;
    const SimulationResult result = simulate(load);
    // The first request to a slow server can time out before the server is known to be slow.
    BOOST_TEST(result.lost_ <= load.slowServers_ * seeds);
    BOOST_TEST(result.late_ < result.offered_ * 0.06);
}

BOOST_AUTO_TEST_CASE(inAFloodExcessRequestsAreRefusedImmediately)
{
    SimulatedLoad load = makeTypicalLoad();
    load.perSecond_ = 200.0; // Twice the capacity.
    const SimulationResult result = simulate(load);
    const double capacity = 8 * 2 / 0.16 * 30 * seeds;
    BOOST_TEST(result.served_ > capacity * 0.85);
    // Requests that are sent are answered: they do not time out at a server.
    BOOST_TEST(result.lost_ < result.offered_ * 0.02);
    BOOST_CHECK(result.longestRefusal_ < 100ms);
}

BOOST_AUTO_TEST_CASE(independentInstancesDoNotOverloadTheSameServers)
{
    // Twelve instances share 72 servers with four slots each. During the burst 55 % of the slots
    // are busy; with knowledge of all queues, hardly any request would have to wait.
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
    load.failingShare_ = 0.3;
    load.failurePeriod_ = 6s;
    load.failureProbability_ = 0.75;
    const SimulationResult result = simulate(load);
    BOOST_TEST_MESSAGE("late " << result.late_ << " lost " << result.lost_ << " refused "
                               << result.refused_ << " of " << result.offered_);
    BOOST_TEST(result.late_ < result.offered_ * 0.08);
    BOOST_TEST(result.lost_ < result.offered_ * 0.02);
}
