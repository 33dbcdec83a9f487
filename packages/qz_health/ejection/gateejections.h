// The ejections that a gate enforces.
#pragma once

#include "qz_health/ejection/ejectionrow.h"
#include "qz_platform/table/table.h"

#include <map>

namespace qz {

/// A gate's copy of a service's ejection row. A gate enforces only rows that it has read from the
/// table itself, or that the decider has sent after the gate's first read.
/// Invariant: the version in force never decreases.
/// @see EjectionDecider
class GateEjections
{
public:
    /// Returns true until the gate has read the row from the table for the first time.
    bool needsRead() const { return !hasRead_; }

    /// The gate has read the row from the table; @p version is 0 if there is no row.
    void onRowRead(const EjectionRow &row, RowVersion version);

    /// The decider has sent the row to the gate. Ignored while needsRead().
    void onRowPushed(const EjectionRow &row, RowVersion version);

    /// Returns @p server to service at once. Ejections in rows up to @p version are not enforced.
    void suspendEjection(const BackendServerId &server, RowVersion version);

    /// Returns true if the server must get no new requests.
    bool isEjected(const BackendServerId &server) const;

    /// Returns the version of the row in force, or 0 if there is none.
    RowVersion version() const { return version_; }

private:
    void adopt(const EjectionRow &row, RowVersion version);

    bool hasRead_ = false;
    RowVersion version_ = 0;
    EjectionRow row_;
    /// Highest row version whose ejection of the server is suspended.
    std::map<BackendServerId, RowVersion> suspended_;
};

} // namespace qz
