// Tests of the batches of claim writes.
#include "qz_once/batching/claimbatcher.h"
#include "claimfixture.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace qz;
using namespace std::chrono_literals;

namespace {

struct BatcherFixture : ClaimFixture
{
    void write(const std::string &key)
    {
        batcher_.write(
                TableWrite{ key, 0, "{}" }, [this, key](const Result<RowWriteOutcome> &outcome) {
                    if (!outcome.has_value()) {
                        failed_.push_back(key);
                    } else {
                        (outcome.value() == RowWriteOutcome::Applied ? applied_ : conflicting_)
                                .push_back(key);
                    }
                });
    }

    ClaimBatchLimits limits_;
    ClaimBatcher batcher_{ table_, timers_, clock_, limits_ };
    std::vector<std::string> applied_;
    std::vector<std::string> conflicting_;
    std::vector<std::string> failed_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(claimBatcher, BatcherFixture)

BOOST_AUTO_TEST_CASE(writesWithinAShortTimeAreOneTransaction)
{
    for (int i = 0; i < 10; ++i) {
        write("once/w/" + std::to_string(i));
    }
    runFor();
    BOOST_TEST(applied_.size() == 10U);
    BOOST_TEST(table_.commitCount() == 1U);
}

BOOST_AUTO_TEST_CASE(anIdleBatcherWaitsForMoreWrites)
{
    write("once/w/a");
    timers_.advance(limits_.maxBatchDelay_ / 2);
    write("once/w/b");
    runFor();
    BOOST_TEST(applied_.size() == 2U);
    BOOST_TEST(table_.commitCount() == 1U);
}

BOOST_AUTO_TEST_CASE(aFullBatchIsCommittedWithoutDelay)
{
    for (std::size_t i = 0; i < limits_.maxBatchSize_; ++i) {
        write("once/w/" + std::to_string(i));
    }
    timers_.runDue();
    table_.deliver();
    BOOST_TEST(applied_.size() == limits_.maxBatchSize_);
}

BOOST_AUTO_TEST_CASE(conflictingWritesFailAndTheOthersAreCommittedAgain)
{
    write("once/w/taken");
    runFor();
    for (const char *key : { "once/w/a", "once/w/taken", "once/w/b" }) {
        write(key);
    }
    runFor();
    BOOST_TEST((conflicting_ == std::vector<std::string>{ "once/w/taken" }));
    BOOST_TEST((applied_ == std::vector<std::string>{ "once/w/taken", "once/w/a", "once/w/b" }));
}

BOOST_AUTO_TEST_CASE(twoWritesOfOneRowAreNeverInOneBatch)
{
    write("once/w/a");
    write("once/w/a");
    runFor();
    BOOST_TEST(applied_.size() == 1U);
    BOOST_TEST(conflicting_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(batchesObserveTheirIntervalAndTheirSize)
{
    constexpr std::size_t writes = 1000;
    for (std::size_t i = 0; i < writes; ++i) {
        write("once/w/" + std::to_string(i));
    }
    runFor(100ms);
    BOOST_TEST(table_.commitCount() <= 6U);
    runFor(1s);
    BOOST_TEST(applied_.size() == writes);
    BOOST_TEST(table_.commitCount()
               == (writes + limits_.maxBatchSize_ - 1) / limits_.maxBatchSize_);
}

BOOST_AUTO_TEST_CASE(aFullQueueRefusesWrites)
{
    for (std::size_t i = 0; i <= limits_.maxQueuedWrites_; ++i) {
        write("once/w/" + std::to_string(i));
    }
    BOOST_TEST(failed_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(aLostResponseFailsTheWholeBatch)
{
    table_.setFault(FakeTable::Fault::LoseAnswers);
    write("once/w/a");
    write("once/w/b");
    runFor();
    BOOST_TEST(failed_.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
