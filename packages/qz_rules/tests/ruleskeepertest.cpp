// Tests of single decisions of the keeper and the ledger of voters.
#include "qz_rules/spread/ruleskeeper.h"

#include "qz_core/time/manualclock.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

namespace {

const qz::VoterId a("a/1");
const qz::VoterId b("b/1");
const qz::VoterId c("c/1");

qz::RulesHead makeHead(qz::RulesStamp stamp, std::vector<qz::VoterId> voters,
                       std::vector<qz::VoterId> previous = {})
{
    qz::RulesHead head;
    head.stamp_ = stamp;
    head.voters_ = std::move(voters);
    head.previousVoters_ = std::move(previous);
    return head;
}

qz::RulesAnswer makeAnswer(qz::RulesStamp stamp)
{
    qz::RulesAnswer answer;
    answer.digest_ = qz::RulesDigest{ stamp, stamp };
    return answer;
}

/// An instance "a" that has adopted version 1 of three voters.
struct Fixture
{
    Fixture() { adopt({ 1, 0 }); }

    void adopt(qz::RulesStamp stamp)
    {
        qz::RulesRevision revision;
        revision.head_ = makeHead(stamp, { a, b, c });
        keeper_.adopt(std::move(revision));
    }

    qz::ManualClock clock_;
    qz::RulesKeeper keeper_{ a, qz::RulesSpreadSettings{}, clock_.now() };
};

} // namespace

BOOST_FIXTURE_TEST_CASE(anAnswerIsAsOldAsItsQuestion, Fixture)
{
    const qz::TimePoint sentAt = clock_.now();
    clock_.advance(4s);
    keeper_.tick(clock_.now());
    keeper_.takeAnswer(b, makeAnswer({ 1, 0 }), sentAt);
    BOOST_TEST(keeper_.isInForce(clock_.now()));
    clock_.advance(1s);
    keeper_.tick(clock_.now());
    BOOST_TEST(!keeper_.isInForce(clock_.now()));
}

BOOST_FIXTURE_TEST_CASE(aRelayedStatementIsOlderByItsAge, Fixture)
{
    keeper_.tick(clock_.now());
    qz::RulesAnswer answer = makeAnswer({ 1, 0 });
    answer.vouchers_ = { qz::RulesVoucher{ 2, { { 1, 0 }, { 1, 0 } }, 4s } };
    keeper_.takeAnswer(qz::VoterId("x/1"), answer, clock_.now());
    BOOST_TEST(keeper_.isInForce(clock_.now()));
    clock_.advance(1s);
    BOOST_TEST(!keeper_.isInForce(clock_.now()));
}

BOOST_FIXTURE_TEST_CASE(aVoterThatKnowsMoreDoesNotVouch, Fixture)
{
    keeper_.tick(clock_.now());
    keeper_.takeAnswer(c, makeAnswer({ 2, 0 }), clock_.now()); // Its head is still on its way.
    keeper_.tick(clock_.now());
    BOOST_TEST(!keeper_.isInForce(clock_.now()));
    keeper_.takeAnswer(b, makeAnswer({ 1, 0 }), clock_.now());
    BOOST_TEST(keeper_.isInForce(clock_.now()));
}

BOOST_FIXTURE_TEST_CASE(statementsAboutAnotherHeadAreNotTaken, Fixture)
{
    adopt({ 1, 0 });
    keeper_.takeTableHead(makeHead({ 1, 1 }, { a, c, b }), clock_.now() - 10s);
    keeper_.tick(clock_.now());
    qz::RulesAnswer answer = makeAnswer({ 1, 0 }); // Its index 1 is b, not c.
    answer.vouchers_ = { qz::RulesVoucher{ 1, { { 1, 0 }, { 1, 0 } }, 0s } };
    keeper_.takeAnswer(qz::VoterId("x/1"), answer, clock_.now());
    BOOST_TEST(!keeper_.isInForce(clock_.now()));
}

BOOST_FIXTURE_TEST_CASE(aLowerHeadOfTheTableProvesNothing, Fixture)
{
    adopt({ 2, 0 });
    keeper_.takeTableHead(makeHead({ 1, 0 }, { a, b, c }), clock_.now());
    BOOST_TEST(!keeper_.isInForce(clock_.now()));
    BOOST_TEST(keeper_.known().stamp_.version_ == 2U);
    adopt({ 1, 0 });
    BOOST_TEST(keeper_.adopted()->head_.stamp_.version_ == 2U);
}

BOOST_AUTO_TEST_CASE(aVoterHoldsAHeadOnlyWithItsDocument)
{
    qz::VoterLedger ledger(60s);
    qz::ManualClock clock;
    ledger.setRoster({ a });
    ledger.take(a, qz::RulesDigest{ { 2, 0 }, { 1, 0 } }, clock.now());
    BOOST_TEST(!ledger.isHeld({ a }, { 2, 0 }));
    ledger.take(a, qz::RulesDigest{ { 2, 0 }, { 2, 0 } }, clock.now());
    BOOST_TEST(ledger.isHeld({ a }, { 2, 0 }));
}

BOOST_FIXTURE_TEST_CASE(aHeadIsEstablishedByBothSetsOfVoters, Fixture)
{
    const qz::VoterId d("d/1");
    keeper_.takeTableHead(makeHead({ 1, 1 }, { a, d }, { a, b, c }), clock_.now());
    keeper_.tick(clock_.now());
    keeper_.takeAnswer(d, makeAnswer({ 1, 1 }), clock_.now());
    BOOST_TEST(!keeper_.isEstablished());
    BOOST_TEST(!keeper_.canPublish(clock_.now()));
    keeper_.takeAnswer(b, makeAnswer({ 1, 1 }), clock_.now());
    BOOST_TEST(keeper_.isEstablished());
    BOOST_TEST(keeper_.canPublish(clock_.now()));
    clock_.advance(6s);
    BOOST_TEST(!keeper_.canPublish(clock_.now())); // Nobody has been heard of late.
}

BOOST_AUTO_TEST_CASE(aVoterIsGoneAfterAMinuteOutsideTheList)
{
    qz::VoterLedger ledger(60s);
    qz::ManualClock clock;
    ledger.setRoster({ b });
    ledger.setListed({}, {}, clock.now());
    clock.advance(59s);
    ledger.setListed({}, {}, clock.now());
    BOOST_TEST(!ledger.isHeld({ b }, { 1, 0 }));
    clock.advance(1h); // An old list says nothing of now.
    BOOST_TEST(!ledger.isHeld({ b }, { 1, 0 }));
    ledger.setListed({}, {}, clock.now());
    BOOST_TEST(ledger.isHeld({ b }, { 1, 0 }));
}
