// Ejections must keep the floor; one test case per kind of failure that could break it.
#include "qz_health/tests/ejectionfixture.h"

#include <boost/test/unit_test.hpp>

using namespace qz;
using namespace qz::test;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(Ejection, EjectionFixture)

BOOST_AUTO_TEST_CASE(ejectsUnhealthyServer)
{
    const auto driver = makeDriver(table_);
    stepUntilIdle(*driver);
    reportUnhealthy(*driver, 3);
    stepUntilIdle(*driver);
    BOOST_TEST(committedRow().isEjected(server(3)));
    BOOST_TEST(gates_[server(3)].isEjected(server(3)));
    BOOST_TEST(slotsInService() == 14);
}

BOOST_AUTO_TEST_CASE(doesNotEjectBelowFloor)
{
    const auto driver = makeDriver(table_);
    stepUntilIdle(*driver);
    for (int i = 0; i < 5; ++i) {
        reportUnhealthy(*driver, i);
    }
    stepUntilIdle(*driver);
    BOOST_TEST(slotsInService() == 12);
}

BOOST_AUTO_TEST_CASE(concurrentDecidersKeepFloor)
{
    const auto first = makeDriver(table_);
    const auto second = makeDriver(table_);
    stepUntilIdle(*first);
    stepUntilIdle(*second);
    reportUnhealthy(*first, 0);
    reportUnhealthy(*first, 1);
    reportUnhealthy(*second, 6);
    reportUnhealthy(*second, 7);
    first->step();
    second->step();
    table_.deliver();
    for (int i = 0; i < 5; ++i) {
        stepUntilIdle(*first);
        stepUntilIdle(*second);
        BOOST_TEST(slotsInService() >= 12);
    }
    BOOST_TEST(countPhase(EjectionPhase::Ejected) == 2);
}

BOOST_AUTO_TEST_CASE(readsRowAfterLostCommitResponse)
{
    const auto driver = makeDriver(table_);
    stepUntilIdle(*driver);
    reportUnhealthy(*driver, 0);
    reportUnhealthy(*driver, 1);
    table_.setFault(FakeTable::Fault::LoseAnswers);
    driver->step();
    table_.deliver();
    table_.setFault(FakeTable::Fault::None);
    clock_.advance(500ms);
    reportUnhealthy(*driver, 2);
    reportUnhealthy(*driver, 3);
    stepUntilIdle(*driver);
    BOOST_TEST(countPhase(EjectionPhase::Ejected) == 2);
    BOOST_TEST(committedRow().isEjected(server(0)));
    BOOST_TEST(slotsInService() == 12);
    BOOST_TEST(table_.commitCount() == 1U);
}

BOOST_AUTO_TEST_CASE(retriesLostWrite)
{
    const auto driver = makeDriver(table_);
    stepUntilIdle(*driver);
    reportUnhealthy(*driver, 0);
    table_.setFault(FakeTable::Fault::LoseCalls);
    driver->step();
    table_.deliver();
    BOOST_TEST(slotsInService() == 16);
    table_.setFault(FakeTable::Fault::None);
    clock_.advance(500ms);
    reportUnhealthy(*driver, 0);
    stepUntilIdle(*driver);
    BOOST_TEST(committedRow().isEjected(server(0)));
}

BOOST_AUTO_TEST_CASE(keepsEjectionsAndAddsNoneWhileTableIsDown)
{
    const auto driver = makeDriver(table_);
    stepUntilIdle(*driver);
    reportUnhealthy(*driver, 0);
    stepUntilIdle(*driver);
    table_.setFault(FakeTable::Fault::Down);
    for (int i = 0; i < 100; ++i) {
        reportUnhealthy(*driver, 1);
        stepUntilIdle(*driver);
    }
    BOOST_TEST(gates_[server(0)].isEjected(server(0)));
    BOOST_TEST(slotsInService() == 14);
    const auto newDriver = makeDriver(table_);
    reportUnhealthy(*newDriver, 2);
    stepUntilIdle(*newDriver);
    BOOST_TEST(slotsInService() == 14);
}

BOOST_AUTO_TEST_CASE(countsDrainingServersAsOut)
{
    setWithdrawal(4, Withdrawal::Draining);
    const auto driver = makeDriver(table_);
    stepUntilIdle(*driver);
    reportUnhealthy(*driver, 0);
    reportUnhealthy(*driver, 1);
    stepUntilIdle(*driver);
    BOOST_TEST(countPhase(EjectionPhase::Ejected) == 1);
    BOOST_TEST(slotsInService() == 12);
}

BOOST_AUTO_TEST_CASE(deciderCountsDrainWrittenByAnother)
{
    const auto withoutDrain = makeDriver(table_);
    stepUntilIdle(*withoutDrain);
    setWithdrawal(4, Withdrawal::Draining);
    setWithdrawal(5, Withdrawal::Draining);
    const auto withDrain = makeDriver(table_);
    stepUntilIdle(*withDrain);
    reportUnhealthy(*withoutDrain, 0);
    stepUntilIdle(*withoutDrain);
    stepUntilIdle(*withoutDrain);
    BOOST_TEST(countPhase(EjectionPhase::Ejected) == 0);
    BOOST_TEST(slotsInService() == 12);
}

BOOST_AUTO_TEST_CASE(readmitsForFloorWhenServerLeaves)
{
    const auto driver = makeDriver(table_);
    stepUntilIdle(*driver);
    reportUnhealthy(*driver, 0);
    reportUnhealthy(*driver, 1);
    stepUntilIdle(*driver);
    BOOST_TEST(slotsInService() == 12);
    setWithdrawal(7, Withdrawal::Leaving);
    driver->decider().setMembers(members_, clock_.now());
    stepUntilIdle(*driver);
    BOOST_TEST(slotsInService() == 12);
    BOOST_TEST(countPhase(EjectionPhase::Ejected) == 1);
}

BOOST_AUTO_TEST_CASE(suspendsEjectionForDrainWhileTableIsDown)
{
    const auto driver = makeDriver(table_);
    stepUntilIdle(*driver);
    reportUnhealthy(*driver, 0);
    reportUnhealthy(*driver, 1);
    stepUntilIdle(*driver);
    table_.setFault(FakeTable::Fault::Down);
    setWithdrawal(7, Withdrawal::Draining);
    driver->decider().setMembers(members_, clock_.now());
    stepUntilIdle(*driver);
    BOOST_TEST(slotsInService() == 12);
}

BOOST_AUTO_TEST_CASE(readmittedServerCountsAsOutUntilGateConfirms)
{
    const auto driver = makeDriver(table_);
    stepUntilIdle(*driver);
    reportUnhealthy(*driver, 0);
    reportUnhealthy(*driver, 1);
    stepUntilIdle(*driver);
    GateEjections &disconnectedGate = gates_[server(0)];
    const GateEjections stale = disconnectedGate;
    clock_.advance(HoldDown::base);
    for (int i = 0; i < 3; ++i) {
        driver->decider().onProbeResult(server(0), true, clock_.now());
    }
    stepUntilIdle(*driver);
    disconnectedGate = stale; // the message about the re-admission is lost
    reportUnhealthy(*driver, 5);
    stepUntilIdle(*driver);
    BOOST_TEST(committedRow().entryOf(server(0)).countsAsHealthy() == false);
    BOOST_TEST(committedRow().isEjected(server(5)) == false);
    disconnectedGate = stale;
    BOOST_TEST(slotsInService() == 12);
    reportHealthy(*driver);
    reportHealthy(*driver);
    stepUntilIdle(*driver);
    BOOST_TEST(committedRow().entryOf(server(0)).countsAsHealthy());
}

BOOST_AUTO_TEST_CASE(readmitsAfterHoldDownAndSuccessfulProbes)
{
    const auto driver = makeDriver(table_);
    stepUntilIdle(*driver);
    reportUnhealthy(*driver, 0);
    stepUntilIdle(*driver);
    BOOST_TEST(probeRequests_.empty());
    clock_.advance(HoldDown::base);
    driver->step();
    BOOST_TEST(probeRequests_.size() == 1U);
    driver->decider().onProbeResult(server(0), true, clock_.now());
    driver->decider().onProbeResult(server(0), true, clock_.now());
    driver->decider().onProbeResult(server(0), false, clock_.now());
    driver->decider().onProbeResult(server(0), true, clock_.now());
    stepUntilIdle(*driver);
    BOOST_TEST(gates_[server(0)].isEjected(server(0)));
    driver->decider().onProbeResult(server(0), true, clock_.now());
    driver->decider().onProbeResult(server(0), true, clock_.now());
    stepUntilIdle(*driver);
    BOOST_TEST(slotsInService() == 16);
}

BOOST_AUTO_TEST_CASE(holdDownGrowsWithRecentEjections)
{
    const auto driver = makeDriver(table_);
    stepUntilIdle(*driver);
    std::chrono::milliseconds last{};
    for (int round = 0; round < 3; ++round) {
        reportUnhealthy(*driver, 0);
        stepUntilIdle(*driver);
        const auto holdDown = committedRow().entryOf(server(0)).holdDown_;
        BOOST_TEST(holdDown.count() >= 2 * last.count());
        BOOST_TEST(holdDown.count() > 0);
        last = holdDown;
        for (int i = 0; i < 3; ++i) {
            driver->decider().onProbeResult(server(0), true, clock_.now());
        }
        stepUntilIdle(*driver);
        reportHealthy(*driver);
        stepUntilIdle(*driver);
        BOOST_TEST(committedRow().entryOf(server(0)).countsAsHealthy());
    }
    BOOST_TEST(committedRow().entryOf(server(0)).recentEjections_ == 3U);
    clock_.advance(HoldDown::decayPeriod);
    stepUntilIdle(*driver);
    BOOST_TEST(committedRow().entryOf(server(0)).recentEjections_ == 2U);
}

BOOST_AUTO_TEST_CASE(gateEnforcesOnlyReadOrNewerRows)
{
    EjectionRow row;
    row.servers_[server(1)].phase_ = EjectionPhase::Ejected;
    GateEjections gate;
    gate.onRowPushed(row, 7);
    BOOST_TEST(!gate.isEjected(server(1)));
    gate.onRowRead(row, 7);
    BOOST_TEST(gate.isEjected(server(1)));
    gate.onRowPushed(EjectionRow(), 8);
    gate.onRowPushed(row, 7);
    BOOST_TEST(!gate.isEjected(server(1)));
    BOOST_TEST(gate.version() == 8U);
    gate.suspendEjection(server(1), 9);
    gate.onRowPushed(row, 9);
    BOOST_TEST(!gate.isEjected(server(1)));
    gate.onRowPushed(row, 10);
    BOOST_TEST(gate.isEjected(server(1)));
}

BOOST_AUTO_TEST_SUITE_END()
