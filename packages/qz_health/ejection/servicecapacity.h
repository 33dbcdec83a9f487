// Compares the healthy capacity of a service with its floor.
#pragma once

#include "qz_health/ejection/ejectionrow.h"

#include <vector>

namespace qz {

/// A backend server of the service according to the rules and the platform's list, which may be
/// out of date.
struct ServiceMember
{
    BackendServerId id_;
    int slots_ = 1;
    Withdrawal withdrawal_ = Withdrawal::None;
};

/// Numbers of slots of a service.
struct ServiceCapacity
{
    int total_ = 0;
    int required_ = 0; ///< Slots that must stay healthy: the floor, rounded up.
    int healthy_ = 0;  ///< Slots of servers listed live that count as healthy in the row.

    /// Returns true if the floor still holds after @p slots healthy slots are ejected.
    bool canEject(int slots) const { return healthy_ - slots >= required_; }
};

/// Counts the slots of @p members by their state in @p row.
/// @param floor the share of slots, 0..1, that must stay healthy
ServiceCapacity countCapacity(const EjectionRow &row, const std::vector<ServiceMember> &members,
                              double floor);

} // namespace qz
