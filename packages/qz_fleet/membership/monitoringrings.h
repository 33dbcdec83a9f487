// Selects the members that each member monitors: a constant number, whatever the fleet size.
#pragma once

#include "qz_core/ids/ids.h"

#include <cstddef>
#include <vector>

namespace qz {

/// Orders the members on several rings, each by a different hash. A member monitors its successor
/// on each ring and is monitored by its predecessors. The rings together form a random graph, on
/// which an update reaches all members in a number of steps that grows with the logarithm of the
/// fleet size. A member that joins or leaves changes only what its neighbours monitor.
///
/// If there are at most twice as many members as rings, each member monitors all others.
/// @see Prober
class MonitoringRings
{
public:
    explicit MonitoringRings(std::size_t ringCount);

    /// Replaces the members, in any order.
    void setMembers(const std::vector<InstanceId> &members);

    /// Returns the members that @p member monitors, without duplicates; empty if @p member is
    /// unknown.
    std::vector<InstanceId> subjectsOf(const InstanceId &member) const;

    /// Returns the members that monitor @p member, without duplicates; empty if @p member is
    /// unknown.
    std::vector<InstanceId> observersOf(const InstanceId &member) const;

private:
    enum class Direction { Successor, Predecessor };
    std::vector<InstanceId> neighboursOf(const InstanceId &member, Direction direction) const;

    using Ring = std::vector<InstanceId>;
    std::vector<Ring> rings_; ///< All have the same members.
};

} // namespace qz
