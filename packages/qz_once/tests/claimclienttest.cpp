// Tests of claims, their results and their retention, with faults of the table.
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

/// A table whose reads succeed, and whose writes are lost without an effect.
class WriteLosingTable : public Table
{
public:
    explicit WriteLosingTable(FakeTable &table)
        : table_(table)
    {
    }

    void read(const std::string &key, ReadDone done) override { table_.read(key, std::move(done)); }

    void commit(std::vector<TableWrite> writes, CommitDone done) override
    {
        ++commitCount_;
        table_.setFault(Fault::LoseCalls);
        table_.commit(std::move(writes), std::move(done));
        table_.setFault(Fault::None);
    }

    int commitCount_ = 0;

private:
    FakeTable &table_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(claimClient, ClaimFixture)

BOOST_AUTO_TEST_CASE(aClaimIsWrittenALimitedNumberOfTimes)
{
    WriteLosingTable losing(table_);
    const auto a = makeClient("a", losing);
    BOOST_TEST(failsWith(claimAndWait(*a), ErrorKind::ClaimUndecided));
    BOOST_TEST(losing.commitCount_ == ClaimLimits{}.maxWrites_);
}

BOOST_AUTO_TEST_CASE(aClaimIsNotWrittenAgainAfterItsRetryTimeLimit)
{
    WriteLosingTable losing(table_);
    const auto a = makeClient("a", losing);
    PendingClaim pending;
    claim(*a, pending);
    timers_.advance(ClaimLimits{}.retryTimeLimit_);
    runFor();
    BOOST_TEST(failsWith(pending.value(), ErrorKind::ClaimUndecided));
    BOOST_TEST(losing.commitCount_ == 1);
}

BOOST_AUTO_TEST_CASE(theSameKeyAtTwoInstancesAtOnceIsGrantedOnce)
{
    const auto a = makeClient("a");
    const auto b = makeClient("b");
    PendingClaim first;
    PendingClaim second;
    claim(*a, first);
    claim(*b, second);
    runFor();
    BOOST_TEST(first.value().has_value());
    BOOST_TEST(failsWith(second.value(), ErrorKind::AlreadyClaimed));
    BOOST_TEST(second.value().error().message_ == "the key was claimed by a; its state is claimed");
}

BOOST_AUTO_TEST_CASE(theSameKeyTwiceAtOneInstanceIsGrantedOnce)
{
    const auto a = makeClient("a");
    PendingClaim first;
    PendingClaim second;
    claim(*a, first);
    claim(*a, second);
    runFor();
    BOOST_TEST(first.value().has_value());
    BOOST_TEST(failsWith(second.value(), ErrorKind::AlreadyClaimed));
}

BOOST_AUTO_TEST_CASE(aLostResponseIsResolvedByReadingTheRow)
{
    const auto a = makeClient("a");
    PendingClaim pending;
    claim(*a, pending);
    table_.setFault(Fault::LoseAnswers);
    timers_.advance(2ms); // The claim is written, but the response is lost.
    table_.setFault(Fault::None);
    runFor();
    BOOST_TEST(pending.value().has_value());
    BOOST_TEST(pending.value().value().version_ != 0U);
}

BOOST_AUTO_TEST_CASE(aLostWriteIsRepeatedWithTheSameToken)
{
    const auto a = makeClient("a");
    PendingClaim pending;
    claim(*a, pending);
    table_.setFault(Fault::LoseCalls);
    timers_.advance(2ms);
    table_.setFault(Fault::None);
    runFor();
    BOOST_TEST(pending.value().has_value());
    BOOST_TEST((row().value().token_ == pending.value().value().token_));
}

BOOST_AUTO_TEST_CASE(aClaimIsUndecidedIfReadingTheRowFailsToo)
{
    const auto a = makeClient("a");
    table_.setFault(Fault::LoseAnswers);
    BOOST_TEST(failsWith(claimAndWait(*a), ErrorKind::ClaimUndecided));
    BOOST_TEST(row().has_value());
}

BOOST_AUTO_TEST_CASE(theRowOfAnUndecidedClaimIsReleasedLater)
{
    const auto a = makeClient("a");
    const auto b = makeClient("b");
    table_.setFault(Fault::LoseAnswers);
    BOOST_TEST(failsWith(claimAndWait(*a), ErrorKind::ClaimUndecided));
    table_.setFault(Fault::None);
    BOOST_TEST(failsWith(claimAndWait(*b), ErrorKind::AlreadyClaimed));
    runFor(7s);
    BOOST_TEST(claimAndWait(*b).has_value());
}

BOOST_AUTO_TEST_CASE(nothingIsWrittenWhileTheTableIsDown)
{
    const auto a = makeClient("a");
    table_.setFault(Fault::Down);
    BOOST_TEST(failsWith(claimAndWait(*a), ErrorKind::ClaimStoreUnavailable));
    BOOST_TEST(!row().has_value());
    table_.setFault(Fault::None);
    BOOST_TEST(claimAndWait(*a).has_value());
}

BOOST_AUTO_TEST_CASE(aRefusalAfterALostResponseDoesNotMeanThatNoRowExists)
{
    const auto a = makeClient("a");
    PendingClaim pending;
    claim(*a, pending);
    table_.setFault(Fault::LoseAnswers);
    timers_.advance(2ms);
    table_.setFault(Fault::Down);
    runFor();
    BOOST_TEST(failsWith(pending.value(), ErrorKind::ClaimUndecided));
}

BOOST_AUTO_TEST_CASE(aRefusalAfterALostWriteDoesNotMeanThatNoRowExists)
{
    const auto a = makeClient("a");
    PendingClaim pending;
    claim(*a, pending);
    table_.setFault(Fault::LoseCalls);
    timers_.advance(2ms);
    table_.setFault(Fault::None);
    table_.deliver(); // The row is read and is absent; the claim will be written again.
    table_.setFault(Fault::Down);
    runFor();
    BOOST_TEST(failsWith(pending.value(), ErrorKind::ClaimUndecided));
}

BOOST_AUTO_TEST_CASE(theResultNotRunReleasesTheKeyForOneRetry)
{
    const auto a = makeClient("a");
    const auto b = makeClient("b");
    a->reportResult(claimAndWait(*a).value(), ClaimResult::NotRun);
    runFor();
    BOOST_TEST((row().value().state_ == ClaimState::Released));
    BOOST_TEST(claimAndWait(*b).has_value());
    BOOST_TEST(failsWith(claimAndWait(*a), ErrorKind::AlreadyClaimed));
}

BOOST_AUTO_TEST_CASE(theKeyOfARequestThatRanStaysClaimed)
{
    const auto a = makeClient("a");
    const auto b = makeClient("b");
    a->reportResult(claimAndWait(*a).value(), ClaimResult::Ran);
    runFor();
    const auto second = claimAndWait(*b);
    BOOST_TEST(failsWith(second, ErrorKind::AlreadyClaimed));
    BOOST_TEST(second.error().message_ == "the key was claimed by a; its state is ran");
}

BOOST_AUTO_TEST_CASE(theKeyOfAnUnknownOutcomeStaysClaimed)
{
    const auto a = makeClient("a");
    const auto b = makeClient("b");
    a->reportResult(claimAndWait(*a).value(), ClaimResult::Unknown);
    runFor();
    BOOST_TEST(failsWith(claimAndWait(*b), ErrorKind::AlreadyClaimed));
}

BOOST_AUTO_TEST_CASE(aLostReleaseOnlyBlocksTheKey)
{
    const auto a = makeClient("a");
    const auto b = makeClient("b");
    const ClaimGrant grant = claimAndWait(*a).value();
    table_.setFault(Fault::LoseCalls);
    a->reportResult(grant, ClaimResult::NotRun);
    runFor();
    table_.setFault(Fault::None);
    BOOST_TEST(failsWith(claimAndWait(*b), ErrorKind::AlreadyClaimed));
}

BOOST_AUTO_TEST_CASE(theSendWindowStartsWithTheClaimNotWithItsGrant)
{
    const auto a = makeClient("a");
    const TimePoint start = clock_.now();
    PendingClaim pending;
    claim(*a, pending);
    timers_.advance(1500ms); // The table is slow.
    runFor();
    BOOST_TEST((pending.value().value().sendBefore_ == start + ClaimLimits{}.sendWindow_));
}

BOOST_AUTO_TEST_CASE(aClaimWhoseSendWindowHasPassedIsNotGranted)
{
    const auto a = makeClient("a");
    const auto b = makeClient("b");
    PendingClaim pending;
    claim(*a, pending);
    timers_.advance(2ms);
    clock_.advance(ClaimLimits{}.sendWindow_); // The claimer was paused.
    runFor();
    BOOST_TEST(failsWith(pending.value(), ErrorKind::ClaimUndecided));
    runFor(7s);
    BOOST_TEST(claimAndWait(*b).has_value());
}

BOOST_AUTO_TEST_CASE(aRowIsErasedAfterItsRetentionTimeAndNotBefore)
{
    const auto a = makeClient("a");
    BOOST_TEST(claimAndWait(*a).has_value());
    timers_.advance(retention_ - 1min);
    runFor();
    BOOST_TEST(row().has_value());
    timers_.advance(1min);
    runFor(2s);
    BOOST_TEST(!row().has_value());
    BOOST_TEST(a->counts().pendingErasures_ == 0U);
}

BOOST_AUTO_TEST_CASE(aShortRetentionTimeIsRaisedAboveTheSendWindow)
{
    const auto a = makeClient("a");
    PendingClaim pending;
    a->claim(workspace_, key_, 1s, [&](const auto &result) { pending = result; });
    runFor();
    timers_.advance(ClaimLimits{}.sendWindow_ * (minRetentionInSendWindows - 1));
    runFor(2s);
    BOOST_TEST(row().has_value());
}

BOOST_AUTO_TEST_CASE(resultsAreRecordedAtALimitedRateAndReleasesFirst)
{
    const auto a = makeClient("a");
    const ClaimLimits limits;
    std::vector<ClaimGrant> grants;
    for (std::size_t i = 0; i < 2 * limits.updatesPerSecond_; ++i) {
        const IdempotencyKey key(std::to_string(i));
        a->claim(workspace_, key, retention_,
                 [&](const auto &result) { grants.push_back(result.value()); });
    }
    runFor();
    for (const ClaimGrant &grant : grants) {
        a->reportResult(grant, &grant == &grants.back() ? ClaimResult::NotRun : ClaimResult::Ran);
    }
    runFor(100ms);
    const auto countOf = [&](ClaimState state) {
        return std::count_if(grants.begin(), grants.end(), [&](const ClaimGrant &grant) {
            const auto found = table_.peek(claimRowKey(grant.workspace_, grant.key_));
            return parseClaimRow(found->value_).value().state_ == state;
        });
    };
    const auto allowed = static_cast<long>(limits.updatesPerSecond_);
    BOOST_TEST(countOf(ClaimState::Released) == 1);
    BOOST_TEST(countOf(ClaimState::Claimed) == allowed);
    runFor(1s);
    BOOST_TEST(countOf(ClaimState::Claimed) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
