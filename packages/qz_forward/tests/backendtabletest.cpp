// Tests of changes to the list of backend servers.
#include "qz_forward/backends/backendtable.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

namespace {

qz::ListedBackend makeListed(const std::string &id, std::int64_t incarnation = 1)
{
    qz::ListedBackend listed;
    listed.id_ = qz::BackendServerId(id);
    listed.incarnation_ = incarnation;
    listed.service_ = qz::ServiceId("service");
    listed.endpoint_ = { "127.0.0.1", 9 };
    return listed;
}

const qz::BackendServerId idA("a");
const qz::ServiceId service("service");

} // namespace

BOOST_AUTO_TEST_CASE(restartWithTheSameIdCreatesANewBackend)
{
    qz::EventLoop loop;
    qz::BackendTable table(loop);
    table.put(makeListed("a", 1));
    const auto before = table.find(idA);
    before->health().record({ qz::AttemptResult::Cut, 1ms, true }, loop.now());
    table.put(makeListed("a", 1));
    BOOST_CHECK(table.find(idA) == before);
    table.put(makeListed("a", 2));
    BOOST_CHECK(table.find(idA) != before);
    BOOST_TEST(!before->isOpen());
    BOOST_CHECK(table.find(idA)->health().state(loop.now()) == qz::ServerHealth::State::Good);
    BOOST_TEST(table.serversOf(service).size() == 1);
}

BOOST_AUTO_TEST_CASE(removedServerIsClosedImmediately)
{
    qz::EventLoop loop;
    qz::BackendTable table(loop);
    table.put(makeListed("a"));
    const auto server = table.find(idA);
    table.remove(idA);
    BOOST_TEST(!server->isOpen());
    BOOST_TEST(table.serversOf(service).empty());
}

BOOST_AUTO_TEST_CASE(missingServersAreKeptForTheGracePeriodAfterAnOutage)
{
    qz::EventLoop loop;
    qz::BackendTable table(loop);
    table.put(makeListed("a"));
    table.put(makeListed("b"));
    table.startRemovalGrace(100ms);
    table.replaceAll({});
    BOOST_TEST(table.serversOf(service).size() == 2);
    table.put(makeListed("a")); // Listed again within the grace period.
    loop.runFor(200ms);
    BOOST_TEST(table.serversOf(service).size() == 1);
    BOOST_TEST(table.find(qz::BackendServerId("b")) == nullptr);
}

BOOST_AUTO_TEST_CASE(drainingServerStaysListedButIsNotOpen)
{
    qz::EventLoop loop;
    qz::BackendTable table(loop);
    table.put(makeListed("a"));
    auto draining = makeListed("a");
    draining.isDraining_ = true;
    table.put(draining);
    BOOST_TEST(!table.find(idA)->isOpen());
}

// Guards against an entry, older, restored or listed again, that returns a leaving server to
// service.
BOOST_AUTO_TEST_CASE(serverThatSaidThatItLeavesIsNotOpenAgainInThisIncarnation)
{
    qz::EventLoop loop;
    qz::BackendTable table(loop);
    table.put(makeListed("a", 5));
    BOOST_TEST(table.recordLeaving(idA, 5));
    BOOST_TEST(!table.recordLeaving(idA, 5));
    BOOST_TEST(!table.find(idA)->isOpen());
    table.put(makeListed("a", 5));
    BOOST_TEST(!table.find(idA)->isOpen());
    table.remove(idA);
    table.put(makeListed("a", 5));
    BOOST_TEST(!table.find(idA)->isOpen());
    auto moved = makeListed("a", 5);
    moved.service_ = qz::ServiceId("other");
    table.put(moved);
    BOOST_TEST(!table.find(idA)->isOpen());
    table.put(makeListed("a", 4));
    BOOST_TEST(!table.find(idA)->isOpen());
    table.replaceAll({});
    table.replaceAll({ makeListed("a", 5) });
    BOOST_TEST(!table.find(idA)->isOpen());
    table.put(makeListed("a", 6));
    BOOST_TEST(table.find(idA)->isOpen());
    BOOST_TEST(!table.recordLeaving(idA, 5)); // Late word of the incarnation before.
    BOOST_TEST(table.find(idA)->isOpen());
}

BOOST_AUTO_TEST_CASE(leavingOfAServerThatIsNotListedYetIsRemembered)
{
    qz::EventLoop loop;
    qz::BackendTable table(loop);
    BOOST_TEST(table.recordLeaving(idA, 5));
    table.put(makeListed("a", 5));
    BOOST_TEST(!table.find(idA)->isOpen());
}

BOOST_AUTO_TEST_CASE(serverThatChangesItsServiceIsRemovedFromTheOldService)
{
    qz::EventLoop loop;
    qz::BackendTable table(loop);
    table.put(makeListed("a"));
    auto moved = makeListed("a");
    moved.service_ = qz::ServiceId("other");
    table.put(moved);
    BOOST_TEST(table.serversOf(service).empty());
    BOOST_TEST(table.serversOf(qz::ServiceId("other")).size() == 1);
}
