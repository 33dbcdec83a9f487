// Tests of SharedRanksPolicy: rank order, guaranteed shares, fairness, worth and overload.
#include "queuedriver.h"

#include <boost/test/unit_test.hpp>

#include <array>

namespace {

using namespace qz;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration serviceTime = milliseconds(10);

QueueDriver makeDriver(std::size_t maxQueued = 1000)
{
    return QueueDriver(AdmissionQueue::Builder()
                               .setSlots(1)
                               .setRanks({ { 0.5, milliseconds(200), 10.0 },
                                           { 0.2, milliseconds(800), 3.0 },
                                           { 0.1, milliseconds(3000), 1.0 } })
                               .setMaxQueued(maxQueued)
                               .build());
}

void offerMany(QueueDriver &driver, const TestOffer &offer, int count)
{
    for (int i = 0; i < count; ++i) {
        driver.offer(offer).value();
    }
}

/// Runs @p count requests while the ranks in @p flooding always have queued requests. Returns how
/// many ran, by rank.
std::array<int, 3> serve(QueueDriver &driver, const std::vector<std::size_t> &flooding, int count)
{
    std::array<int, 3> served{};
    for (int i = 0; i < count; ++i) {
        for (const std::size_t rank : flooding) {
            driver.offer({ rank }).value();
        }
        ++served.at(driver.runOne(serviceTime).rank_);
    }
    return served;
}

} // namespace

BOOST_AUTO_TEST_SUITE(sharedRanks)

BOOST_AUTO_TEST_CASE(servesTheMostUrgentRankFirst)
{
    QueueDriver driver = makeDriver();
    offerMany(driver, { 2 }, 3);
    offerMany(driver, { 1 }, 3);
    driver.offer({ 0 }).value();
    BOOST_TEST(driver.runOne(serviceTime).rank_ == 0U);
    BOOST_TEST(driver.runOne(serviceTime).rank_ == 1U);
}

BOOST_AUTO_TEST_CASE(eachRankGetsItsShareWhileTheUrgentRankFloods)
{
    QueueDriver driver = makeDriver(10000);
    const auto served = serve(driver, { 0, 1, 2 }, 2000);
    BOOST_TEST(served[0] >= 1380);
    BOOST_TEST(served[1] >= 390);
    BOOST_TEST(served[1] <= 410);
    BOOST_TEST(served[2] >= 190);
    BOOST_TEST(served[2] <= 210);
}

BOOST_AUTO_TEST_CASE(anUnusedShareGoesToTheOthers)
{
    QueueDriver driver = makeDriver(10000);
    const auto served = serve(driver, { 0, 2 }, 1000);
    BOOST_TEST(served[2] >= 95);
    BOOST_TEST(served[2] <= 105);
    BOOST_TEST(served[0] == 1000 - served[2]);
}

BOOST_AUTO_TEST_CASE(sharesCountSlotTimeRatherThanRequests)
{
    QueueDriver driver = makeDriver(10000);
    Duration used{};
    const TimePoint start = driver.clock_.now();
    for (int i = 0; i < 2000; ++i) {
        driver.offer({ 0 }).value();
        driver.offer({ 2 }).value(); // Of the same kind, so its estimate is too short.
        const auto request = driver.queue_.startNext(driver.clock_.now()).value();
        const Duration time = request.rank_ == 2 ? 5 * serviceTime : serviceTime;
        used += request.rank_ == 2 ? time : Duration{};
        driver.clock_.advance(time);
        driver.queue_.finish(request.id_, driver.clock_.now(), true);
    }
    const Duration total = driver.clock_.now() - start;
    BOOST_TEST(used.count() >= total.count() * 9 / 100);
    BOOST_TEST(used.count() <= total.count() * 11 / 100);
}

BOOST_AUTO_TEST_CASE(useBeforeAFloodDoesNotReduceTheShareForLong)
{
    QueueDriver driver = makeDriver(10000);
    BOOST_TEST(serve(driver, { 2 }, 500)[2] == 500);
    const auto served = serve(driver, { 0, 2 }, 100);
    BOOST_TEST(served[2] >= 8);
}

BOOST_AUTO_TEST_CASE(aRankEarnsNoCreditWithoutQueuedWork)
{
    QueueDriver driver = makeDriver(10000);
    serve(driver, { 0 }, 500);
    offerMany(driver, { 2 }, 10);
    offerMany(driver, { 0 }, 10);
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(driver.runOne(serviceTime).rank_ == 0U);
    }
}

BOOST_AUTO_TEST_CASE(workspacesShareByWeight)
{
    QueueDriver driver = makeDriver();
    driver.offer({ 0 }).value();
    driver.runOne(serviceTime); // A service time is known now.
    offerMany(driver, { 0, "flood" }, 300);
    offerMany(driver, { 0, "heavy", "kind", 1.0, 3.0 }, 90);
    offerMany(driver, { 0, "light" }, 30);
    std::map<std::string, int> served;
    for (int i = 0; i < 100; ++i) {
        ++served[driver.runOne(serviceTime).workspace_.value()];
    }
    BOOST_TEST(served["flood"] <= 21);
    BOOST_TEST(served["light"] >= 19);
    BOOST_TEST(served["heavy"] >= 59);
}

BOOST_AUTO_TEST_CASE(aWorkspaceThatUsesMoreSlotTimeIsServedLessOften)
{
    QueueDriver driver = makeDriver();
    driver.offer({ 0 }).value();
    driver.runOne(serviceTime);
    offerMany(driver, { 0, "short" }, 100);
    offerMany(driver, { 0, "long" }, 100);
    std::map<std::string, int> served;
    for (int i = 0; i < 60; ++i) { // One kind, so the expected service times are equal.
        const auto request = driver.queue_.startNext(driver.clock_.now()).value();
        driver.clock_.advance(request.workspace_.value() == "long" ? 3 * serviceTime : serviceTime);
        driver.queue_.finish(request.id_, driver.clock_.now(), true);
        ++served[request.workspace_.value()];
    }
    BOOST_TEST(served["short"] >= 42);
    BOOST_TEST(served["short"] <= 48);
}

BOOST_AUTO_TEST_CASE(aWorkspaceEarnsNoCreditWithoutQueuedWork)
{
    QueueDriver driver = makeDriver();
    driver.offer({ 0 }).value();
    driver.runOne(serviceTime); // A service time is known now.
    offerMany(driver, { 0, "busy" }, 200);
    for (int i = 0; i < 100; ++i) {
        driver.runOne(serviceTime);
    }
    offerMany(driver, { 0, "new" }, 50);
    driver.queue_.setSlots(20);
    int served = 0;
    for (int i = 0; i < 20; ++i) {
        const auto request = driver.queue_.startNext(driver.clock_.now()).value();
        served += request.workspace_.value() == "new" ? 1 : 0;
    }
    BOOST_TEST(served >= 9);
    BOOST_TEST(served <= 11);
}

BOOST_AUTO_TEST_CASE(servesTheEarliestDeadlineFirstWithinAWorkspace)
{
    QueueDriver driver = makeDriver();
    driver.offer({ 0, "ws", "kind", 1.0, 1.0, seconds(30) }).value();
    driver.offer({ 0, "ws", "kind", 1.0, 1.0, seconds(10) }).value();
    driver.offer({ 0, "ws", "kind", 1.0, 1.0, seconds(20) }).value();
    BOOST_TEST(driver.runOne(serviceTime).id_ == 2U);
    BOOST_TEST(driver.runOne(serviceTime).id_ == 3U);
    BOOST_TEST(driver.runOne(serviceTime).id_ == 1U);
}

BOOST_AUTO_TEST_CASE(keepsNoStateForWorkspacesWithoutWork)
{
    QueueDriver driver = makeDriver();
    std::size_t maxWorkspaceCount = 0;
    for (int i = 0; i < 93000; ++i) {
        driver.offer({ 0, "ws-" + std::to_string(i) }).value();
        driver.offer({ 0, "busy" }).value();
        driver.runOne(serviceTime);
        driver.runOne(serviceTime);
        const auto state = driver.queue_.dumpState();
        if (i % 1000 == 0) {
            const auto workspaceCount =
                    state["policy"]["ranks"][0]["workspaces"].get<std::size_t>();
            maxWorkspaceCount = std::max(maxWorkspaceCount, workspaceCount);
        }
    }
    BOOST_TEST(maxWorkspaceCount <= 4U);
}

BOOST_AUTO_TEST_CASE(aRankGetsItsShareOfAFullQueue)
{
    QueueDriver driver = makeDriver(20);
    offerMany(driver, { 0 }, 20);
    BOOST_TEST(driver.offer({ 2 }).has_value());
    BOOST_TEST(driver.offer({ 2 }).has_value());
    BOOST_TEST(!driver.offer({ 2 }).has_value()); // Its share of the queue is 2 of 20 places.
    offerMany(driver, { 1 }, 4);
    BOOST_TEST(driver.queue_.queued() == 20U);
    BOOST_TEST(driver.queue_.takeDroppedRequests(driver.clock_.now()).size() == 6U);
}

BOOST_AUTO_TEST_CASE(anUrgentFloodDoesNotDisplaceTheShareOfAnotherRank)
{
    QueueDriver driver = makeDriver(20);
    offerMany(driver, { 2 }, 20);
    int taken = 0;
    while (driver.offer({ 0 }).has_value()) {
        ++taken;
    }
    BOOST_TEST(taken == 18);
}

BOOST_AUTO_TEST_CASE(aFloodingWorkspaceIsDisplacedDownToItsFairShare)
{
    QueueDriver driver = makeDriver(20);
    offerMany(driver, { 0, "flood" }, 20);
    int taken = 0;
    while (driver.offer({ 0, "polite" }).has_value()) {
        ++taken;
    }
    BOOST_TEST(taken == 10);
    BOOST_TEST(!driver.offer({ 0, "flood" }).has_value());
}

BOOST_AUTO_TEST_CASE(displacesTheRequestOfTheLowestWorth)
{
    QueueDriver driver = makeDriver(20);
    offerMany(driver, { 0, "ws", "kind", 2.0 }, 19);
    driver.offer({ 0, "ws", "kind", 1.0 }).value();
    const std::uint64_t lowerWorthId = driver.lastId();
    BOOST_TEST(driver.offer({ 0, "ws", "kind", 2.0 }).has_value());
    const auto dropped = driver.queue_.takeDroppedRequests(driver.clock_.now());
    BOOST_TEST_REQUIRE(dropped.size() == 1U);
    BOOST_TEST(dropped[0].id_ == lowerWorthId);
    BOOST_TEST(!driver.offer({ 0, "ws", "kind", 2.0 }).has_value());
}

BOOST_AUTO_TEST_CASE(worthDoesNotOverrideFairnessBetweenWorkspaces)
{
    QueueDriver driver = makeDriver(20);
    offerMany(driver, { 0, "rich", "kind", 2.0 }, 10);
    offerMany(driver, { 0, "poor", "kind", 1.0 }, 10);
    BOOST_TEST(!driver.offer({ 0, "rich", "kind", 2.0 }).has_value());
}

BOOST_AUTO_TEST_CASE(displacesLowerWorthToMeetADeadline)
{
    QueueDriver driver = makeDriver();
    driver.offer({ 0 }).value();
    driver.runOne(serviceTime);
    const Duration deadline = milliseconds(500);
    while (driver.offer({ 2, "ws", "kind", 1.0, 1.0, deadline }).has_value()) {
    }
    BOOST_TEST(driver.offer({ 2, "ws", "kind", 2.0, 1.0, deadline }).has_value());
    const auto dropped = driver.queue_.takeDroppedRequests(driver.clock_.now());
    BOOST_TEST_REQUIRE(dropped.size() == 1U);
    BOOST_TEST((dropped[0].kind_ == ErrorKind::DeadlineUnreachable));
    // Displacing one request can't make this deadline reachable, so none is displaced.
    BOOST_TEST(!driver.offer({ 2, "ws", "kind", 2.0, 1.0, milliseconds(5) }).has_value());
    BOOST_TEST(driver.queue_.takeDroppedRequests(driver.clock_.now()).empty());
}

BOOST_AUTO_TEST_CASE(anOverloadedRankAcceptsOnlyWhatMeetsItsTarget)
{
    QueueDriver driver = makeDriver();
    driver.offer({ 0 }).value();
    driver.runOne(serviceTime);
    const TestOffer twoSeconds{ 0, "ws", "kind", 1.0, 1.0, seconds(2) };
    // A burst of 1 s of work is accepted although it exceeds the target.
    offerMany(driver, twoSeconds, 100);
    while (driver.offer(twoSeconds).has_value()) {
    }
    for (int i = 0; i < 100; ++i) {
        driver.runOne(serviceTime);
        const auto refused = driver.offer(twoSeconds);
        BOOST_TEST_REQUIRE(!refused.has_value()); // About 1 s of work is still queued.
        BOOST_TEST((refused.error().kind_ == ErrorKind::QueueFull));
    }
    while (!driver.offer(twoSeconds).has_value()) {
        driver.runOne(serviceTime);
    }
    BOOST_TEST(driver.queue_.estimatedWait(0, driver.clock_.now()).count()
               <= Duration(milliseconds(200)).count());
    while (driver.runOne(serviceTime).id_ != 0) {
    }
    driver.clock_.advance(milliseconds(401)); // The quiet period, twice the target, is over.
    offerMany(driver, twoSeconds, 100);
}

BOOST_AUTO_TEST_CASE(aFullQueueMarksItsRankAsOverloaded)
{
    QueueDriver driver = makeDriver(20);
    driver.offer({ 0 }).value();
    driver.runOne(5 * serviceTime);
    offerMany(driver, { 0 }, 20);
    BOOST_TEST(!driver.offer({ 0 }).has_value());
    for (int i = 0; i < 10; ++i) {
        driver.runOne(5 * serviceTime);
        BOOST_TEST(!driver.offer({ 0 }).has_value()); // At least 500 ms of work is queued.
    }
}

BOOST_AUTO_TEST_CASE(aShortDeadlineDoesNotMarkItsRankAsOverloaded)
{
    QueueDriver driver = makeDriver();
    driver.offer({ 0 }).value();
    driver.runOne(serviceTime);
    BOOST_TEST(!driver.offer({ 0, "ws", "kind", 1.0, 1.0, milliseconds(1) }).has_value());
    offerMany(driver, { 0, "ws", "kind", 1.0, 1.0, seconds(2) }, 100);
}

BOOST_AUTO_TEST_CASE(anOverloadOfOneRankDoesNotLimitAnother)
{
    QueueDriver driver = makeDriver();
    driver.offer({ 0 }).value();
    driver.runOne(serviceTime);
    while (driver.offer({ 2, "ws", "kind", 1.0, 1.0, seconds(5) }).has_value()) {
    }
    offerMany(driver, { 0, "ws", "kind", 1.0, 1.0, seconds(2) }, 100);
}

BOOST_AUTO_TEST_CASE(predictedWaitsAreCorrectedByObservedWaits)
{
    QueueDriver driver = makeDriver();
    const TestOffer shortDeadline{ 2, "ws", "kind", 1.0, 1.0, milliseconds(120) };
    for (int round = 0; round < 20; ++round) { // Urgent requests keep overtaking rank 2.
        offerMany(driver, { 2 }, 5);
        driver.offer({ 0 }).value();
        for (int served = 0; served < 5;) {
            if (driver.runOne(serviceTime).rank_ == 2) {
                ++served;
            } else {
                driver.offer({ 0 }).value();
            }
        }
    }
    while (driver.runOne(serviceTime).id_ != 0) {
    }
    for (int i = 0; i < 5; ++i) { // 50 ms of queued work.
        driver.offer({ 2, "ws-" + std::to_string(i) }).value();
    }
    BOOST_TEST(!driver.offer(shortDeadline).has_value());
    BOOST_TEST(makeDriver().offer(shortDeadline).has_value());
}

BOOST_AUTO_TEST_CASE(servesRequestsOfRemovedRanks)
{
    QueueDriver driver = makeDriver();
    offerMany(driver, { 2 }, 2);
    driver.queue_.setRanks({ { 1.0, milliseconds(200), 1.0 } });
    driver.offer({ 2 }).value();
    BOOST_TEST(driver.runOne(serviceTime).rank_ == 0U);
    BOOST_TEST(driver.runOne(serviceTime).rank_ == 2U);
    BOOST_TEST(driver.runOne(serviceTime).rank_ == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
