#include "qz_health/ejection/gateejections.h"

#include <algorithm>

namespace qz {

void GateEjections::onRowRead(const EjectionRow &row, RowVersion version)
{
    hasRead_ = true;
    adopt(row, version);
}

void GateEjections::onRowPushed(const EjectionRow &row, RowVersion version)
{
    if (hasRead_) {
        adopt(row, version);
    }
}

void GateEjections::suspendEjection(const BackendServerId &server, RowVersion version)
{
    RowVersion &suspended = suspended_[server];
    suspended = std::max(suspended, version);
}

bool GateEjections::isEjected(const BackendServerId &server) const
{
    const auto suspended = suspended_.find(server);
    const bool isSuspended = suspended != suspended_.end() && version_ <= suspended->second;
    return !isSuspended && row_.isEjected(server);
}

void GateEjections::adopt(const EjectionRow &row, RowVersion version)
{
    if (version <= version_) {
        return;
    }
    row_ = row;
    version_ = version;
}

} // namespace qz
