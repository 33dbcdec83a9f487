// The table row with the ejection state of one service.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace qz {

enum class EjectionPhase : std::uint8_t {
    InService,
    Ejected,
    Readmitting, ///< The ejection is lifted; the server's gate has not confirmed this yet.
};

/// Why the operator or the platform, rather than the health checks, has taken a server out.
enum class Withdrawal : std::uint8_t {
    None,
    Draining,
    Leaving,
    Gone, ///< No longer listed; the state is removed after a delay.
};

/// The state of one backend server in the row.
struct ServerEntry
{
    EjectionPhase phase_ = EjectionPhase::InService;
    Withdrawal withdrawal_ = Withdrawal::None;
    unsigned recentEjections_ = 0; ///< Decreases by one per HoldDown::decayPeriod in service.
    std::chrono::milliseconds holdDown_{}; ///< Minimum time from ejection to first probe.

    /// Returns true if the server is neither ejected, being re-admitted nor withdrawn.
    bool countsAsHealthy() const
    {
        return phase_ == EjectionPhase::InService && withdrawal_ == Withdrawal::None;
    }
    /// Returns true if the entry can be removed: a server without an entry is treated the same.
    bool isDefault() const { return countsAsHealthy() && recentEjections_ == 0; }

    friend bool operator==(const ServerEntry &a, const ServerEntry &b)
    {
        return a.phase_ == b.phase_ && a.withdrawal_ == b.withdrawal_
                && a.recentEjections_ == b.recentEjections_ && a.holdDown_ == b.holdDown_;
    }
};

/// The row `health/<service>`. A server without an entry is in service.
///
/// Invariant of each committed row, for the service members known to its writer: either the
/// servers that are in service or being re-admitted, and not withdrawn, have enough slots for the
/// floor, or every server in the phase Ejected is also withdrawn. A write that adds an ejection
/// does not count the servers that are being re-admitted as healthy. Each write is computed from
/// the row that was read and is conditional on its version, so concurrent writers keep the
/// invariant.
/// @see EjectionDecider, GateEjections
struct EjectionRow
{
    std::map<BackendServerId, ServerEntry> servers_;
    std::string token_; ///< Identifies the write that created this row.

    /// Returns the entry of @p server, or a default one if the row has none.
    ServerEntry entryOf(const BackendServerId &server) const;

    bool isEjected(const BackendServerId &server) const
    {
        return entryOf(server).phase_ == EjectionPhase::Ejected;
    }

    /// Removes the entries for which isDefault() returns true.
    void removeDefaultEntries();
};

/// Returns the key of the service's row in the table.
std::string ejectionRowKey(const ServiceId &service);

/// Returns @p row as JSON text.
std::string encodeEjectionRow(const EjectionRow &row);

/// Parses the JSON text of a row. Fails with MalformedReply if the text is not a valid row.
Result<EjectionRow> decodeEjectionRow(const std::string &text);

} // namespace qz
