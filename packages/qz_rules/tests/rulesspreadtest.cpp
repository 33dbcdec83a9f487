// Tests of how rules come into force: partitions, outages, restarts and their combinations.
#include "qz_rules/tests/ruleharness.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace std::chrono_literals;
using qz::ErrorKind;
using qz::RuleHarness;

namespace {

constexpr std::size_t fleet = 32;

/// A fleet that has worked by version 1 for a while.
void start(RuleHarness &harness)
{
    harness.run(3s);
    BOOST_REQUIRE(harness.publishNow(0, 0).has_value());
    harness.run(5s);
    BOOST_REQUIRE(harness.countInForce(1) == harness.size());
}

void checkPromises(const RuleHarness &harness)
{
    BOOST_TEST(harness.falls_ == 0U);
    BOOST_TEST(harness.outdated_ == 0U);
}

void cutFromTable(RuleHarness &harness, std::size_t index, bool isCut)
{
    harness.node(index).table_.losesCalls_ = isCut;
}

} // namespace

BOOST_AUTO_TEST_CASE(withoutAnyVersionNewWorkIsRefused)
{
    RuleHarness harness(3);
    harness.run(10s);
    BOOST_TEST((harness.node(0).service_->inForce().error().kind_ == ErrorKind::RulesNotInForce));
}

BOOST_AUTO_TEST_CASE(anAcceptedVersionIsInForceEverywhereWithinTheLimit)
{
    RuleHarness harness(fleet);
    start(harness);
    BOOST_REQUIRE(harness.publishNow(7, 1).has_value());
    harness.run(RuleHarness::limit);
    BOOST_TEST(harness.countInForce(2) == fleet);
    checkPromises(harness);
}

BOOST_AUTO_TEST_CASE(anInstanceOnItsOwnWorksAndPublishes)
{
    RuleHarness harness(1);
    start(harness);
    BOOST_TEST(harness.publishNow(0, 1).has_value());
    harness.setOutage(true);
    harness.run(1min);
    BOOST_TEST(harness.countInForce(2) == 1U);
}

BOOST_AUTO_TEST_CASE(twoOperatorsAtTwoInstancesLeaveOneVersion)
{
    RuleHarness harness(fleet);
    start(harness);
    qz::PublishOutcome first;
    qz::PublishOutcome second;
    harness.publish(3, 1, first);
    harness.publish(9, 1, second);
    harness.run(15s);
    BOOST_REQUIRE((first.has_value() && second.has_value()));
    BOOST_TEST(first->has_value() != second->has_value());
    const auto &loser = first->has_value() ? *second : *first;
    BOOST_TEST((loser.error().kind_ == ErrorKind::RulesConflict));
    BOOST_TEST(harness.countInForce(2) == fleet);
}

BOOST_AUTO_TEST_CASE(workGoesOnWhileTheWholePlatformIsAwayForHours)
{
    RuleHarness harness(fleet);
    start(harness);
    harness.setOutage(true);
    for (int minutes = 0; minutes < 120; minutes += 10) {
        harness.run(10min);
        BOOST_REQUIRE(harness.countInForce(1) == fleet);
    }
    const auto refused = harness.publishNow(0, 1);
    BOOST_TEST((refused.error().kind_ == ErrorKind::StoreUnavailable));
}

BOOST_AUTO_TEST_CASE(anOutageRightAfterAcceptanceDoesNotStopTheSpread)
{
    RuleHarness harness(fleet);
    start(harness);
    BOOST_REQUIRE(harness.publishNow(5, 1).has_value());
    harness.setOutage(true);
    harness.stop(5); // And the only one that the operator spoke to.
    harness.run(RuleHarness::limit);
    BOOST_TEST(harness.countInForce(2) == fleet - 1);
    harness.run(5min);
    BOOST_TEST(harness.countInForce(2) == fleet - 1);
    checkPromises(harness);
}

BOOST_AUTO_TEST_CASE(anInstanceStartedDuringAnOutageTakesTheRulesOfItsPeers)
{
    RuleHarness harness(fleet);
    start(harness);
    harness.setOutage(true);
    const std::size_t newcomer = harness.addNode();
    harness.run(6s);
    BOOST_TEST(harness.inForce(newcomer) == 1U);
}

BOOST_AUTO_TEST_CASE(anInstanceStartedDuringAnOutageWithoutPeersRefuses)
{
    RuleHarness harness(fleet);
    start(harness);
    harness.setOutage(true);
    const std::size_t newcomer = harness.addNode();
    for (std::size_t i = 0; i < newcomer; ++i) {
        harness.cut(i, newcomer);
        harness.cut(newcomer, i);
    }
    harness.run(1min);
    BOOST_TEST(harness.inForce(newcomer) == 0U);
    harness.heal();
    harness.run(6s);
    BOOST_TEST(harness.inForce(newcomer) == 1U);
}

BOOST_AUTO_TEST_CASE(anInstanceCutOffFromTheTableAloneWorksOn)
{
    RuleHarness harness(fleet);
    start(harness);
    cutFromTable(harness, 4, true);
    harness.run(1min);
    BOOST_REQUIRE(harness.publishNow(8, 1).has_value());
    harness.run(RuleHarness::limit);
    BOOST_TEST(harness.inForce(4) == 2U);
}

BOOST_AUTO_TEST_CASE(anInstanceCutOffFromItsPeersWorksOnByTheTable)
{
    for (const bool isInbound : { true, false }) { // One way each.
        RuleHarness harness(fleet);
        start(harness);
        for (std::size_t i = 1; i < fleet; ++i) {
            isInbound ? harness.cut(i, 0) : harness.cut(0, i);
        }
        harness.run(20s);
        BOOST_TEST(harness.inForce(0) == 1U);
        BOOST_REQUIRE(harness.publishNow(8, 1).has_value());
        harness.run(RuleHarness::limit);
        BOOST_TEST(harness.inForce(0) == 2U);
        checkPromises(harness);
    }
}

BOOST_AUTO_TEST_CASE(anInstanceThatHearsNoPeerReadsTheTableBeforeItsProofIsTooOld)
{
    RuleHarness harness(fleet);
    start(harness);
    harness.seesCuts_ = false; // It still takes the others for alive.
    harness.split(1);
    for (int i = 0; i < 200; ++i) {
        harness.run(100ms);
        BOOST_REQUIRE(harness.inForce(0) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(anInstanceCutOffFromBothRefusesWithinTheLimitAndComesBack)
{
    RuleHarness harness(fleet);
    start(harness);
    harness.split(1);
    cutFromTable(harness, 0, true);
    harness.run(RuleHarness::limit);
    BOOST_TEST(harness.inForce(0) == 0U);
    BOOST_REQUIRE(harness.publishNow(8, 1).has_value());
    harness.heal();
    harness.run(6s);
    BOOST_TEST(harness.inForce(0) == 2U); // By its peers; the table is still cut.
    checkPromises(harness);
}

BOOST_AUTO_TEST_CASE(aGroupThatIsCutOffCannotKeepItselfFresh)
{
    RuleHarness harness(fleet);
    start(harness);
    constexpr std::size_t group = 15;
    harness.split(group);
    for (std::size_t i = 0; i < group; ++i) {
        cutFromTable(harness, i, true);
    }
    harness.run(RuleHarness::limit);
    BOOST_TEST(harness.countInForce(1) == fleet - group);
    BOOST_REQUIRE(harness.publishNow(fleet - 1, 1).has_value());
    harness.run(1min);
    BOOST_TEST(harness.countInForce(2) == fleet - group);
    BOOST_TEST(harness.countInForce(0) == group);
    harness.heal();
    harness.run(6s);
    BOOST_TEST(harness.countInForce(2) == fleet);
    checkPromises(harness);
}

BOOST_AUTO_TEST_CASE(aMinorityThatHasTheTableCannotHaveAVersionAccepted)
{
    for (const qz::Duration wait : { 1s, 3s, 10s }) { // Before and after the cut is noticed.
        RuleHarness harness(fleet);
        start(harness);
        constexpr std::size_t group = 10;
        harness.split(group);
        for (std::size_t i = group; i < fleet; ++i) {
            cutFromTable(harness, i, true);
        }
        harness.run(wait);
        const auto result = harness.publishNow(0, 1);
        const bool isNoticed = wait > RuleHarness::limit;
        BOOST_TEST((result.error().kind_
                    == (isNoticed ? ErrorKind::StoreUnavailable : ErrorKind::StoreTimeout)));
        harness.run(10s);
        const std::size_t byOld = isNoticed ? fleet : fleet - group;
        BOOST_TEST(harness.countInForce(1) == byOld); // By the table, or by the majority.
        harness.heal();
        harness.run(8s);
        BOOST_TEST(harness.countInForce(isNoticed ? 1 : 2) == fleet);
        checkPromises(harness);
    }
}

BOOST_AUTO_TEST_CASE(noVersionIsWrittenOnTopOfVotersThatAreNotEstablished)
{
    constexpr std::size_t old = 5;
    constexpr std::size_t added = 26;
    RuleHarness harness(old);
    start(harness);
    for (std::size_t i = 0; i < added; ++i) {
        harness.addNode();
    }
    while (harness.table_.commitCount() < 2) { // Until the voters are renewed.
        harness.step();
    }
    harness.split(old);
    for (std::size_t i = 0; i < old; ++i) {
        cutFromTable(harness, i, true);
    }
    harness.run(6s);
    BOOST_TEST(!harness.publishNow(old + 1, 1).has_value());
    harness.run(10s);
    BOOST_TEST(harness.countInForce(1) == old + added); // The old voters vouch for each other.
    checkPromises(harness);
    harness.heal();
    harness.run(8s);
    BOOST_TEST(harness.publishNow(old + 1, 1).has_value());
    checkPromises(harness);
}

BOOST_AUTO_TEST_CASE(whatWasWrittenByAnAuthorThatIsThenCutOffIsNotCalledAccepted)
{
    RuleHarness harness(fleet);
    start(harness);
    qz::PublishOutcome outcome;
    harness.publish(5, 1, outcome);
    while (harness.table_.commitCount() < 2 && !outcome) {
        harness.step();
    }
    for (std::size_t i = 0; i < fleet; ++i) {
        harness.cut(5, i);
        harness.cut(i, 5);
    }
    harness.setOutage(true);
    harness.run(1min);
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((outcome->error().kind_ == ErrorKind::StoreTimeout));
    BOOST_TEST(harness.countInForce(1) == fleet - 1);
    harness.setOutage(false);
    harness.run(10s);
    BOOST_TEST(harness.countInForce(2) == fleet);
    checkPromises(harness);
}

BOOST_AUTO_TEST_CASE(aStalePeerBringsNobodyBack)
{
    RuleHarness harness(fleet);
    start(harness);
    harness.split(1);
    cutFromTable(harness, 0, true);
    BOOST_REQUIRE(harness.publishNow(8, 1).has_value());
    harness.run(10s);
    harness.setOutage(true);
    harness.heal();
    for (std::size_t i = 1; i < fleet; ++i) {
        harness.cut(i, 0); // It speaks and does not hear.
    }
    harness.seesCuts_ = false;
    harness.run(10s);
    BOOST_TEST(harness.countInForce(2) == fleet - 1);
    BOOST_TEST(harness.inForce(0) == 0U);
    harness.heal();
    harness.run(6s);
    BOOST_TEST(harness.countInForce(2) == fleet);
    checkPromises(harness);
}

BOOST_AUTO_TEST_CASE(tableReadsDoNotGrowWithTheFleet)
{
    const auto readsOf = [](std::size_t count) {
        RuleHarness harness(count);
        start(harness);
        const auto total = [&harness] {
            std::size_t reads = 0;
            for (std::size_t i = 0; i < harness.size(); ++i) {
                reads += harness.node(i).table_.reads_;
            }
            return reads;
        };
        const std::size_t before = total();
        harness.run(20s);
        return total() - before;
    };
    const std::size_t expected =
            std::size_t{ 3 } * 21; // Three pollers, one read a second each, both ends.
    BOOST_TEST(readsOf(16) <= expected);
    BOOST_TEST(readsOf(100) <= expected);
}

BOOST_AUTO_TEST_CASE(votersAreRenewedSoThatAnOutageAfterReplacingEverybodyIsSurvived)
{
    RuleHarness harness(8);
    start(harness);
    for (std::size_t i = 0; i < 8; ++i) {
        harness.restart(i);
        harness.run(25s);
    }
    harness.setOutage(true);
    harness.run(10min);
    BOOST_TEST(harness.countInForce(1) == 8U);
    harness.setOutage(false);
    BOOST_TEST(harness.publishNow(0, 1).has_value());
    checkPromises(harness);
}

BOOST_AUTO_TEST_CASE(aFleetThatIsReplacedAtOnceStartsAgainByTheTable)
{
    RuleHarness harness(8);
    start(harness);
    for (std::size_t i = 0; i < 8; ++i) {
        harness.restart(i);
    }
    harness.run(10s);
    BOOST_TEST(harness.countInForce(1) == 8U);
    harness.run(20s);
    BOOST_TEST(harness.publishNow(0, 1).has_value());
}

BOOST_AUTO_TEST_CASE(aRandomScheduleOfFaultsKeepsThePromises)
{
    constexpr int schedules = 60;
    constexpr int events = 25;
    constexpr std::size_t count = 7;
    constexpr std::size_t grownCount = 11;
    std::size_t acceptedTotal = 0;
    for (unsigned seed = 1; seed <= schedules; ++seed) {
        std::mt19937_64 random(seed);
        RuleHarness harness(count);
        start(harness);
        std::deque<qz::PublishOutcome> outcomes;
        for (int event = 0; event < events; ++event) {
            const std::size_t any = random() % harness.size();
            switch (random() % 8) {
            case 0:
                harness.split(1 + random() % (harness.size() - 1));
                break;
            case 1:
                harness.heal();
                break;
            case 2:
                harness.setOutage(random() % 2 == 0);
                break;
            case 3:
                cutFromTable(harness, any, random() % 2 == 0);
                break;
            case 4:
                harness.cut(any, random() % harness.size());
                break;
            case 5:
                harness.restart(any);
                break;
            case 6:
                harness.node(any).table_.losesAnswers_ = random() % 2 == 0;
                break;
            default:
                if (harness.size() < grownCount) {
                    harness.addNode();
                }
                break;
            }
            outcomes.emplace_back();
            const std::size_t author = random() % harness.size();
            harness.publish(author, harness.node(author).service_->digest().known_.version_,
                            outcomes.back());
            harness.run(std::chrono::milliseconds(100 * (random() % 120)));
        }
        harness.run(15s);
        acceptedTotal += harness.accepted_;
        BOOST_TEST(harness.falls_ == 0U, "seed " << seed);
        BOOST_TEST(harness.outdated_ == 0U, "seed " << seed);
    }
    BOOST_TEST(acceptedTotal > std::size_t{ 2 } * schedules); // Not by accepting nothing.
}
