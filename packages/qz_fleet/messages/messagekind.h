// The closed list of messages between instances.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace qz {

/// What a frame on a peer link carries. The values are part of the link protocol and never
/// change; a new kind gets a new value.
/// @see PeerLinks
enum class MessageKind : std::uint16_t {
    Hello = 1,      ///< Opens the handshake of a link; taken by the link itself.
    HelloProof = 2, ///< Proves the fleet key; taken by the link itself.
    Heartbeat = 3,  ///< Checks that both directions of a link work; taken by the link itself.
    ExecuteRequest = 4,
    ExecuteAnswer = 5,
    CancelRequest = 6,
    RulesRequest = 7,
    RulesAnswer = 8,
    ClaimRequest = 9,
    ClaimAnswer = 10,
    OpinionRequest = 11,
    OpinionAnswer = 12,
    MembershipGossip = 13, ///< Heartbeats and member updates. @see Membership
    Presence = 14,         ///< An instance is live. @see PresenceDriver
    HealthReport = 15,     ///< What an instance found out about a backend server.
    TableRequest = 16,     ///< Asks for a whole table. @see ReplicaExchange
    TableUpdate = 17,      ///< A table's rows, all or those that changed.
    TableVersion = 18,     ///< The sender has this version of a table.
    InstanceList = 19,     ///< The instances that the sender knows. @see PresenceDriver
    ServerStatement = 20,  ///< What a backend server says of itself in its responses.
    CrashReport = 21,      ///< Requests under which backend servers have ended.
};

/// One more than the highest value of a kind.
constexpr std::size_t messageKindEnd = 22;

/// The kind with the value @p value on the wire, if there is one.
std::optional<MessageKind> messageKindFromValue(std::uint64_t value);

/// True for the kinds that links use among themselves; nothing else may send them.
bool isLinkInternal(MessageKind kind);

std::string_view toString(MessageKind kind);

} // namespace qz
