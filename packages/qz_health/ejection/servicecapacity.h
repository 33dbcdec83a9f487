// Healthy capacity of a service against its floor.
#pragma once

#include "qz_health/ejection/ejectionrow.h"

#include <vector>

namespace qz {

/// A backend server of the service as rules and the platform's list show it, with their lag.
struct ServiceMember
{
    BackendServerId id_;
    int slots_ = 1;
    Withdrawal withdrawal_ = Withdrawal::None;
};

/// Slots of a service, those that must stay healthy and those that are.
struct ServiceCapacity
{
    int total_ = 0;
    int required_ = 0; ///< The floor as slots, rounded up.
    int healthy_ = 0;  ///< Slots of the servers that count as healthy in the row.

    /// Taking @p slots more out keeps the floor.
    bool canEject(int slots) const { return healthy_ - slots >= required_; }
};

/// Counts @p members under @p row; @p floor is the share of slots, 0..1, to stay healthy.
ServiceCapacity countCapacity(const EjectionRow &row, const std::vector<ServiceMember> &members,
                              double floor);

} // namespace qz
