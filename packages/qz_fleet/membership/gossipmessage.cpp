// Validation of received heartbeats.
#include "qz_fleet/membership/gossipmessage.h"

#include <algorithm>

namespace qz {

bool isValid(const GossipMessage &message)
{
    constexpr std::size_t maxIdBytes = 256;
    const auto isValidUpdate = [](const MemberUpdate &update) { return isValid(update); };
    return message.kind_ < gossipKindCount && message.subject_.value().size() <= maxIdBytes
            && message.updates_.size() <= maxGossipUpdates && isValid(message.sender_)
            && message.sender_.isSelfReported()
            && std::all_of(message.updates_.begin(), message.updates_.end(), isValidUpdate);
}

} // namespace qz
