// Names and wire values of the message kinds.
#include "qz_fleet/messages/messagekind.h"

#include <array>

namespace qz {

namespace {

constexpr std::array<std::string_view, messageKindEnd> names{
    "",
    "hello",
    "hello-proof",
    "heartbeat",
    "execute-request",
    "execute-answer",
    "cancel-request",
    "rules-request",
    "rules-answer",
    "claim-request",
    "claim-answer",
    "opinion-request",
    "opinion-answer",
    "membership-gossip",
    "presence",
    "health-note",
    "table-request",
    "table-update",
    "table-version",
    "instance-list",
    "server-statement",
    "crash-report",
};

} // namespace

std::optional<MessageKind> messageKindFromValue(std::uint64_t value)
{
    if (value == 0 || value >= messageKindEnd) {
        return std::nullopt;
    }
    return static_cast<MessageKind>(value);
}

bool isLinkInternal(MessageKind kind)
{
    return kind == MessageKind::Hello || kind == MessageKind::HelloProof
            || kind == MessageKind::Heartbeat;
}

std::string_view toString(MessageKind kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace qz
