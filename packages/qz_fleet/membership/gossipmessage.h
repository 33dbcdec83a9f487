// The one message of membership: heartbeats that carry member updates.
#pragma once

#include "qz_fleet/membership/memberupdate.h"

#include <cstdint>
#include <vector>

namespace qz {

enum class GossipKind : std::uint8_t {
    Probe,        ///< Asks the receiver for an Ack.
    Ack,          ///< Answers a Probe, or tells that another member has answered one.
    ProbeRequest, ///< Asks the receiver to probe a member on the sender's behalf.
};

constexpr std::size_t gossipKindCount = 3;
constexpr std::size_t maxGossipUpdates = 16; ///< More in a received message are an error.

/// A heartbeat. @see Membership
struct GossipMessage
{
    std::uint8_t kind_ = 0;      ///< A GossipKind.
    std::uint64_t sequence_ = 0; ///< Chosen by who probes; an Ack repeats it.
    InstanceId subject_;         ///< Whom to probe, or who has answered; empty if it is the sender.
    MemberUpdate sender_;
    bool hasHeardFromReceiver_ = false; ///< The sender has heard the receiver a short while ago.
    std::uint64_t rulesVersion_ = 0;    ///< In force at the sender.
    std::uint64_t viewDigest_ = 0;      ///< Equal if both know the same of the same members.
    std::uint32_t memberCount_ = 0;     ///< Live and leaving members that the sender knows.
    std::vector<MemberUpdate> updates_;

    MSGPACK_DEFINE(kind_, sequence_, subject_, sender_, hasHeardFromReceiver_, rulesVersion_,
                   viewDigest_, memberCount_, updates_)

    GossipKind kind() const { return static_cast<GossipKind>(kind_); }
    void setKind(GossipKind kind) { kind_ = static_cast<std::uint8_t>(kind); }
};

/// False if a received message has a value out of its range.
bool isValid(const GossipMessage &message);

} // namespace qz
