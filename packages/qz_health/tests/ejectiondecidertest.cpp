// Ejection under the floor: one case for each failure that attacks it.
#include "qz_health/tests/ejectionfixture.h"

#include <boost/test/unit_test.hpp>

using namespace qz;
using namespace qz::test;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(Ejection, EjectionFixture)

BOOST_AUTO_TEST_CASE(ejectsASickServer)
{
    const auto driver = makeDriver(table_);
    settle(*driver);
    reportSick(*driver, 3);
    settle(*driver);
    BOOST_TEST(committedRow().isEjected(server(3)));
    BOOST_TEST(gates_[server(3)].isEjected(server(3)));
    BOOST_TEST(slotsInService() == 14);
}

BOOST_AUTO_TEST_CASE(stopsAtTheFloor)
{
    const auto driver = makeDriver(table_);
    settle(*driver);
    for (int i = 0; i < 5; ++i) {
        reportSick(*driver, i);
    }
    settle(*driver);
    BOOST_TEST(slotsInService() == 12);
}

BOOST_AUTO_TEST_CASE(twoDecidersAtTheSameMomentKeepTheFloor)
{
    const auto first = makeDriver(table_);
    const auto second = makeDriver(table_);
    settle(*first);
    settle(*second);
    reportSick(*first, 0);
    reportSick(*first, 1);
    reportSick(*second, 6);
    reportSick(*second, 7);
    first->step();
    second->step();
    table_.deliver();
    for (int i = 0; i < 5; ++i) {
        settle(*first);
        settle(*second);
        BOOST_TEST(slotsInService() >= 12);
    }
    BOOST_TEST(countPhase(EjectionPhase::Ejected) == 2);
}

BOOST_AUTO_TEST_CASE(lostAnswerThatTookEffectIsReadBack)
{
    const auto driver = makeDriver(table_);
    settle(*driver);
    reportSick(*driver, 0);
    reportSick(*driver, 1);
    table_.setFault(FakeTable::Fault::LoseAnswers);
    driver->step();
    table_.deliver();
    table_.setFault(FakeTable::Fault::None);
    clock_.advance(500ms);
    reportSick(*driver, 2);
    reportSick(*driver, 3);
    settle(*driver);
    BOOST_TEST(countPhase(EjectionPhase::Ejected) == 2);
    BOOST_TEST(committedRow().isEjected(server(0)));
    BOOST_TEST(slotsInService() == 12);
    BOOST_TEST(table_.commitCount() == 1U);
}

BOOST_AUTO_TEST_CASE(lostWriteIsWrittenAgain)
{
    const auto driver = makeDriver(table_);
    settle(*driver);
    reportSick(*driver, 0);
    table_.setFault(FakeTable::Fault::LoseCalls);
    driver->step();
    table_.deliver();
    BOOST_TEST(slotsInService() == 16);
    table_.setFault(FakeTable::Fault::None);
    clock_.advance(500ms);
    reportSick(*driver, 0);
    settle(*driver);
    BOOST_TEST(committedRow().isEjected(server(0)));
}

BOOST_AUTO_TEST_CASE(noEjectionAndNoForgettingWhileTheTableIsDown)
{
    const auto driver = makeDriver(table_);
    settle(*driver);
    reportSick(*driver, 0);
    settle(*driver);
    table_.setFault(FakeTable::Fault::Down);
    for (int i = 0; i < 100; ++i) {
        reportSick(*driver, 1);
        settle(*driver);
    }
    BOOST_TEST(gates_[server(0)].isEjected(server(0)));
    BOOST_TEST(slotsInService() == 14);
    const auto newcomer = makeDriver(table_);
    reportSick(*newcomer, 2);
    settle(*newcomer);
    BOOST_TEST(slotsInService() == 14);
}

BOOST_AUTO_TEST_CASE(plannedDrainsCount)
{
    setWithdrawal(4, Withdrawal::Draining);
    const auto driver = makeDriver(table_);
    settle(*driver);
    reportSick(*driver, 0);
    reportSick(*driver, 1);
    settle(*driver);
    BOOST_TEST(countPhase(EjectionPhase::Ejected) == 1);
    BOOST_TEST(slotsInService() == 12);
}

BOOST_AUTO_TEST_CASE(drainKnownToOneDeciderBindsTheOther)
{
    const auto unaware = makeDriver(table_);
    settle(*unaware);
    setWithdrawal(4, Withdrawal::Draining);
    setWithdrawal(5, Withdrawal::Draining);
    const auto aware = makeDriver(table_);
    settle(*aware);
    reportSick(*unaware, 0);
    settle(*unaware);
    settle(*unaware);
    BOOST_TEST(countPhase(EjectionPhase::Ejected) == 0);
    BOOST_TEST(slotsInService() == 12);
}

BOOST_AUTO_TEST_CASE(leavingServersTakeSickOnesBack)
{
    const auto driver = makeDriver(table_);
    settle(*driver);
    reportSick(*driver, 0);
    reportSick(*driver, 1);
    settle(*driver);
    BOOST_TEST(slotsInService() == 12);
    setWithdrawal(7, Withdrawal::Leaving);
    driver->decider().setMembers(members_, clock_.now());
    settle(*driver);
    BOOST_TEST(slotsInService() == 12);
    BOOST_TEST(countPhase(EjectionPhase::Ejected) == 1);
}

BOOST_AUTO_TEST_CASE(drainDuringAnOutageTakesSickOnesBack)
{
    const auto driver = makeDriver(table_);
    settle(*driver);
    reportSick(*driver, 0);
    reportSick(*driver, 1);
    settle(*driver);
    table_.setFault(FakeTable::Fault::Down);
    setWithdrawal(7, Withdrawal::Draining);
    driver->decider().setMembers(members_, clock_.now());
    settle(*driver);
    BOOST_TEST(slotsInService() == 12);
}

BOOST_AUTO_TEST_CASE(readmittedServerCountsAsOutUntilItsGateConfirms)
{
    const auto driver = makeDriver(table_);
    settle(*driver);
    reportSick(*driver, 0);
    reportSick(*driver, 1);
    settle(*driver);
    GateEjections &cutOff = gates_[server(0)];
    const GateEjections stale = cutOff;
    clock_.advance(HoldDown::base);
    for (int i = 0; i < 3; ++i) {
        driver->decider().onProbeResult(server(0), true, clock_.now());
    }
    settle(*driver);
    cutOff = stale; // the news of its re-admission never arrived
    reportSick(*driver, 5);
    settle(*driver);
    BOOST_TEST(committedRow().entryOf(server(0)).countsAsHealthy() == false);
    BOOST_TEST(committedRow().isEjected(server(5)) == false);
    cutOff = stale;
    BOOST_TEST(slotsInService() == 12);
    reportHealthy(*driver);
    reportHealthy(*driver);
    settle(*driver);
    BOOST_TEST(committedRow().entryOf(server(0)).countsAsHealthy());
}

BOOST_AUTO_TEST_CASE(probesReadmitAfterTheHoldDown)
{
    const auto driver = makeDriver(table_);
    settle(*driver);
    reportSick(*driver, 0);
    settle(*driver);
    BOOST_TEST(probed_.empty());
    clock_.advance(HoldDown::base);
    driver->step();
    BOOST_TEST(probed_.size() == 1U);
    driver->decider().onProbeResult(server(0), true, clock_.now());
    driver->decider().onProbeResult(server(0), true, clock_.now());
    driver->decider().onProbeResult(server(0), false, clock_.now());
    driver->decider().onProbeResult(server(0), true, clock_.now());
    settle(*driver);
    BOOST_TEST(gates_[server(0)].isEjected(server(0)));
    driver->decider().onProbeResult(server(0), true, clock_.now());
    driver->decider().onProbeResult(server(0), true, clock_.now());
    settle(*driver);
    BOOST_TEST(slotsInService() == 16);
}

BOOST_AUTO_TEST_CASE(holdDownGrowsForAFlappingServerAndDecays)
{
    const auto driver = makeDriver(table_);
    settle(*driver);
    std::chrono::milliseconds last{};
    for (int round = 0; round < 3; ++round) {
        reportSick(*driver, 0);
        settle(*driver);
        const auto holdDown = committedRow().entryOf(server(0)).holdDown_;
        BOOST_TEST(holdDown.count() >= 2 * last.count());
        BOOST_TEST(holdDown.count() > 0);
        last = holdDown;
        for (int i = 0; i < 3; ++i) {
            driver->decider().onProbeResult(server(0), true, clock_.now());
        }
        settle(*driver);
        reportHealthy(*driver);
        settle(*driver);
        BOOST_TEST(committedRow().entryOf(server(0)).countsAsHealthy());
    }
    BOOST_TEST(committedRow().entryOf(server(0)).recentEjections_ == 3U);
    clock_.advance(HoldDown::decayPeriod);
    settle(*driver);
    BOOST_TEST(committedRow().entryOf(server(0)).recentEjections_ == 2U);
}

BOOST_AUTO_TEST_CASE(gateActsOnlyOnRowsItCanTrust)
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
