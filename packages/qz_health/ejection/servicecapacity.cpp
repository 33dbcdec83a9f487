#include "qz_health/ejection/servicecapacity.h"

#include <cmath>

namespace qz {

ServiceCapacity countCapacity(const EjectionRow &row, const std::vector<ServiceMember> &members,
                              double floor)
{
    constexpr double roundingSlack = 1e-9; // keeps a rounding error from adding a slot
    ServiceCapacity capacity;
    for (const ServiceMember &member : members) {
        capacity.total_ += member.slots_;
        const bool isListedLive = member.withdrawal_ == Withdrawal::None;
        if (isListedLive && row.entryOf(member.id_).countsAsHealthy()) {
            capacity.healthy_ += member.slots_;
        }
    }
    capacity.required_ = static_cast<int>(std::ceil(floor * capacity.total_ - roundingSlack));
    return capacity;
}

} // namespace qz
