// Tests of claiming, settling and keeping, under the faults of the table.
#include "claimfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace qz;
using namespace std::chrono_literals;
using Fault = FakeTable::Fault;

namespace {

/// Reads work; writes are lost and have no effect.
class LosingTable : public Table
{
public:
    explicit LosingTable(FakeTable &table)
        : table_(table)
    {
    }

    void read(const std::string &key, ReadDone done) override { table_.read(key, std::move(done)); }

    void commit(std::vector<TableWrite> writes, CommitDone done) override
    {
        ++commits_;
        table_.setFault(Fault::LoseCalls);
        table_.commit(std::move(writes), std::move(done));
        table_.setFault(Fault::None);
    }

    int commits_ = 0;

private:
    FakeTable &table_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(claimClient, ClaimFixture)

BOOST_AUTO_TEST_CASE(aClaimIsTriedALimitedNumberOfTimes)
{
    LosingTable losing(table_);
    const auto a = makeClient("a", losing);
    BOOST_TEST(failsWith(claimNow(*a), ErrorKind::ClaimUndecided));
    BOOST_TEST(losing.commits_ == ClaimLimits{}.maxWrites_);
}

BOOST_AUTO_TEST_CASE(aClaimIsNotTriedAgainAfterItsAnswerLimit)
{
    LosingTable losing(table_);
    const auto a = makeClient("a", losing);
    Answer answer;
    claim(*a, answer);
    timers_.advance(ClaimLimits{}.retryTimeLimit_);
    settle();
    BOOST_TEST(failsWith(answer.value(), ErrorKind::ClaimUndecided));
    BOOST_TEST(losing.commits_ == 1);
}

BOOST_AUTO_TEST_CASE(theSameKeyAtTwoInstancesAtOnceIsGrantedOnce)
{
    const auto a = makeClient("a");
    const auto b = makeClient("b");
    Answer first;
    Answer second;
    claim(*a, first);
    claim(*b, second);
    settle();
    BOOST_TEST(first.value().has_value());
    BOOST_TEST(failsWith(second.value(), ErrorKind::AlreadyClaimed));
    BOOST_TEST(second.value().error().message_ == "the key was claimed by a; its state is claimed");
}

BOOST_AUTO_TEST_CASE(theSameKeyTwiceAtOneInstanceIsGrantedOnce)
{
    const auto a = makeClient("a");
    Answer first;
    Answer second;
    claim(*a, first);
    claim(*a, second);
    settle();
    BOOST_TEST(first.value().has_value());
    BOOST_TEST(failsWith(second.value(), ErrorKind::AlreadyClaimed));
}

BOOST_AUTO_TEST_CASE(aLostAnswerIsSettledByReadingBack)
{
    const auto a = makeClient("a");
    Answer answer;
    claim(*a, answer);
    table_.setFault(Fault::LoseAnswers);
    timers_.advance(2ms); // The claim is written; its answer is lost.
    table_.setFault(Fault::None);
    settle();
    BOOST_TEST(answer.value().has_value());
    BOOST_TEST(answer.value().value().version_ != 0U);
}

BOOST_AUTO_TEST_CASE(aLostWriteIsMadeAgainUnderTheSameToken)
{
    const auto a = makeClient("a");
    Answer answer;
    claim(*a, answer);
    table_.setFault(Fault::LoseCalls);
    timers_.advance(2ms);
    table_.setFault(Fault::None);
    settle();
    BOOST_TEST(answer.value().has_value());
    BOOST_TEST((row().value().token_ == answer.value().value().token_));
}

BOOST_AUTO_TEST_CASE(aClaimIsUndecidedIfReadingBackFailsToo)
{
    const auto a = makeClient("a");
    table_.setFault(Fault::LoseAnswers);
    BOOST_TEST(failsWith(claimNow(*a), ErrorKind::ClaimUndecided));
    BOOST_TEST(row().has_value());
}

BOOST_AUTO_TEST_CASE(theRowOfAnUndecidedClaimIsReleasedLater)
{
    const auto a = makeClient("a");
    const auto b = makeClient("b");
    table_.setFault(Fault::LoseAnswers);
    BOOST_TEST(failsWith(claimNow(*a), ErrorKind::ClaimUndecided));
    table_.setFault(Fault::None);
    BOOST_TEST(failsWith(claimNow(*b), ErrorKind::AlreadyClaimed));
    settle(7s);
    BOOST_TEST(claimNow(*b).has_value());
}

BOOST_AUTO_TEST_CASE(nothingIsWrittenWhileTheTableIsDown)
{
    const auto a = makeClient("a");
    table_.setFault(Fault::Down);
    BOOST_TEST(failsWith(claimNow(*a), ErrorKind::ClaimStoreUnavailable));
    BOOST_TEST(!row().has_value());
    table_.setFault(Fault::None);
    BOOST_TEST(claimNow(*a).has_value());
}

BOOST_AUTO_TEST_CASE(aRefusalAfterALostAnswerIsNotTakenForNoRow)
{
    const auto a = makeClient("a");
    Answer answer;
    claim(*a, answer);
    table_.setFault(Fault::LoseAnswers);
    timers_.advance(2ms);
    table_.setFault(Fault::Down);
    settle();
    BOOST_TEST(failsWith(answer.value(), ErrorKind::ClaimUndecided));
}

BOOST_AUTO_TEST_CASE(aRefusalAfterALostWriteIsNotTakenForNoRow)
{
    const auto a = makeClient("a");
    Answer answer;
    claim(*a, answer);
    table_.setFault(Fault::LoseCalls);
    timers_.advance(2ms);
    table_.setFault(Fault::None);
    table_.deliver(); // The row is read and absent; the claim is to be written again.
    table_.setFault(Fault::Down);
    settle();
    BOOST_TEST(failsWith(answer.value(), ErrorKind::ClaimUndecided));
}

BOOST_AUTO_TEST_CASE(aSettledNotRunFreesTheKeyForOneRetry)
{
    const auto a = makeClient("a");
    const auto b = makeClient("b");
    a->settle(claimNow(*a).value(), ClaimResult::NotRun);
    settle();
    BOOST_TEST((row().value().state_ == ClaimState::Released));
    BOOST_TEST(claimNow(*b).has_value());
    BOOST_TEST(failsWith(claimNow(*a), ErrorKind::AlreadyClaimed));
}

BOOST_AUTO_TEST_CASE(aRunRequestStaysClaimedAndSaysSo)
{
    const auto a = makeClient("a");
    const auto b = makeClient("b");
    a->settle(claimNow(*a).value(), ClaimResult::Ran);
    settle();
    const auto second = claimNow(*b);
    BOOST_TEST(failsWith(second, ErrorKind::AlreadyClaimed));
    BOOST_TEST(second.error().message_ == "the key was claimed by a; its state is ran");
}

BOOST_AUTO_TEST_CASE(anUnknownOutcomeStaysClaimed)
{
    const auto a = makeClient("a");
    const auto b = makeClient("b");
    a->settle(claimNow(*a).value(), ClaimResult::Unknown);
    settle();
    BOOST_TEST(failsWith(claimNow(*b), ErrorKind::AlreadyClaimed));
}

BOOST_AUTO_TEST_CASE(aLostReleaseOnlyBlocksTheKey)
{
    const auto a = makeClient("a");
    const auto b = makeClient("b");
    const ClaimGrant grant = claimNow(*a).value();
    table_.setFault(Fault::LoseCalls);
    a->settle(grant, ClaimResult::NotRun);
    settle();
    table_.setFault(Fault::None);
    BOOST_TEST(failsWith(claimNow(*b), ErrorKind::AlreadyClaimed));
}

BOOST_AUTO_TEST_CASE(aGrantEndsByTheClockOfItsClaimNotOfItsAnswer)
{
    const auto a = makeClient("a");
    const TimePoint start = clock_.now();
    Answer answer;
    claim(*a, answer);
    timers_.advance(1500ms); // The table is slow.
    settle();
    BOOST_TEST((answer.value().value().sendBefore_ == start + ClaimLimits{}.sendWindow_));
}

BOOST_AUTO_TEST_CASE(aClaimWhoseWindowPassedIsNotGranted)
{
    const auto a = makeClient("a");
    const auto b = makeClient("b");
    Answer answer;
    claim(*a, answer);
    timers_.advance(2ms);
    clock_.advance(ClaimLimits{}.sendWindow_); // The claimer is paused.
    settle();
    BOOST_TEST(failsWith(answer.value(), ErrorKind::ClaimUndecided));
    settle(7s);
    BOOST_TEST(claimNow(*b).has_value());
}

BOOST_AUTO_TEST_CASE(aRowIsErasedAfterItsTimeAndNotBefore)
{
    const auto a = makeClient("a");
    BOOST_TEST(claimNow(*a).has_value());
    timers_.advance(keep_ - 1min);
    settle();
    BOOST_TEST(row().has_value());
    timers_.advance(1min);
    settle(2s);
    BOOST_TEST(!row().has_value());
    BOOST_TEST(a->counts().pendingErasures_ == 0U);
}

BOOST_AUTO_TEST_CASE(aShortKeepIsRaisedAboveTheSendWindow)
{
    const auto a = makeClient("a");
    Answer answer;
    a->claim(workspace_, key_, 1s, [&](const auto &result) { answer = result; });
    settle();
    timers_.advance(ClaimLimits{}.sendWindow_ * (minRetentionInSendWindows - 1));
    settle(2s);
    BOOST_TEST(row().has_value());
}

BOOST_AUTO_TEST_CASE(resultsAreRecordedAtABoundedRateAndReleasesGoFirst)
{
    const auto a = makeClient("a");
    const ClaimLimits limits;
    std::vector<ClaimGrant> grants;
    for (std::size_t i = 0; i < 2 * limits.updatesPerSecond_; ++i) {
        const IdempotencyKey key(std::to_string(i));
        a->claim(workspace_, key, keep_,
                 [&](const auto &result) { grants.push_back(result.value()); });
    }
    settle();
    for (const ClaimGrant &grant : grants) {
        a->settle(grant, &grant == &grants.back() ? ClaimResult::NotRun : ClaimResult::Ran);
    }
    settle(100ms);
    const auto countOf = [&](ClaimState state) {
        return std::count_if(grants.begin(), grants.end(), [&](const ClaimGrant &grant) {
            const auto found = table_.peek(claimRowKey(grant.workspace_, grant.key_));
            return parseClaimRow(found->value_).value().state_ == state;
        });
    };
    const auto allowed = static_cast<long>(limits.updatesPerSecond_);
    BOOST_TEST(countOf(ClaimState::Released) == 1);
    BOOST_TEST(countOf(ClaimState::Claimed) == allowed);
    settle(1s);
    BOOST_TEST(countOf(ClaimState::Claimed) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
