// Who monitors whom: a constant number of neighbours, however large the fleet is.
#pragma once

#include "qz_core/ids/ids.h"

#include <cstddef>
#include <vector>

namespace qz {

/// Orders the members on several rings, each by a hash of its own. A member monitors its
/// successor on each ring and is monitored by its predecessors. The rings together are
/// a random graph, on which news reaches everybody in a number of steps that grows with the
/// logarithm of the fleet. A member that comes or goes changes its neighbours only.
///
/// In a fleet of at most twice as many members as rings, everybody monitors everybody.
/// @see Prober
class MonitoringRings
{
public:
    explicit MonitoringRings(std::size_t ringCount);

    /// Replaces the members, in any order.
    void setMembers(const std::vector<InstanceId> &members);

    /// Whom @p member monitors, without repetition. Empty if it is no member.
    std::vector<InstanceId> subjectsOf(const InstanceId &member) const;

    /// Who monitors @p member, without repetition. Empty if it is no member.
    std::vector<InstanceId> observersOf(const InstanceId &member) const;

private:
    enum class Direction { Successor, Predecessor };
    std::vector<InstanceId> neighboursOf(const InstanceId &member, Direction direction) const;

    using Ring = std::vector<InstanceId>;
    std::vector<Ring> rings_; ///< All hold the same members.
};

} // namespace qz
