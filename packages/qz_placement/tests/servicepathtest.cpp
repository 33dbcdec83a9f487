// Tests of what shows that a path is lost.
#include "qz_placement/health/servicepath.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

namespace {

const qz::TimePoint start{ 100s };
const qz::BackendServerId a("a");
const qz::BackendServerId b("b");
const qz::BackendServerId c("c");

} // namespace

BOOST_AUTO_TEST_CASE(pathIsLostOnceTwoServersFailInARow)
{
    qz::ServicePath path;
    path.recordConnectFailure(a, 5, start);
    path.recordConnectFailure(a, 5, start + 1s);
    BOOST_TEST(!path.isLost());
    path.recordConnected(start + 2s);
    path.recordConnectFailure(b, 5, start + 3s);
    BOOST_TEST(!path.isLost());
    path.recordConnectFailure(a, 5, start + 4s);
    BOOST_TEST(path.isLost());
    BOOST_CHECK(path.lostSince() == start + 4s);
    path.recordConnected(start + 5s);
    BOOST_TEST(!path.isLost());
    BOOST_CHECK(path.reachedAt() == start + 5s);
}

// Guards against a path that is given up because a request meets two servers that are down.
BOOST_AUTO_TEST_CASE(failuresRightAfterASuccessSayNothing)
{
    qz::ServicePath path;
    path.recordConnected(start);
    path.recordConnectFailure(a, 5, start + 100ms);
    path.recordConnectFailure(b, 5, start + 110ms);
    BOOST_TEST(!path.isLost());
    path.recordConnectFailure(a, 5, start + 310ms);
    BOOST_TEST(path.isLost());
}

BOOST_AUTO_TEST_CASE(oldFailuresSayNothing)
{
    qz::ServicePath path;
    path.recordConnectFailure(a, 5, start);
    path.recordConnectFailure(b, 5, start + 11s);
    BOOST_TEST(!path.isLost());
}

BOOST_AUTO_TEST_CASE(pathToASingleServerIsLostWithIt)
{
    qz::ServicePath path;
    path.recordConnectFailure(a, 1, start);
    BOOST_TEST(path.isLost());
}

// Guards against open connections that live on and hide that no new one can be opened.
BOOST_AUTO_TEST_CASE(answersDoNotShowThatConnectionsCanBeOpened)
{
    qz::ServicePath path;
    path.recordConnectFailure(a, 5, start);
    path.recordAnswer(false, start + 1s);
    path.recordConnectFailure(b, 5, start + 2s);
    path.recordAnswer(false, start + 3s);
    BOOST_TEST(path.isLost());
}

// Guards against something in between that accepts connections and passes nothing on.
BOOST_AUTO_TEST_CASE(connectionsDoNotShowThatServersAnswer)
{
    qz::ServicePath path;
    path.recordNoAnswer(a, 5, true, start);
    path.recordConnected(start + 1s);
    path.recordNoAnswer(b, 5, true, start + 2s);
    path.recordConnected(start + 3s);
    BOOST_TEST(!path.isLost());
    path.recordNoAnswer(c, 5, true, start + 4s);
    path.recordConnected(start + 4s);
    BOOST_TEST(path.isLost());
    path.recordAnswer(false, start + 4s);
    BOOST_TEST(path.isLost()); // On a connection from before.
    path.recordAnswer(true, start + 4s);
    BOOST_TEST(!path.isLost());
}

BOOST_AUTO_TEST_CASE(trialsAreRareAndNeedAnOpenConnection)
{
    qz::ServicePath path;
    path.recordNoAnswer(a, 2, false, start);
    path.recordNoAnswer(b, 2, false, start);
    BOOST_TEST(!path.tryAcquireTrial(true, start + 500ms));
    BOOST_TEST(path.tryAcquireTrial(true, start + 1s));
    BOOST_TEST(!path.tryAcquireTrial(true, start + 1900ms));
    BOOST_TEST(!path.tryAcquireTrial(false, start + 3s));
    BOOST_TEST(path.tryAcquireTrial(false, start + 6s));
    path.recordConnectFailure(a, 5, start + 7s);
    path.recordConnectFailure(b, 5, start + 7s);
    BOOST_TEST(!path.tryAcquireTrial(true, start + 20s));
}
