// Tests of peer links over loopback sockets.
#include "qz_fleet/links/peerlinks.h"

#include "qz_fleet/messages/packing.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace std::chrono_literals;

namespace {

constexpr auto kind = qz::MessageKind::ExecuteRequest;

qz::LinkLimits quickLimits()
{
    qz::LinkLimits limits;
    limits.connectLimit_ = 300ms;
    limits.handshakeLimit_ = 500ms;
    limits.heartbeatPeriod_ = 100ms;
    limits.idleHeartbeatPeriod_ = 200ms;
    limits.heartbeatLimit_ = 300ms;
    limits.minBackoff_ = 50ms;
    return limits;
}

/// One instance with what it received and which links it lost.
struct Node
{
    Node(qz::EventLoop &loop, const std::string &name, const std::string &key = "fleet key")
        : id_(name)
    {
        links_ = qz::PeerLinks::Builder()
                         .setLoop(loop)
                         .setSelf(id_, name + "-1")
                         .setListenEndpoint({ "127.0.0.1", 0 })
                         .setFleetKey(key)
                         .setLimits(quickLimits())
                         .build();
        links_->setHandler(kind, [this](const qz::InstanceId &from, std::string_view payload) {
            received_.emplace_back(from.value() + ":" + std::string(payload));
        });
        links_->setLinkLostHandler([this](const qz::InstanceId &) { ++lost_; });
        BOOST_REQUIRE(links_->start().has_value());
    }

    qz::Peer peer() const { return { id_, links_->listenEndpoint() }; }

    qz::InstanceId id_;
    std::unique_ptr<qz::PeerLinks> links_;
    std::vector<std::string> received_;
    int lost_ = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(messagesArriveInOrderAndTheLinkIsUsedBothWays)
{
    qz::EventLoop loop;
    Node a(loop, "a");
    Node b(loop, "b");
    a.links_->setPeers({ b.peer() });
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(a.links_->send(b.id_, kind, std::to_string(i)).has_value());
    }
    loop.runFor(50ms);
    BOOST_TEST(b.links_->send(a.id_, kind, "back").has_value()); // b has no address of a.
    loop.runFor(50ms);
    const std::vector<std::string> expected{ "a:0", "a:1", "a:2", "a:3", "a:4" };
    BOOST_TEST(b.received_ == expected, boost::test_tools::per_element());
    BOOST_TEST(a.received_.size() == 1U);
    BOOST_TEST(a.links_->isUp(b.id_));
    BOOST_TEST(a.lost_ + b.lost_ == 0);
}

BOOST_AUTO_TEST_CASE(aPeerWithAnotherKeyIsRefused)
{
    qz::EventLoop loop;
    Node a(loop, "a", "one key");
    Node b(loop, "b", "another key");
    a.links_->setPeers({ b.peer() });
    BOOST_TEST(a.links_->send(b.id_, kind, "x").has_value());
    loop.runFor(800ms);
    BOOST_TEST(b.received_.empty());
    BOOST_TEST(a.lost_ == 1); // Its message was taken and not sent.
    BOOST_TEST(b.lost_ == 0);
    BOOST_TEST(!a.links_->isUp(b.id_));
}

BOOST_AUTO_TEST_CASE(twoInstancesThatDialAtOnceKeepOneLinkAndLoseNothing)
{
    for (const bool reversed : { false, true }) {
        qz::EventLoop loop;
        Node a(loop, reversed ? "b" : "a");
        Node b(loop, reversed ? "a" : "b");
        a.links_->setPeers({ b.peer() });
        b.links_->setPeers({ a.peer() });
        BOOST_TEST(a.links_->send(b.id_, kind, "1").has_value());
        BOOST_TEST(b.links_->send(a.id_, kind, "2").has_value());
        loop.runFor(400ms);
        BOOST_TEST(a.received_.size() == 1U);
        BOOST_TEST(b.received_.size() == 1U);
        BOOST_TEST(a.lost_ + b.lost_ == 0);
        BOOST_TEST(a.links_->dumpState()["links_established"] == 1);
        BOOST_TEST(b.links_->dumpState()["links_established"] == 1);
    }
}
