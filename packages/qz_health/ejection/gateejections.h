// The ejections that a gate has in force.
#pragma once

#include "qz_health/ejection/ejectionrow.h"
#include "qz_platform/table/table.h"

#include <map>

namespace qz {

/// A gate's copy of a service's ejection row. It acts on an ejection only from a row that it
/// has read, or was told by the decider after its own first read.
/// Invariant: the version in force never falls.
/// @see EjectionDecider
class GateEjections
{
public:
    /// Whether the gate still has to read the row itself before it may act on any ejection.
    bool needsRead() const { return !hasRead_; }

    /// The gate has read the row; @p version is 0 while there is none.
    void onRowRead(const EjectionRow &row, RowVersion version);

    /// The decider told the gate of the row.
    void onRowPushed(const EjectionRow &row, RowVersion version);

    /// The decider needs @p server back at once; holds for the version in force and all lower.
    void suspendEjection(const BackendServerId &server, RowVersion version);

    /// No new work for the server.
    bool isEjected(const BackendServerId &server) const;

    RowVersion version() const { return version_; }

private:
    void adopt(const EjectionRow &row, RowVersion version);

    bool hasRead_ = false;
    RowVersion version_ = 0;
    EjectionRow row_;
    std::map<BackendServerId, RowVersion> suspended_; ///< Up to which version.
};

} // namespace qz
