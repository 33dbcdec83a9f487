// Tests of the limit that a backend server names.
#include "qz_placement/qz_placement.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <deque>

using namespace std::chrono_literals;
using qz::ServerRateLimit;
using qz::ServerRole;

namespace {

const qz::TimePoint start = qz::TimePoint() + 100s;

} // namespace

// Guards against a server that gets more than it accepts, although each instance keeps to the
// limit.
BOOST_AUTO_TEST_CASE(instancesTogetherKeepToTheLimitInAnySpan)
{
    constexpr qz::Duration span = 4s;
    for (const double rate : { 0.5, 1.0, 2.9, 12.0 }) {
        std::array<ServerRateLimit, 5> instances;
        instances[0].setRole(ServerRole::Owner, start);
        instances[1].setRole(ServerRole::Backup, start);
        for (ServerRateLimit &instance : instances) {
            instance.set(rate, start);
        }
        std::deque<qz::TimePoint> sent;
        std::size_t total = 0;
        for (qz::TimePoint now = start; now < start + 60s; now += 20ms) {
            for (ServerRateLimit &instance : instances) {
                if (instance.canSend(now)) {
                    instance.recordSent(now);
                    sent.push_back(now);
                    ++total;
                }
                instance.set(rate, now); // The server names it in each response.
            }
            while (!sent.empty() && now - sent.front() >= span) {
                sent.pop_front();
            }
            // One request for each of the two instances that send.
            BOOST_REQUIRE(static_cast<double>(sent.size()) <= rate * 4 + 2);
        }
        BOOST_TEST(static_cast<double>(total) >= rate * 60 * 0.9 - 2);
        BOOST_TEST(static_cast<double>(total) <= rate * 60 + 2);
    }
}

BOOST_AUTO_TEST_CASE(limitAppliesUntilItIsClearedOrNotNamedForLong)
{
    ServerRateLimit limit;
    limit.setRole(ServerRole::Owner, start);
    BOOST_TEST(limit.canSend(start));
    BOOST_TEST(limit.set(2.0, start));
    BOOST_TEST(!limit.set(2.0, start));
    BOOST_TEST(limit.set(3.0, start));
    BOOST_TEST(!limit.canSend(start));
    BOOST_TEST(limit.clear(start));
    BOOST_TEST(!limit.clear(start));
    BOOST_TEST(limit.canSend(start));
    limit.set(0.0, start);
    BOOST_TEST(!limit.canSend(start + 9s));
    BOOST_TEST(limit.canSend(start + 10s));
}

BOOST_AUTO_TEST_CASE(requestsSentTooEarlyCountAgainstLaterOnes)
{
    ServerRateLimit limit;
    limit.setRole(ServerRole::Owner, start);
    limit.set(4.0, start); // Three a second for the owner.
    for (int i = 0; i < 5; ++i) {
        limit.recordSent(start);
    }
    BOOST_TEST(!limit.canSend(start + 1900ms));
    BOOST_TEST(limit.canSend(start + 2100ms));
    BOOST_TEST((limit.timeUntilFree(start) > 1900ms && limit.timeUntilFree(start) < 2100ms));
}

BOOST_AUTO_TEST_CASE(instanceWithoutARoleSendsNothing)
{
    ServerRateLimit limit;
    limit.set(100.0, start);
    BOOST_TEST(!limit.canSend(start + 5s));
    BOOST_TEST(!limit.timeUntilFree(start + 5s).has_value());
}
