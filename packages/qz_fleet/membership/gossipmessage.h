// The message of the membership protocol: a heartbeat that carries member updates.
#pragma once

#include "qz_fleet/membership/memberupdate.h"

#include <cstdint>
#include <vector>

namespace qz {

enum class GossipKind : std::uint8_t {
    Probe,        ///< Requests an Ack from the receiver.
    Ack,          ///< Replies to a Probe, or reports that another member has replied to one.
    ProbeRequest, ///< Requests that the receiver probe a member on the sender's behalf.
};

constexpr std::size_t gossipKindCount = 3;
constexpr std::size_t maxGossipUpdates = 16; ///< A received message with more is invalid.

/// A heartbeat. @see Membership
struct GossipMessage
{
    std::uint8_t kind_ = 0;      ///< A GossipKind.
    std::uint64_t sequence_ = 0; ///< Chosen by the prober; an Ack repeats it.
    InstanceId subject_; ///< The member to probe, or that replied; empty if it is the sender.
    MemberUpdate sender_;
    bool hasHeardFromReceiver_ = false; ///< The sender has recently heard from the receiver.
    std::uint64_t rulesVersion_ = 0;    ///< In force at the sender.
    std::uint64_t viewDigest_ = 0;      ///< Equal for instances that have the same member states.
    std::uint32_t memberCount_ = 0;     ///< Live and leaving members known to the sender.
    std::vector<MemberUpdate> updates_;

    MSGPACK_DEFINE(kind_, sequence_, subject_, sender_, hasHeardFromReceiver_, rulesVersion_,
                   viewDigest_, memberCount_, updates_)

    GossipKind kind() const { return static_cast<GossipKind>(kind_); }
    void setKind(GossipKind kind) { kind_ = static_cast<std::uint8_t>(kind); }
};

/// Returns false if a value of a received message is out of range.
bool isValid(const GossipMessage &message);

} // namespace qz
