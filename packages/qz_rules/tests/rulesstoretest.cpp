// Tests of publishing: two authors, lost answers of each step, and stops in between.
#include "qz_rules/store/rulesstore.h"

#include "qz_core/time/manualtimers.h"
#include "qz_platform/tests/fakeobjectstore.h"
#include "qz_platform/tests/faketable.h"
#include "qz_rules/tests/documents.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using qz::ErrorKind;
using Fault = qz::FakeTable::Fault;
using ObjectFault = qz::FakeObjectStore::Fault;

namespace {

using Outcome = std::optional<qz::Result<qz::RulesRevision>>;

struct Platform
{
    qz::FakeTable table_;
    qz::FakeObjectStore objects_;
    qz::ManualClock clock_;
    qz::ManualTimers timers_{ clock_ };
    qz::RulesStore store_{ table_, objects_, timers_ };

    /// Starts an attempt; @p outcome outlives it.
    void publish(qz::RulesVersion expected, const std::string &token, Outcome &outcome,
                 std::string document = qz::readExample("red-andina.json"))
    {
        qz::Publication publication;
        publication.expected_ = expected;
        publication.base_ = qz::RulesStamp{ expected, 0 };
        publication.document_ = std::move(document);
        publication.author_ = "ana";
        publication.attemptToken_ = token;
        publication.voters_ = { qz::VoterId("a/1") };
        store_.publish(std::move(publication), [&outcome](auto result) { outcome = result; });
    }

    /// Ends the calls made so far and runs the pauses that they led to.
    void step(qz::Duration time = 250ms)
    {
        timers_.advance(time);
        objects_.deliver();
        table_.deliver();
    }

    void finish(const Outcome &outcome)
    {
        for (int i = 0; i < 100 && !outcome; ++i) {
            step();
        }
        BOOST_REQUIRE(outcome.has_value());
    }

    qz::RulesHead head()
    {
        std::optional<qz::RulesHead> head;
        store_.readHead([&head](auto result) { head = result.value(); });
        table_.deliver();
        return *head;
    }
};

ErrorKind kindOf(const Outcome &outcome)
{
    BOOST_REQUIRE(!outcome->has_value());
    return outcome->error().kind_;
}

/// Runs the steps of an attempt up to the one that makes the commit: the base is read, the
/// objects are put, and the next step commits.
void runUntilCommit(Platform &platform)
{
    platform.timers_.advance(0ms); // Reads the head.
    platform.table_.deliver();     // Puts the objects.
    BOOST_REQUIRE(platform.objects_.hasPending());
}

} // namespace

BOOST_AUTO_TEST_CASE(aPublishedVersionIsTheHeadAndCanBeFetched)
{
    Platform platform;
    Outcome first;
    platform.publish(0, "t1", first);
    platform.finish(first);
    BOOST_REQUIRE(first->has_value());
    BOOST_TEST(platform.head().stamp_.version_ == 1U);
    BOOST_TEST(platform.head().hash_ == first->value().document_->hash());
    std::string manifest;
    platform.store_.fetch(platform.head().hash_, [&](auto object) { manifest = object.value(); });
    platform.objects_.deliver();
    BOOST_TEST(manifest == *first->value().document_->objects().at(platform.head().hash_));
}

BOOST_AUTO_TEST_CASE(aBadDocumentTouchesNothing)
{
    Platform platform;
    Outcome outcome;
    platform.publish(0, "t1", outcome, "{}");
    platform.finish(outcome);
    BOOST_TEST((kindOf(outcome) == ErrorKind::InvalidRules));
    BOOST_TEST(platform.objects_.size() == 0U);
}

BOOST_AUTO_TEST_CASE(ofTwoOperatorsAtOnceOneIsToldWhichVersionToLookAt)
{
    Platform platform;
    Outcome first;
    Outcome second;
    platform.publish(0, "t1", first);
    platform.publish(0, "t2", second);
    platform.finish(first);
    platform.finish(second);
    BOOST_TEST(first->has_value() != second->has_value());
    const auto &loser = first->has_value() ? second : first;
    BOOST_TEST((kindOf(loser) == ErrorKind::RulesConflict));
    BOOST_TEST(loser->error().message_ == "version 0 is not the newest; look at version 1");
    BOOST_TEST(platform.head().stamp_.version_ == 1U);
}

BOOST_AUTO_TEST_CASE(anAuthorOfAnOldVersionGetsAConflict)
{
    Platform platform;
    Outcome first;
    platform.publish(0, "t1", first);
    platform.finish(first);
    Outcome late;
    platform.publish(0, "t2", late);
    platform.finish(late);
    BOOST_TEST((kindOf(late) == ErrorKind::RulesConflict));
}

BOOST_AUTO_TEST_CASE(aLostAnswerOfThePutIsPutAgain)
{
    for (const ObjectFault fault : { ObjectFault::LoseAnswers, ObjectFault::LoseCalls }) {
        Platform platform;
        Outcome outcome;
        platform.publish(0, "t1", outcome);
        platform.objects_.setFault(fault);
        platform.step();
        platform.objects_.setFault(ObjectFault::None);
        platform.finish(outcome);
        BOOST_TEST(outcome->has_value());
    }
}

BOOST_AUTO_TEST_CASE(anObjectStoreThatStaysAwayMeansNotPublished)
{
    Platform platform;
    platform.objects_.setFault(ObjectFault::LoseAnswers);
    Outcome outcome;
    platform.publish(0, "t1", outcome);
    platform.finish(outcome);
    BOOST_TEST((kindOf(outcome) == ErrorKind::StoreUnavailable));
    BOOST_TEST(!platform.head().isSet());
}

BOOST_AUTO_TEST_CASE(aLostAnswerOfTheCommitIsSettledByReadingBack)
{
    for (const Fault fault : { Fault::LoseAnswers, Fault::LoseCalls }) {
        Platform platform;
        Outcome outcome;
        platform.publish(0, "t1", outcome);
        runUntilCommit(platform);
        platform.table_.setFault(fault);
        platform.objects_.deliver(); // Commits.
        platform.table_.setFault(Fault::None);
        platform.finish(outcome);
        BOOST_TEST(outcome->has_value());
        BOOST_TEST(platform.table_.commitCount() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(aLostCommitThatAnotherAuthorOvertookIsAConflict)
{
    Platform platform;
    Outcome outcome;
    platform.publish(0, "t1", outcome);
    runUntilCommit(platform);
    platform.table_.setFault(Fault::LoseCalls);
    platform.objects_.deliver();
    platform.table_.setFault(Fault::None);
    Outcome other;
    platform.publish(0, "t2", other);
    platform.finish(other);
    platform.finish(outcome);
    BOOST_TEST(other->has_value());
    BOOST_TEST((kindOf(outcome) == ErrorKind::RulesConflict));
}

BOOST_AUTO_TEST_CASE(aLostAnswerIsSettledByTheHistoryOnceTheHeadHasMovedOn)
{
    Platform platform;
    Outcome outcome;
    platform.publish(0, "t1", outcome);
    runUntilCommit(platform);
    platform.table_.setFault(Fault::LoseAnswers);
    platform.objects_.deliver();
    platform.table_.setFault(Fault::None);
    Outcome next;
    platform.publish(1, "t2", next);
    platform.timers_.advance(0ms);
    for (int i = 0; i < 9; ++i) { // Without letting the first author's pause end.
        platform.table_.deliver();
        platform.objects_.deliver();
        platform.timers_.advance(1ms);
    }
    BOOST_TEST(platform.head().stamp_.version_ == 2U);
    platform.finish(outcome);
    BOOST_REQUIRE(outcome->has_value());
    BOOST_TEST(outcome->value().head_.stamp_.version_ == 1U);
}

BOOST_AUTO_TEST_CASE(aCommitThatMayHaveHappenedIsNeverToldAsNotPublished)
{
    for (const Fault fault : { Fault::LoseAnswers, Fault::LoseCalls }) {
        Platform platform;
        Outcome outcome;
        platform.publish(0, "t1", outcome);
        runUntilCommit(platform);
        platform.table_.setFault(fault);
        platform.objects_.deliver();
        platform.table_.setFault(Fault::Down); // An outage right after it.
        platform.finish(outcome);
        BOOST_TEST((kindOf(outcome) == ErrorKind::StoreTimeout));
    }
}

BOOST_AUTO_TEST_CASE(anOutageBeforeTheCommitMeansNotPublished)
{
    Platform platform;
    Outcome outcome;
    platform.publish(0, "t1", outcome);
    runUntilCommit(platform);
    platform.table_.setFault(Fault::Down);
    platform.finish(outcome);
    BOOST_TEST((kindOf(outcome) == ErrorKind::StoreUnavailable));
    platform.table_.setFault(Fault::None);
    BOOST_TEST(!platform.head().isSet());
}

BOOST_AUTO_TEST_CASE(aWriterThatStopsBetweenPutAndCommitChangesNothing)
{
    Platform platform;
    Outcome stopped;
    platform.publish(0, "t1", stopped);
    runUntilCommit(platform); // And never again.
    BOOST_TEST(platform.objects_.size() > 0U);
    BOOST_TEST(!platform.head().isSet());
    Outcome other;
    qz::RulesStore store(platform.table_, platform.objects_, platform.timers_);
    platform.publish(0, "t2", other);
    platform.finish(other);
    BOOST_TEST(platform.head().stamp_.version_ == 1U);
}

BOOST_AUTO_TEST_CASE(anAttemptThatIsMadeAgainIsRecognisedAlsoWhenTheHeadHasMovedOn)
{
    Platform platform;
    for (const qz::RulesVersion later : { 0, 1 }) {
        Outcome outcome;
        platform.publish(later, "t" + std::to_string(later), outcome);
        platform.finish(outcome);
        Outcome again;
        platform.publish(0, "t0", again);
        platform.finish(again);
        BOOST_REQUIRE(again->has_value());
        BOOST_TEST(again->value().head_.stamp_.version_ == 1U);
    }
}

BOOST_AUTO_TEST_CASE(aRenewalKeepsTheVersionAndFencesAnAttemptOnTheOldHead)
{
    Platform platform;
    Outcome first;
    platform.publish(0, "t1", first);
    platform.finish(first);
    std::optional<qz::Result<qz::RulesHead>> renewed;
    platform.store_.renewVoters(platform.head(), { qz::VoterId("b/1") },
                                [&](auto head) { renewed = head; });
    platform.table_.deliver();
    BOOST_REQUIRE(renewed->has_value());
    BOOST_TEST((platform.head().stamp_ == qz::RulesStamp{ 1, 1 }));
    BOOST_TEST((platform.head().previousVoters_ == first->value().head_.voters_));
    BOOST_TEST(platform.head().attemptToken_ == "t1");
    Outcome late;
    platform.publish(1, "t2", late); // Knows epoch 0 only.
    platform.finish(late);
    BOOST_TEST((kindOf(late) == ErrorKind::StoreUnavailable));
}
