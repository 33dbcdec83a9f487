// Tests of the baseline policies, ServiceTimes and WaitCorrection.
#include "queuedriver.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace qz;
using std::chrono::milliseconds;

QueueDriver makeDriver(AdmissionPolicy policy)
{
    return QueueDriver(AdmissionQueue::Builder()
                               .setRanks({ { 0.5 }, { 0.2 } })
                               .setMaxQueued(3)
                               .setPolicy(std::move(policy))
                               .build());
}

} // namespace

BOOST_AUTO_TEST_SUITE(baselines)

BOOST_AUTO_TEST_CASE(fifoServesInOrderOfArrivalAndDisplacesNothing)
{
    QueueDriver driver = makeDriver(FifoPolicy());
    driver.offer({ 1 }).value();
    driver.offer({ 0 }).value();
    driver.offer({ 1 }).value();
    BOOST_TEST(!driver.offer({ 0 }).has_value());
    BOOST_TEST(driver.runOne(milliseconds(10)).id_ == 1U);
    BOOST_TEST(driver.runOne(milliseconds(10)).id_ == 2U);
    BOOST_TEST(driver.runOne(milliseconds(10)).id_ == 3U);
}

BOOST_AUTO_TEST_CASE(strictPriorityStarvesALessUrgentRank)
{
    QueueDriver driver = makeDriver(StrictPriorityPolicy());
    driver.offer({ 1 }).value();
    for (int i = 0; i < 1000; ++i) {
        driver.offer({ 0 }).value();
        BOOST_TEST_REQUIRE(driver.runOne(milliseconds(10)).rank_ == 0U);
    }
    BOOST_TEST(driver.runOne(milliseconds(10)).id_ == 1U);
}

BOOST_AUTO_TEST_CASE(strictPriorityDisplacesTheNewestRequestOfTheLeastUrgentRank)
{
    QueueDriver driver = makeDriver(StrictPriorityPolicy());
    driver.offer({ 1 }).value();
    driver.offer({ 1 }).value();
    driver.offer({ 0 }).value();
    BOOST_TEST(driver.offer({ 0 }).has_value());
    const auto dropped = driver.queue_.takeDroppedRequests(driver.clock_.now());
    BOOST_TEST_REQUIRE(dropped.size() == 1U);
    BOOST_TEST(dropped[0].id_ == 2U);
}

BOOST_AUTO_TEST_CASE(serviceTimesAreEstimatedPerKind)
{
    ServiceTimes times;
    BOOST_TEST(times.expected("a").count() == 0);
    for (int i = 0; i < 200; ++i) {
        times.record("a", milliseconds(10));
        times.record("b", milliseconds(50));
    }
    BOOST_TEST((times.expected("a") == milliseconds(10)));
    BOOST_TEST((times.expected("b") == milliseconds(50)));
    BOOST_TEST((times.expected("unknown") > milliseconds(20)));
    BOOST_TEST((times.expected("unknown") < milliseconds(40)));
}

BOOST_AUTO_TEST_CASE(varyingServiceTimesRaiseTheConservativeEstimate)
{
    ServiceTimes times;
    for (int i = 0; i < 200; ++i) {
        times.record("steady", milliseconds(50));
        times.record("varying", milliseconds(i % 2 == 0 ? 10 : 90));
    }
    BOOST_TEST((times.conservative("steady") < milliseconds(55)));
    BOOST_TEST((times.conservative("varying") > milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(waitsAreCorrectedOnlyUpwardsAndWithinALimit)
{
    WaitCorrection underestimated;
    WaitCorrection overestimated;
    WaitCorrection farUnderestimated;
    BOOST_TEST((underestimated.corrected(milliseconds(100)) == milliseconds(100)));
    for (int i = 0; i < 200; ++i) {
        underestimated.record(milliseconds(50), milliseconds(100));
        overestimated.record(milliseconds(50), milliseconds(10));
        farUnderestimated.record(milliseconds(1), milliseconds(1000));
    }
    BOOST_TEST((underestimated.corrected(milliseconds(100)) > milliseconds(199)));
    BOOST_TEST((underestimated.corrected(milliseconds(100)) < milliseconds(201)));
    BOOST_TEST((overestimated.corrected(milliseconds(100)) == milliseconds(100)));
    BOOST_TEST((farUnderestimated.corrected(milliseconds(100)) == milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(aFailedRequestIsNotMeasured)
{
    QueueDriver driver = makeDriver(SharedRanksPolicy());
    driver.offer({ 0 }).value();
    driver.queue_.startNext(driver.clock_.now());
    driver.clock_.advance(milliseconds(10));
    driver.queue_.finish(1, driver.clock_.now(), false);
    BOOST_TEST(driver.queue_.expectedServiceTime("kind").count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
