// Which member updates still have to be told to others.
#pragma once

#include "qz_core/ids/ids.h"

#include <cstddef>
#include <map>
#include <vector>

namespace qz {

/// Members with news, each to be told a number of times, those told least often first.
/// @see Membership
class GossipQueue
{
public:
    /// Tells of @p member anew, @p transmissions times from now on.
    void add(const InstanceId &member, int transmissions);

    /// Up to @p count members to tell in one message; counts as told once.
    std::vector<InstanceId> selectNext(std::size_t count);

    void remove(const InstanceId &member) { entries_.erase(member); }
    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        int told_ = 0;
        int transmissions_ = 0; ///< Always more than told_.
    };
    std::map<InstanceId, Entry> entries_;
};

} // namespace qz
