// Tests of frames, packing and the handshake without sockets.
#include "qz_fleet/links/framedecoder.h"

#include "qz_fleet/links/handshake.h"
#include "qz_fleet/messages/packing.h"

#include <boost/test/unit_test.hpp>

using qz::Handshake;
using qz::LinkRole;

namespace {

Handshake makeSide(LinkRole role, const std::string &id, const std::string &key = "key")
{
    return { role, qz::LinkIdentity{ qz::InstanceId(id), id + "-1" }, key,
             qz::makeHandshakeNonce() };
}

/// Gives encoded frames to @p side, one after the other. Returns what it answers.
qz::Result<Handshake::Step> give(Handshake &side, const std::string &frames)
{
    qz::FrameDecoder decoder(4096);
    decoder.feed(frames);
    qz::Result<Handshake::Step> step = Handshake::Step{};
    for (auto frame = decoder.next(); frame.value(); frame = decoder.next()) {
        step = side.take(*frame.value());
    }
    return step;
}

} // namespace

BOOST_AUTO_TEST_CASE(framesComeOutWholeHoweverTheBytesAreCut)
{
    const std::string bytes = qz::encodeFrame(qz::MessageKind::RulesAnswer, "first")
            + qz::encodeFrame(qz::MessageKind::ClaimAnswer, "");
    qz::FrameDecoder decoder(100);
    std::vector<qz::Frame> frames;
    for (const char byte : bytes) {
        decoder.feed(std::string_view(&byte, 1));
        auto frame = decoder.next();
        BOOST_REQUIRE(frame.has_value());
        if (frame.value()) {
            frames.push_back(*frame.value());
        }
    }
    BOOST_REQUIRE(frames.size() == 2U);
    BOOST_TEST((frames[0].kind_ == qz::MessageKind::RulesAnswer));
    BOOST_TEST(frames[0].payload_ == "first");
    BOOST_TEST(frames[1].payload_.empty());
    BOOST_TEST(decoder.pendingBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(theFirstErrorOfAStreamIsFinal)
{
    qz::FrameDecoder decoder(20);
    decoder.feed(qz::encodeFrame(qz::MessageKind::RulesAnswer, std::string(30, 'x')).substr(0, 4));
    BOOST_TEST((decoder.next().error().kind_ == qz::ErrorKind::FrameTooLong));
    decoder.feed(qz::encodeFrame(qz::MessageKind::RulesAnswer, ""));
    BOOST_TEST((decoder.next().error().kind_ == qz::ErrorKind::FrameTooLong));
}

BOOST_AUTO_TEST_CASE(aMessageWithOtherMembersOrTrailingBytesIsMalformed)
{
    const qz::HelloProofMessage message{ "proof" };
    const std::string packed = qz::packMessage(message);
    BOOST_TEST(qz::unpackMessage<qz::HelloProofMessage>(packed).value().proof_ == "proof");
    for (const std::string &bad :
         { packed + "x", packed.substr(0, 4), std::string(), std::string("\xc0"),
           std::string("\x90"), std::string("\x92\xa1x\xa1y"), std::string("\x91\x05") }) {
        const auto result = qz::unpackMessage<qz::HelloProofMessage>(bad);
        BOOST_REQUIRE(result.has_error());
        BOOST_TEST((result.error().kind_ == qz::ErrorKind::FrameMalformed));
    }
}

BOOST_AUTO_TEST_CASE(deepAndHugeMessagesAreRefusedBeforeTheyAreBuilt)
{
    const std::string deep(100000, '\x91');
    BOOST_TEST(qz::unpackMessage<qz::HelloProofMessage>(deep).has_error());
    const std::string huge("\xdd\xff\xff\xff\xff", 5); // An array of 2^32 - 1 elements.
    BOOST_TEST(qz::unpackMessage<qz::HelloProofMessage>(huge).has_error());
}

BOOST_AUTO_TEST_CASE(twoSidesWithTheSameKeyProveThemselves)
{
    Handshake dialer = makeSide(LinkRole::Dialer, "a");
    Handshake acceptor = makeSide(LinkRole::Acceptor, "b");
    const auto hello = give(acceptor, dialer.open());
    const auto proof = give(dialer, hello.value().reply_);
    const auto answer = give(acceptor, proof.value().reply_);
    BOOST_TEST(answer.value().isDone_);
    BOOST_TEST(give(dialer, answer.value().reply_).value().isDone_);
    BOOST_TEST(dialer.peer().id_.value() == "b");
    BOOST_TEST(acceptor.peer().incarnation_ == "a-1");
}

BOOST_AUTO_TEST_CASE(aProofIsGoodForOneHandshakeAndOneRoleOnly)
{
    Handshake dialer = makeSide(LinkRole::Dialer, "a");
    Handshake acceptor = makeSide(LinkRole::Acceptor, "b");
    const std::string opening = dialer.open();
    const std::string hello = give(acceptor, opening).value().reply_;
    const std::string proof = give(dialer, hello).value().reply_;
    BOOST_TEST(give(dialer, proof).has_error()); // Reflected.
    Handshake later = makeSide(LinkRole::Acceptor, "b");
    BOOST_TEST(give(later, opening).has_value());
    BOOST_TEST(give(later, proof).has_error()); // Replayed under another nonce.
    BOOST_TEST(!later.isDone());
}

BOOST_AUTO_TEST_CASE(anotherInstanceThanTheOneDialedIsRefused)
{
    Handshake dialer(LinkRole::Dialer, qz::LinkIdentity{ qz::InstanceId("a"), "a-1" }, "key",
                     qz::makeHandshakeNonce(), qz::InstanceId("c"));
    Handshake acceptor = makeSide(LinkRole::Acceptor, "b");
    const std::string hello = give(acceptor, dialer.open()).value().reply_;
    BOOST_TEST(give(dialer, hello).has_error());
}
