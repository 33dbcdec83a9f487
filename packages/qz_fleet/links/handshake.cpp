// The handshake by HMAC-SHA256.
#include "qz_fleet/links/handshake.h"

#include "qz_core/hashing/hmac.h"
#include "qz_fleet/messages/packing.h"

#include <openssl/rand.h>

#include <array>
#include <cassert>
#include <cstdlib>
#include <utility>

namespace qz {

namespace {

constexpr std::size_t maxIdentityBytes = 256;
constexpr std::string_view proofContext = "quetzaldale peer link 1";

/// What a proof covers. msgpack marks the length of each part, so that no two different
/// handshakes give the same bytes.
struct ProofInput
{
    std::string context_;
    std::uint8_t role_ = 0;
    HelloMessage dialer_;
    HelloMessage acceptor_;

    MSGPACK_DEFINE(context_, role_, dialer_, acceptor_)
};

bool isPlausible(const HelloMessage &hello)
{
    const std::size_t idBytes = hello.sender_.id_.value().size();
    return hello.nonce_.size() == handshakeNonceBytes && idBytes > 0 && idBytes <= maxIdentityBytes
            && hello.sender_.incarnation_.size() <= maxIdentityBytes;
}

} // namespace

std::string makeHandshakeNonce()
{
    std::array<unsigned char, handshakeNonceBytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        std::abort(); // A nonce that may repeat would let a proof be replayed.
    }
    return std::string(reinterpret_cast<const char *>(bytes.data()), bytes.size());
}

Handshake::Handshake(LinkRole role, LinkIdentity self, std::string fleetKey, std::string nonce,
                     std::optional<InstanceId> expectedPeer)
    : role_(role)
    , self_{ std::move(self), std::move(nonce) }
    , fleetKey_(std::move(fleetKey))
    , expectedPeer_(std::move(expectedPeer))
{
    assert(!fleetKey_.empty());
    assert(isPlausible(self_));
}

std::string Handshake::open() const
{
    return role_ == LinkRole::Dialer ? helloFrame() : std::string();
}

Result<Handshake::Step> Handshake::take(const Frame &frame)
{
    auto step = state_ == State::AwaitHello ? takeHello(frame) : takeProof(frame);
    if (step.has_error()) {
        state_ = State::Failed;
    }
    return step;
}

Result<Handshake::Step> Handshake::takeHello(const Frame &frame)
{
    if (frame.kind_ != MessageKind::Hello) {
        return failure(ErrorKind::LinkUnauthenticated, "the first frame is no hello");
    }
    BOOST_OUTCOME_TRY(hello, unpackMessage<HelloMessage>(frame.payload_));
    peer_ = std::move(hello);
    if (!isPlausible(peer_)) {
        return failure(ErrorKind::FrameMalformed, "a hello with a bad identity or nonce");
    }
    if (peer_.sender_.id_ == self_.sender_.id_) {
        return failure(ErrorKind::LinkUnauthenticated, "the peer claims this instance's id");
    }
    if (expectedPeer_ && peer_.sender_.id_ != *expectedPeer_) {
        return failure(ErrorKind::LinkUnauthenticated, "another instance answers there");
    }
    state_ = State::AwaitProof;
    return Step{ role_ == LinkRole::Dialer ? proofFrame() : helloFrame(), false };
}

Result<Handshake::Step> Handshake::takeProof(const Frame &frame)
{
    if (state_ != State::AwaitProof || frame.kind_ != MessageKind::HelloProof) {
        return failure(ErrorKind::LinkUnauthenticated, "a frame before the proof");
    }
    BOOST_OUTCOME_TRY(message, unpackMessage<HelloProofMessage>(frame.payload_));
    const LinkRole peerRole = role_ == LinkRole::Dialer ? LinkRole::Acceptor : LinkRole::Dialer;
    if (!isEqualInConstantTime(message.proof_, proofOf(peerRole))) {
        return failure(ErrorKind::LinkUnauthenticated, "the proof does not fit the fleet key");
    }
    state_ = State::Done;
    return Step{ role_ == LinkRole::Acceptor ? proofFrame() : std::string(), true };
}

std::string Handshake::helloFrame() const
{
    return encodeFrame(MessageKind::Hello, packMessage(self_));
}

std::string Handshake::proofFrame() const
{
    return encodeFrame(MessageKind::HelloProof, packMessage(HelloProofMessage{ proofOf(role_) }));
}

std::string Handshake::proofOf(LinkRole role) const
{
    ProofInput input;
    input.context_ = proofContext;
    input.role_ = static_cast<std::uint8_t>(role);
    input.dialer_ = role_ == LinkRole::Dialer ? self_ : peer_;
    input.acceptor_ = role_ == LinkRole::Dialer ? peer_ : self_;
    return hmacSha256(fleetKey_, packMessage(input));
}

} // namespace qz
