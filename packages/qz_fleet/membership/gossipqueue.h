// The queue of member updates that still have to be sent to other members.
#pragma once

#include "qz_core/ids/ids.h"

#include <cstddef>
#include <map>
#include <vector>

namespace qz {

/// Members whose updates are to be gossiped. Each update is sent a limited number of times; those
/// sent least often go first.
/// @see Membership
class GossipQueue
{
public:
    /// Queues the update of @p member for @p transmissions transmissions, counted from zero again.
    void add(const InstanceId &member, int transmissions);

    /// Returns at most @p count members whose updates go into one message, and counts one
    /// transmission for each.
    std::vector<InstanceId> selectNext(std::size_t count);

    void remove(const InstanceId &member) { entries_.erase(member); }
    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        int sentCount_ = 0;
        int transmissions_ = 0; ///< Always greater than sentCount_.
    };
    std::map<InstanceId, Entry> entries_;
};

} // namespace qz
