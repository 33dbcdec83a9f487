// Seeded fuzz tests of all code that handles bytes from a peer.
#include "linknode.h"
#include "rawpeer.h"

#include "qz_core/time/manualclock.h"
#include "qz_fleet/links/peerlink.h"
#include "qz_fleet/membership/membership.h"
#include "qz_fleet/messages/packing.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace std::chrono_literals;
using qz::Handshake;
using qz::LinkRole;

namespace {

constexpr std::uint64_t seed = 4711;
constexpr int streamCount = 60000;     ///< Byte streams for the frame decoder.
constexpr int messagesPerKind = 20000; ///< Messages for unpackMessage(), for each of 4 kinds.
constexpr int handshakeCount = 10000;  ///< Handshakes with one mutated frame.
constexpr int connectionCount = 1000;  ///< Connections over sockets.

std::size_t randomIndex(std::mt19937_64 &random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

/// Changes @p bytes in one to four places.
std::string mutate(std::string bytes, std::mt19937_64 &random)
{
    const std::size_t changes = 1 + randomIndex(random, 4);
    for (std::size_t i = 0; i < changes && !bytes.empty(); ++i) {
        const std::size_t at = randomIndex(random, bytes.size());
        const auto byte = static_cast<char>(randomIndex(random, 256));
        switch (randomIndex(random, 6)) {
        case 0:
            bytes[at] = byte;
            break;
        case 1:
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << randomIndex(random, 8)));
            break;
        case 2:
            bytes.insert(at, 1, byte);
            break;
        case 3:
            bytes.erase(at, 1 + randomIndex(random, 4));
            break;
        case 4:
            bytes.resize(at);
            break;
        default:
            bytes.insert(
                    at,
                    bytes.substr(randomIndex(random, bytes.size()), 1 + randomIndex(random, 16)));
            break;
        }
    }
    return bytes;
}

qz::MemberUpdate sampleUpdate(const std::string &id, std::mt19937_64 &random)
{
    qz::MemberUpdate update;
    update.id_ = qz::InstanceId(id);
    update.incarnation_ = "incarnation";
    update.version_ = randomIndex(random, 4);
    update.verdict_ = static_cast<std::uint8_t>(randomIndex(random, 3));
    update.peerEndpoint_ = { "10.0.0.1", 7000 };
    update.reporters_ = { qz::InstanceId("x") };
    return update;
}

qz::GossipMessage sampleGossip(std::mt19937_64 &random)
{
    qz::GossipMessage message;
    message.kind_ = static_cast<std::uint8_t>(randomIndex(random, qz::gossipKindCount));
    message.sequence_ = randomIndex(random, 50);
    message.subject_ = qz::InstanceId("instance-2");
    message.sender_ = sampleUpdate("instance-1", random);
    message.updates_ = { sampleUpdate("instance-0", random), sampleUpdate("instance-2", random) };
    return message;
}

template<typename T>
void fuzzMessage(const T &sample, std::mt19937_64 &random)
{
    const auto result = qz::unpackMessage<T>(mutate(qz::packMessage(sample), random));
    if (result.has_error()) {
        BOOST_REQUIRE((result.error().kind_ == qz::ErrorKind::FrameMalformed));
    }
}

Handshake makeSide(LinkRole role, const std::string &id, const std::string &key)
{
    return { role, qz::LinkIdentity{ qz::InstanceId(id), id + "-1" }, key,
             qz::makeHandshakeNonce() };
}

/// Passes bytes to @p side as a link does. Returns its reply; empty after an error.
std::string passBytes(Handshake &side, const std::string &bytes)
{
    qz::FrameDecoder decoder(1024);
    decoder.feed(bytes);
    std::string reply;
    for (auto frame = decoder.next(); frame.has_value() && frame.value(); frame = decoder.next()) {
        const auto step = side.take(*frame.value());
        if (step.has_error()) {
            return {};
        }
        reply += step.value().reply_;
    }
    return reply;
}

} // namespace

BOOST_AUTO_TEST_CASE(theFrameDecoderSurvivesMutatedStreams)
{
    std::mt19937_64 random(seed);
    int failed = 0;
    for (int i = 0; i < streamCount; ++i) {
        std::string stream;
        for (std::size_t frame = 0; frame <= randomIndex(random, 3); ++frame) {
            const auto kind = static_cast<qz::MessageKind>(1 + randomIndex(random, 13));
            stream += qz::encodeFrame(kind, std::string(randomIndex(random, 40), 'p'));
        }
        stream = mutate(std::move(stream), random);
        qz::FrameDecoder decoder(256);
        bool hasFailed = false;
        for (std::size_t at = 0; at < stream.size();) {
            const std::size_t count = std::min(stream.size() - at, 1 + randomIndex(random, 30));
            decoder.feed(std::string_view(stream).substr(at, count));
            at += count;
            auto frame = decoder.next();
            while (frame.has_value() && frame.value()) {
                BOOST_REQUIRE(!hasFailed);
                BOOST_REQUIRE(frame.value()->payload_.size() <= 256U);
                frame = decoder.next();
            }
            BOOST_REQUIRE((!hasFailed || frame.has_error()));
            hasFailed = frame.has_error();
        }
        failed += hasFailed ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(streamCount << " streams, of which " << failed << " were rejected");
    BOOST_TEST(failed > streamCount / 4);
}

BOOST_AUTO_TEST_CASE(unpackingSurvivesMutatedBytes)
{
    std::mt19937_64 random(seed);
    for (int i = 0; i < messagesPerKind; ++i) {
        const qz::LinkIdentity identity{ qz::InstanceId("a"), "a-1" };
        fuzzMessage(qz::HelloMessage{ identity, std::string(32, 'n') }, random);
        fuzzMessage(qz::HelloProofMessage{ std::string(32, 'p') }, random);
        fuzzMessage(qz::HeartbeatMessage{ 17, true }, random);
        fuzzMessage(sampleGossip(random), random);
    }
}

BOOST_AUTO_TEST_CASE(membershipSurvivesMutatedHeartbeats)
{
    std::mt19937_64 random(seed);
    qz::ManualClock clock;
    qz::Member self;
    self.id_ = qz::InstanceId("instance-0");
    self.incarnation_ = "incarnation";
    const auto membership =
            qz::Membership::Builder().setSelf(self).setRandom(random).setStart(clock.now()).build();
    int decoded = 0;
    for (int i = 0; i < messagesPerKind; ++i) {
        const std::string bytes = mutate(qz::packMessage(sampleGossip(random)), random);
        const auto message = qz::unpackMessage<qz::GossipMessage>(bytes);
        if (message.has_value()) {
            ++decoded;
            const qz::InstanceId sender = message.value().sender_.id_;
            membership->receive(sender, message.value(), clock.now());
        }
        clock.advance(10ms);
        membership->tick(clock.now());
        BOOST_REQUIRE(!membership->members().empty()); // Never removes itself.
    }
    BOOST_TEST_MESSAGE(messagesPerKind << " heartbeats, of which " << decoded << " were decoded");
    BOOST_TEST(decoded > 1000);
}

BOOST_AUTO_TEST_CASE(mutatedHandshakesNeverAcceptAWrongKey)
{
    std::mt19937_64 random(seed);
    for (int i = 0; i < handshakeCount; ++i) {
        const bool isDialer = randomIndex(random, 2) == 0;
        Handshake dialer = makeSide(LinkRole::Dialer, "a", isDialer ? "key" : "guess");
        Handshake acceptor = makeSide(LinkRole::Acceptor, "b", isDialer ? "guess" : "key");
        const std::size_t changed = randomIndex(random, 5);
        std::string bytes = dialer.open();
        for (std::size_t step = 0; step < 4; ++step) {
            bytes = step == changed ? mutate(bytes, random) : bytes;
            bytes = passBytes(step % 2 == 0 ? acceptor : dialer, bytes);
        }
        BOOST_REQUIRE(!(isDialer ? dialer : acceptor).isDone());
    }
}

BOOST_AUTO_TEST_CASE(mutatedHandshakesNeverLeaveOnlyTheDialerDone)
{
    std::mt19937_64 random(seed);
    int done = 0;
    for (int i = 0; i < handshakeCount; ++i) {
        Handshake dialer = makeSide(LinkRole::Dialer, "a", "key");
        Handshake acceptor = makeSide(LinkRole::Acceptor, "b", "key");
        const std::size_t changed = randomIndex(random, 4);
        std::string bytes = dialer.open();
        for (std::size_t step = 0; step < 4; ++step) {
            bytes = step == changed ? mutate(bytes, random) : bytes;
            bytes = passBytes(step % 2 == 0 ? acceptor : dialer, bytes);
        }
        // The proofs cover the earlier frames. Only a mutation of the last frame, which the
        // acceptor does not see, can leave the acceptor done and the dialer not.
        BOOST_REQUIRE((!dialer.isDone() || acceptor.isDone()));
        done += dialer.isDone() ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(handshakeCount << " handshakes, of which " << done << " completed");
}

BOOST_AUTO_TEST_CASE(mutatedConnectionsDoNotAffectOtherLinks)
{
    std::mt19937_64 random(seed);
    qz::EventLoop loop;
    qz::LinkNode a(loop, "a");
    qz::LinkNode b(loop, "b");
    a.links_->setPeers({ b.peer() });
    std::size_t sent = 0;
    constexpr int atOnce = 50;
    for (int i = 0; i < connectionCount; i += atOnce) {
        std::vector<std::unique_ptr<qz::RawPeer>> peers;
        for (int peer = 0; peer < atOnce; ++peer) {
            peers.push_back(std::make_unique<qz::RawPeer>(loop, a.links_->listenEndpoint(), "raw",
                                                          "fleet key"));
            if (peer % 2 == 0) {
                Handshake dialer = makeSide(LinkRole::Dialer, "raw", "fleet key");
                peers.back()->setOpening(mutate(dialer.open(), random));
            }
        }
        BOOST_REQUIRE(a.send(b.id_, "x"));
        ++sent;
        loop.runFor(15ms);
        for (const auto &peer : peers) {
            const auto frame = qz::encodeFrame(qz::MessageKind::Heartbeat,
                                               qz::packMessage(qz::HeartbeatMessage{ 1, false }));
            peer->write(mutate(frame, random));
        }
        loop.runFor(10ms);
    }
    BOOST_TEST(b.received_.size() == sent);
    BOOST_TEST(b.lost_.empty());
    BOOST_TEST(a.received_.empty());
    BOOST_TEST(a.links_->isUp(b.id_));
}
