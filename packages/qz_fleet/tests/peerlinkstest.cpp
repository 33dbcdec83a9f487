// Tests of peer links over loopback sockets.
#include "linknode.h"
#include "rawpeer.h"

#include "qz_fleet/links/peerlink.h"
#include "qz_fleet/messages/packing.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <random>

using namespace std::chrono_literals;
using qz::EventLoop;
using qz::InstanceId;
using qz::LinkNode;
using qz::RawPeer;
using qz::runUntil;

namespace {

constexpr auto kind = qz::MessageKind::ExecuteRequest;
const std::string fleetKey = "fleet key";

/// Checks that @p harm closes the link it comes on, and no other.
void checkHarmsItsOwnLinkOnly(const std::string &harm)
{
    EventLoop loop;
    LinkNode a(loop, "a", fleetKey, 0, qz::patientLimits());
    LinkNode b(loop, "b");
    a.links_->setPeers({ b.peer() });
    RawPeer raw(loop, a.links_->listenEndpoint(), "raw", fleetKey);
    BOOST_TEST(a.send(b.id_, "before"));
    BOOST_REQUIRE(runUntil(loop, [&] { return raw.isEstablished() && b.received_.size() == 1; }));
    raw.write(harm);
    BOOST_TEST(runUntil(loop, [&] { return raw.isClosed(); }));
    BOOST_TEST(a.received_.empty());
    BOOST_REQUIRE(a.lost_.size() == 1U);
    BOOST_TEST(a.lost_.front().value() == "raw");
    BOOST_TEST(a.send(b.id_, "after"));
    BOOST_TEST(runUntil(loop, [&] { return b.received_.size() == 2U; }));
    BOOST_TEST(b.lost_.empty());
}

} // namespace

BOOST_AUTO_TEST_CASE(messagesArriveInOrderAndTheLinkIsUsedBothWays)
{
    EventLoop loop;
    LinkNode a(loop, "a");
    LinkNode b(loop, "b");
    a.links_->setPeers({ b.peer() });
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(a.send(b.id_, std::to_string(i)));
    }
    BOOST_TEST(runUntil(loop, [&] { return b.received_.size() == 5; }));
    BOOST_TEST(b.send(a.id_, "back")); // b has no address of a.
    BOOST_TEST(runUntil(loop, [&] { return a.received_.size() == 1; }));
    const std::vector<std::string> expected{ "a:0", "a:1", "a:2", "a:3", "a:4" };
    BOOST_TEST(b.received_ == expected, boost::test_tools::per_element());
    BOOST_TEST(a.links_->isUp(b.id_));
    BOOST_TEST(runUntil(loop, [&] { return a.links_->unsentBytes() == 0U; }));
    BOOST_TEST(a.lost_.size() + b.lost_.size() == 0U);
}

BOOST_AUTO_TEST_CASE(aMessageOfTheLargestSizeArrivesAndALongerOneIsRefused)
{
    EventLoop loop;
    LinkNode a(loop, "a");
    LinkNode b(loop, "b");
    a.links_->setPeers({ b.peer() });
    const std::size_t largest = qz::LinkLimits().maxFrameBytes_ - qz::frameOverheadBytes;
    BOOST_TEST(a.send(b.id_, std::string(largest, 'x')));
    BOOST_TEST(runUntil(loop, [&] { return b.received_.size() == 1U; }));
    const auto refused = a.links_->send(b.id_, kind, std::string(largest + 1, 'x'));
    BOOST_REQUIRE(refused.has_error());
    BOOST_TEST((refused.error().kind_ == qz::ErrorKind::FrameTooLong));
}

BOOST_AUTO_TEST_CASE(anUnknownPeerIsUnreachable)
{
    EventLoop loop;
    LinkNode a(loop, "a");
    const auto sent = a.links_->send(InstanceId("nobody"), kind, "x");
    BOOST_REQUIRE(sent.has_error());
    BOOST_TEST((sent.error().kind_ == qz::ErrorKind::GateUnreachable));
}

BOOST_AUTO_TEST_CASE(aPeerWithAnotherKeyIsRefused)
{
    EventLoop loop;
    LinkNode a(loop, "a", "one key");
    LinkNode b(loop, "b", "another key");
    a.links_->setPeers({ b.peer() });
    BOOST_TEST(a.send(b.id_, "x"));
    BOOST_TEST(runUntil(loop, [&] { return !a.lost_.empty(); }));
    BOOST_TEST(b.received_.empty());
    BOOST_TEST(a.lost_.size() == 1U); // Its message was taken and not sent.
    BOOST_TEST(a.unsent_ == 1);
    BOOST_TEST(b.lost_.empty());
    BOOST_TEST(!a.links_->isUp(b.id_));
}

BOOST_AUTO_TEST_CASE(nothingIsTakenBeforeTheProof)
{
    EventLoop loop;
    LinkNode a(loop, "a", fleetKey, 0, qz::patientLimits());
    RawPeer raw(loop, a.links_->listenEndpoint(), "raw", fleetKey);
    raw.setOpening(qz::encodeFrame(kind, "x"));
    BOOST_TEST(runUntil(loop, [&] { return raw.isClosed(); }));
    BOOST_TEST(raw.frames().empty());
    BOOST_TEST(a.received_.empty());
}

BOOST_AUTO_TEST_CASE(theKeyIsNotDumped)
{
    EventLoop loop;
    LinkNode a(loop, "a", "a secret of the fleet");
    BOOST_TEST(a.links_->dumpState().dump().find("secret") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(twoInstancesThatDialAtOnceKeepOneLinkAndLoseNothing)
{
    std::mt19937_64 random(7);
    for (int round = 0; round < 40; ++round) {
        EventLoop loop;
        LinkNode a(loop, round % 2 == 0 ? "a" : "b");
        LinkNode b(loop, round % 2 == 0 ? "b" : "a");
        a.links_->setPeers({ b.peer() });
        b.links_->setPeers({ a.peer() });
        std::uniform_int_distribution<int> microseconds(0, 400);
        const auto first = loop.callAfter(std::chrono::microseconds(microseconds(random)),
                                          [&] { BOOST_TEST(a.send(b.id_, "1")); });
        const auto second = loop.callAfter(std::chrono::microseconds(microseconds(random)),
                                           [&] { BOOST_TEST(b.send(a.id_, "2")); });
        BOOST_TEST(
                runUntil(loop, [&] { return a.received_.size() == 1 && b.received_.size() == 1; }));
        loop.runFor(5ms); // Nothing comes twice, and no second link.
        BOOST_TEST(a.received_.size() + b.received_.size() == 2U);
        BOOST_TEST(a.lost_.size() + b.lost_.size() == 0U);
        BOOST_TEST(a.links_->dumpState()["links_established"] == 1);
        BOOST_TEST(b.links_->dumpState()["links_established"] == 1);
    }
}

BOOST_AUTO_TEST_CASE(aStoppedPeerIsLostOnceAndItsSuccessorIsReached)
{
    EventLoop loop;
    LinkNode a(loop, "a");
    auto b = std::make_unique<LinkNode>(loop, "b");
    LinkNode c(loop, "c");
    const qz::Endpoint address = b->links_->listenEndpoint();
    a.links_->setPeers({ b->peer(), c.peer() });
    BOOST_TEST(a.send(b->id_, "1"));
    BOOST_TEST(a.send(c.id_, "1"));
    BOOST_TEST(runUntil(loop, [&] { return b->received_.size() + c.received_.size() == 2; }));
    b.reset();
    BOOST_TEST(runUntil(loop, [&] { return a.lost_.size() == 1U; }));
    BOOST_TEST(!a.links_->isUp(InstanceId("b")));
    BOOST_TEST(a.send(InstanceId("b"), "2")); // Taken: nobody knows yet that b is down.
    BOOST_TEST(runUntil(loop, [&] { return a.lost_.size() == 2U; }));
    BOOST_TEST(a.unsent_ == 1);
    BOOST_TEST(!a.send(InstanceId("b"), "3")); // Known to be down.
    LinkNode successor(loop, "b", fleetKey, address.port_);
    BOOST_TEST(runUntil(loop, [&] { return a.send(InstanceId("b"), "4"); }));
    BOOST_TEST(runUntil(loop, [&] { return successor.received_.size() == 1U; }));
    BOOST_TEST(a.links_->isUp(c.id_));
    BOOST_TEST(c.lost_.empty());
}

BOOST_AUTO_TEST_CASE(aPeerThatAcceptsAndNeverAnswersIsGivenUp)
{
    EventLoop loop;
    LinkNode a(loop, "a");
    LinkNode b(loop, "b");
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    socklen_t length = sizeof(address);
    BOOST_REQUIRE(bind(listener, reinterpret_cast<sockaddr *>(&address), length) == 0);
    BOOST_REQUIRE(listen(listener, 8) == 0);
    BOOST_REQUIRE(getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length) == 0);
    const qz::Endpoint endpoint{ "127.0.0.1", ntohs(address.sin_port) };
    const InstanceId silent("silent"); // The system accepts for it; nobody reads.
    a.links_->setPeers({ b.peer(), { silent, endpoint } });
    BOOST_TEST(a.send(silent, "x"));
    BOOST_TEST(a.send(b.id_, "x"));
    BOOST_TEST(runUntil(loop, [&] { return a.lost_.size() == 1U; }));
    BOOST_TEST(a.unsent_ == 1);
    BOOST_TEST(a.links_->isUp(b.id_));
    close(listener);
}

BOOST_AUTO_TEST_CASE(aLinkThatWorksOneWayOnlyIsFoundAndReplaced)
{
    EventLoop loop;
    LinkNode a(loop, "a");
    RawPeer raw(loop, a.links_->listenEndpoint(), "raw", fleetKey);
    BOOST_REQUIRE(runUntil(loop, [&] { return raw.isEstablished(); }));
    // It goes on sending; that it never answers shows that it does not hear.
    const auto traffic = loop.callEvery(20ms, [&raw] { raw.write(qz::encodeFrame(kind, "x")); });
    BOOST_TEST(a.send(InstanceId("raw"), "x"));
    BOOST_TEST(runUntil(loop, [&] { return a.lost_.size() == 1U; }));
    BOOST_TEST(runUntil(loop, [&] { return raw.isClosed(); }));
    RawPeer again(loop, a.links_->listenEndpoint(), "raw", fleetKey);
    BOOST_TEST(runUntil(loop, [&] { return again.isEstablished(); }));
}

BOOST_AUTO_TEST_CASE(aPeerThatDialsAgainReplacesItsFormerLink)
{
    EventLoop loop;
    LinkNode a(loop, "a");
    RawPeer former(loop, a.links_->listenEndpoint(), "raw", fleetKey);
    BOOST_REQUIRE(runUntil(loop, [&] { return former.isEstablished(); }));
    RawPeer again(loop, a.links_->listenEndpoint(), "raw", fleetKey);
    BOOST_TEST(runUntil(loop, [&] { return again.isEstablished() && former.isClosed(); }));
    BOOST_TEST(a.lost_.size() == 1U);
    BOOST_TEST(a.send(InstanceId("raw"), "x"));
    BOOST_REQUIRE(runUntil(loop, [&] { return again.frames().size() == 1U; }));
    BOOST_TEST(again.frames().front().payload_ == "x");
}

BOOST_AUTO_TEST_CASE(theOutputToAPeerThatDoesNotReadIsBounded)
{
    EventLoop loop;
    LinkNode a(loop, "a");
    RawPeer raw(loop, a.links_->listenEndpoint(), "raw", fleetKey);
    BOOST_REQUIRE(runUntil(loop, [&] { return raw.isEstablished(); }));
    raw.stopReading();
    const std::string payload(1U << 20U, 'x');
    int taken = 0;
    while (taken < 100 && a.send(InstanceId("raw"), payload)) {
        ++taken;
    }
    BOOST_TEST(taken < 100);
    BOOST_TEST(a.links_->unsentBytes() <= qz::LinkLimits().maxOutputBytes_ + 100);
}

BOOST_AUTO_TEST_CASE(badFramesHarmTheirOwnLinkOnly)
{
    checkHarmsItsOwnLinkOnly(std::string("\x7f\xff\xff\xff", 4));           // Too long.
    checkHarmsItsOwnLinkOnly(std::string("\0\0\0\1\xc1", 5));               // Malformed.
    checkHarmsItsOwnLinkOnly(std::string("\0\0\0\5\x93\x01\x63\xc4\0", 9)); // Unknown kind.
    checkHarmsItsOwnLinkOnly(std::string("\0\0\0\5\x93\x09\x04\xc4\0", 9)); // Unknown version.
    checkHarmsItsOwnLinkOnly(qz::encodeFrame(qz::MessageKind::Hello, ""));  // A second hello.
    checkHarmsItsOwnLinkOnly(qz::encodeFrame(qz::MessageKind::Heartbeat, "x"));
}

BOOST_AUTO_TEST_CASE(aTruncatedFrameIsNotHandedOut)
{
    EventLoop loop;
    LinkNode a(loop, "a", fleetKey, 0, qz::patientLimits());
    RawPeer raw(loop, a.links_->listenEndpoint(), "raw", fleetKey);
    BOOST_REQUIRE(runUntil(loop, [&] { return raw.isEstablished(); }));
    const std::string frame = qz::encodeFrame(kind, "payload");
    raw.write(frame.substr(0, frame.size() - 1));
    loop.runFor(20ms);
    raw.stopWriting();
    BOOST_TEST(runUntil(loop, [&] { return a.lost_.size() == 1U; }));
    BOOST_TEST(a.received_.empty());
}

BOOST_AUTO_TEST_CASE(aHandlerMayStopEverything)
{
    EventLoop loop;
    LinkNode a(loop, "a");
    LinkNode b(loop, "b");
    a.links_->setPeers({ b.peer() });
    b.links_->setHandler(kind, [&b](const InstanceId &, std::string_view) { b.links_->stop(); });
    BOOST_TEST(a.send(b.id_, "1"));
    BOOST_TEST(a.send(b.id_, "2"));
    BOOST_TEST(runUntil(loop, [&] { return a.lost_.size() == 1U; }));
    BOOST_TEST(!b.links_->isUp(a.id_));
}
