// Tests of the counting of crashes, quarantines and trials.
#include "qz_placement/quarantine/crashquarantine.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

namespace {

const qz::TimePoint start{ 100s };
const qz::RequestFingerprint request{ 1, 2 };

qz::CrashHistory crash(const std::string &server, qz::TimePoint sentAt, qz::TimePoint endedAt,
                       const qz::RequestFingerprint &of = request)
{
    qz::CrashHistory history;
    history.request_ = of;
    history.crashes_.push_back({ qz::BackendServerId(server), 1, sentAt, endedAt });
    return history;
}

qz::CrashHistory answer(qz::TimePoint at)
{
    qz::CrashHistory history;
    history.request_ = request;
    history.answeredAt_ = at;
    return history;
}

/// Adds crashes of servers one after the other, the last one at start + (count - 1) seconds.
void crashInSeries(qz::CrashQuarantine &quarantine, int count)
{
    for (int i = 0; i < count; ++i) {
        const qz::TimePoint at = start + i * 1s;
        BOOST_TEST(quarantine.merge(crash(std::to_string(i), at - 50ms, at), at));
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(requestIsHeldAfterThreeCrashesAndTriedLate)
{
    qz::CrashQuarantine quarantine;
    crashInSeries(quarantine, 2);
    BOOST_TEST(!quarantine.find(request, start + 2s).has_value());
    BOOST_TEST(quarantine.merge(crash("c", start + 1900ms, start + 2s), start + 2s));
    const auto hold = quarantine.find(request, start + 3s);
    BOOST_REQUIRE(hold.has_value());
    BOOST_CHECK(hold->untilTrial_ == 29s);
    BOOST_TEST(!quarantine.find({ 1, 3 }, start + 3s).has_value());
    const auto due = quarantine.find(request, start + 2s + 30s + 25s);
    BOOST_REQUIRE(due.has_value());
    BOOST_CHECK(due->untilTrial_ == 0s);
    BOOST_TEST(due->turn_ == 2);
}

BOOST_AUTO_TEST_CASE(trialsBecomeRare)
{
    qz::CrashQuarantine quarantine;
    crashInSeries(quarantine, 3);
    quarantine.recordTrial(request, start + 40s);
    BOOST_CHECK(quarantine.find(request, start + 41s)->untilTrial_ == 29s);
    BOOST_TEST(quarantine.merge(crash("t", start + 40s, start + 41s), start + 41s));
    BOOST_CHECK(quarantine.find(request, start + 41s)->untilTrial_ == 240s);
    BOOST_TEST(quarantine.merge(crash("u", start + 290s, start + 291s), start + 291s));
    BOOST_CHECK(quarantine.find(request, start + 291s)->untilTrial_ == 1920s);
}

BOOST_AUTO_TEST_CASE(anyAnswerClearsARequest)
{
    qz::CrashQuarantine quarantine;
    crashInSeries(quarantine, 3);
    BOOST_TEST(!quarantine.isEmpty());
    BOOST_TEST(quarantine.merge(answer(start + 5s), start + 5s));
    BOOST_TEST(!quarantine.find(request, start + 5s).has_value());
    BOOST_TEST(quarantine.isEmpty());
    // An instance that has missed the answer repeats what it knows.
    BOOST_TEST(!quarantine.merge(crash("0", start - 50ms, start), start + 6s));
    BOOST_TEST(quarantine.crashCount(request) == 0);
    BOOST_TEST(quarantine.merge(crash("n", start + 6s, start + 7s), start + 7s));
    BOOST_TEST(quarantine.crashCount(request) == 1);
}

// Guards against a popular request that is blamed when servers lose their power together.
BOOST_AUTO_TEST_CASE(crashesThatOverlapCountOnce)
{
    qz::CrashQuarantine quarantine;
    for (int i = 0; i < 6; ++i) {
        (void)quarantine.merge(crash(std::to_string(i), start - 100ms + i * 10ms, start + i * 2ms),
                               start + 1s);
    }
    BOOST_TEST(quarantine.crashCount(request) == 1);
    BOOST_TEST(!quarantine.find(request, start + 1s).has_value());
}

// Guards against a request whose retry meets a server that ended at the same moment.
BOOST_AUTO_TEST_CASE(crashesThatComeAtOnceCountOnce)
{
    qz::CrashQuarantine quarantine;
    (void)quarantine.merge(crash("a", start, start + 10ms), start + 1s);
    (void)quarantine.merge(crash("b", start + 10ms, start + 11ms), start + 1s);
    BOOST_TEST(quarantine.crashCount(request) == 1);
    (void)quarantine.merge(crash("c", start + 12ms, start + 31ms), start + 1s);
    BOOST_TEST(quarantine.crashCount(request) == 2);
}

BOOST_AUTO_TEST_CASE(oneServersEndCountsOnce)
{
    qz::CrashQuarantine quarantine;
    BOOST_TEST(quarantine.merge(crash("a", start, start + 10ms), start + 1s));
    BOOST_TEST(!quarantine.merge(crash("a", start + 20ms, start + 30ms), start + 1s));
    BOOST_TEST(quarantine.crashCount(request) == 1);
    // Suspected ends count alike.
    const qz::ServerCrash again{ qz::BackendServerId("a"), 1, start + 40ms, start + 90ms };
    const qz::ServerCrash other{ qz::BackendServerId("b"), 1, start + 40ms, start + 90ms };
    BOOST_TEST(quarantine.crashCount(request, { again }) == 1);
    BOOST_TEST(quarantine.crashCount(request, { again, other }) == 2);
}

BOOST_AUTO_TEST_CASE(historiesMergeInAnyOrder)
{
    qz::CrashQuarantine one;
    qz::CrashQuarantine other;
    const qz::CrashHistory first = crash("a", start, start + 1s);
    const qz::CrashHistory second = crash("b", start + 3s, start + 4s);
    const qz::CrashHistory between = answer(start + 2s);
    for (const auto &history : { first, between, second }) {
        (void)one.merge(history, start + 5s);
    }
    for (const auto &history : { second, between, first }) {
        (void)other.merge(history, start + 5s);
    }
    BOOST_TEST(one.crashCount(request) == 1);
    BOOST_TEST(other.crashCount(request) == 1);
}

BOOST_AUTO_TEST_CASE(requestsThatCrashOnceDoNotDisplaceThoseThatAreHeld)
{
    qz::QuarantineLimits limits;
    limits.maxRequests_ = 100;
    qz::CrashQuarantine quarantine(limits);
    crashInSeries(quarantine, 3);
    for (std::uint64_t i = 0; i < 10000; ++i) {
        const qz::TimePoint at = start + 3s + i * 1ms;
        BOOST_TEST(quarantine.merge(crash("x", at, at, { 7, i }), at));
    }
    BOOST_TEST(quarantine.find(request, start + 14s).has_value());
    BOOST_TEST(quarantine.latest(1000).size() == 100);
    BOOST_TEST(quarantine.heldCount(start + 14s) == 1);
}

BOOST_AUTO_TEST_CASE(crashesAreForgottenAfterATime)
{
    qz::CrashQuarantine quarantine;
    crashInSeries(quarantine, 1);
    BOOST_TEST(quarantine.merge(crash("z", start + 2h, start + 2h, { 9, 9 }), start + 2h));
    BOOST_TEST(quarantine.crashCount(request) == 0);
    BOOST_TEST(quarantine.latest(10).size() == 1);
}

BOOST_AUTO_TEST_CASE(onlyLongRequestsWithTheHeadOfACrashAreHeldBack)
{
    qz::CrashQuarantine quarantine;
    qz::CrashHistory history = crash("a", start, start + 1s);
    history.longRequestHead_ = 77;
    BOOST_TEST(quarantine.merge(history, start + 1s));
    BOOST_TEST(quarantine.hasLongRequest(77));
    BOOST_TEST(!quarantine.hasLongRequest(78));
    BOOST_TEST(!quarantine.hasLongRequest(0));
}
