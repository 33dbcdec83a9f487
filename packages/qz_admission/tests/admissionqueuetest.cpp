// Tests of AdmissionQueue: slots, deadlines, displacement and cancellation.
#include "qz_admission/qz_admission.h"
#include "qz_core/time/manualclock.h"

#include <boost/test/unit_test.hpp>

namespace {

using std::chrono::milliseconds;

qz::AdmissionRequest makeRequest(std::uint64_t id, std::size_t rank, qz::TimePoint deadline)
{
    return { id, rank, qz::WorkspaceId("ws"), "kind", 1.0, deadline };
}

struct Fixture
{
    qz::ManualClock clock_;
    qz::AdmissionQueue queue_ =
            qz::AdmissionQueue::Builder()
                    .setSlots(2)
                    .setRanks({ { 0.4, milliseconds(100) }, { 0.2, milliseconds(1000) } })
                    .setMaxQueued(4)
                    .build();

    qz::TimePoint in(qz::Duration duration) const { return clock_.now() + duration; }

    qz::Result<void> offer(std::uint64_t id, std::size_t rank,
                           qz::Duration deadline = std::chrono::seconds(10))
    {
        return queue_.offer(makeRequest(id, rank, in(deadline)), clock_.now());
    }

    std::uint64_t startNext()
    {
        const auto request = queue_.startNext(clock_.now());
        return request ? request->id_ : 0;
    }

    /// Runs one request of 100 ms, so that the queue knows a service time.
    void measureOneRequest()
    {
        BOOST_TEST_REQUIRE(offer(1000, 0).has_value());
        BOOST_TEST_REQUIRE(startNext() == 1000U);
        clock_.advance(milliseconds(100));
        queue_.finish(1000, clock_.now(), true);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(admissionQueue, Fixture)

BOOST_AUTO_TEST_CASE(runsNoMoreRequestsThanSlots)
{
    for (std::uint64_t id = 1; id <= 4; ++id) {
        BOOST_TEST(offer(id, 0).has_value());
    }
    BOOST_TEST(startNext() == 1U);
    BOOST_TEST(startNext() == 2U);
    BOOST_TEST(startNext() == 0U);
    queue_.finish(1, clock_.now(), true);
    BOOST_TEST(startNext() == 3U);
    BOOST_TEST(startNext() == 0U);
    BOOST_TEST(queue_.running() == 2U);
    BOOST_TEST(queue_.queued() == 1U);
}

BOOST_AUTO_TEST_CASE(startsNothingAboveALoweredSlotCount)
{
    for (std::uint64_t id = 1; id <= 4; ++id) {
        BOOST_TEST(offer(id, 0).has_value());
    }
    startNext();
    startNext();
    queue_.setSlots(1);
    queue_.finish(1, clock_.now(), true);
    BOOST_TEST(startNext() == 0U);
    queue_.finish(2, clock_.now(), true);
    BOOST_TEST(startNext() == 3U);
}

BOOST_AUTO_TEST_CASE(finishOfAnUnknownIdFreesNoSlot)
{
    offer(1, 0).value();
    offer(2, 0).value();
    offer(3, 0).value();
    startNext();
    startNext();
    queue_.finish(99, clock_.now(), true);
    BOOST_TEST(startNext() == 0U);
}

BOOST_AUTO_TEST_CASE(refusesARequestThatCannotMeetItsDeadline)
{
    measureOneRequest();
    const auto refused = offer(1, 0, milliseconds(50));
    BOOST_TEST_REQUIRE(!refused.has_value());
    BOOST_TEST((refused.error().kind_ == qz::ErrorKind::DeadlineUnreachable));
}

BOOST_AUTO_TEST_CASE(dropsExpiredRequestsWithoutStartingThem)
{
    measureOneRequest();
    offer(1, 0).value();
    offer(2, 0).value();
    startNext();
    startNext();
    offer(3, 0, milliseconds(400)).value();
    clock_.advance(milliseconds(301)); // Leaves 99 ms of the 100 ms that it needs.
    queue_.finish(1, clock_.now(), true);
    BOOST_TEST(startNext() == 0U);
    const auto dropped = queue_.takeDroppedRequests(clock_.now());
    BOOST_TEST_REQUIRE(dropped.size() == 1U);
    BOOST_TEST(dropped[0].id_ == 3U);
    BOOST_TEST((dropped[0].kind_ == qz::ErrorKind::DeadlineExpiredInQueue));
}

BOOST_AUTO_TEST_CASE(aMoreUrgentRequestDisplacesALessUrgentOne)
{
    for (std::uint64_t id = 1; id <= 4; ++id) {
        offer(id, 1).value();
    }
    BOOST_TEST((offer(5, 1).error().kind_ == qz::ErrorKind::QueueFull));
    BOOST_TEST(offer(6, 0).has_value());
    const auto dropped = queue_.takeDroppedRequests(clock_.now());
    BOOST_TEST_REQUIRE(dropped.size() == 1U);
    BOOST_TEST(dropped[0].id_ == 4U);
    BOOST_TEST((dropped[0].kind_ == qz::ErrorKind::QueueFull));
    BOOST_TEST(startNext() == 6U);
}

BOOST_AUTO_TEST_CASE(cancelRemovesOnlyQueuedRequests)
{
    offer(1, 0).value();
    offer(2, 0).value();
    startNext();
    BOOST_TEST(!queue_.cancel(1));
    BOOST_TEST(queue_.cancel(2));
    BOOST_TEST(startNext() == 0U);
    BOOST_TEST(queue_.takeDroppedRequests(clock_.now()).empty());
}

BOOST_AUTO_TEST_SUITE_END()
