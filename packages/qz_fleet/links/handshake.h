// The handshake of a peer link: both sides prove that they hold the fleet key before
// anything else is taken.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_core/ids/ids.h"
#include "qz_fleet/links/framedecoder.h"
#include "qz_fleet/messages/coreadaptors.h"

#include <optional>
#include <string>

namespace qz {

enum class LinkRole : std::uint8_t { Dialer, Acceptor };

/// Who stands at one end of a link.
struct LinkIdentity
{
    InstanceId id_;
    std::string incarnation_; ///< Differs for each start of the process.

    MSGPACK_DEFINE(id_, incarnation_)
};

/// The first message of each side.
struct HelloMessage
{
    LinkIdentity sender_;
    std::string nonce_; ///< Random, of handshakeNonceBytes bytes.

    MSGPACK_DEFINE(sender_, nonce_)
};

/// The second message of each side: an HMAC-SHA256 under the fleet key over the sender's
/// role, both identities and both nonces.
struct HelloProofMessage
{
    std::string proof_;

    MSGPACK_DEFINE(proof_)
};

constexpr std::size_t handshakeNonceBytes = 32;

/// A fresh nonce from libcrypto's generator.
std::string makeHandshakeNonce();

/// One side of a handshake, without a socket. The dialer's frames: Hello, HelloProof; the
/// acceptor's: Hello, HelloProof, the latter only after the dialer's proof was good. So an
/// acceptor proves nothing to a stranger, and no proof can be reflected: it names its role.
/// @see PeerLink
class Handshake
{
public:
    /// What to do after a frame.
    struct Step
    {
        std::string reply_; ///< Encoded frames to send; may be empty.
        bool isDone_ = false;
    };

    /// @p fleetKey must not be empty. @p expectedPeer is whom a dialer means to reach;
    /// an acceptor leaves it out.
    Handshake(LinkRole role, LinkIdentity self, std::string fleetKey, std::string nonce,
              std::optional<InstanceId> expectedPeer = std::nullopt);

    /// The frames that open the handshake; empty for an acceptor.
    std::string open() const;

    /// Takes the next frame of the peer. Fails with LinkUnauthenticated if the frame is out
    /// of order or its proof is wrong, and with FrameMalformed; the link must then be closed.
    Result<Step> take(const Frame &frame);

    /// The peer's identity: claimed after its Hello, proved once a step is done.
    const LinkIdentity &peer() const { return peer_.sender_; }
    bool isDone() const { return state_ == State::Done; }
    LinkRole role() const { return role_; }

private:
    enum class State { AwaitHello, AwaitProof, Done, Failed };

    Result<Step> takeHello(const Frame &frame);
    Result<Step> takeProof(const Frame &frame);
    std::string helloFrame() const;
    std::string proofFrame() const;
    std::string proofOf(LinkRole role) const;

    LinkRole role_;
    HelloMessage self_;
    HelloMessage peer_;
    std::string fleetKey_; ///< Never logged, dumped or sent.
    std::optional<InstanceId> expectedPeer_;
    State state_ = State::AwaitHello;
};

} // namespace qz
