// The table row that holds the ejected set of one service.
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
    Readmitting, ///< No longer to be ejected; its gate has not confirmed it yet.
};

/// A server that is out by the operator's or the platform's act.
enum class Withdrawal : std::uint8_t {
    None,
    Draining,
    Leaving,
    Gone, ///< Not listed any more, a short while ago.
};

/// One server in the row.
struct ServerEntry
{
    EjectionPhase phase_ = EjectionPhase::InService;
    Withdrawal withdrawal_ = Withdrawal::None;
    unsigned recentEjections_ = 0; ///< Recent ejections; decays.
    std::chrono::milliseconds holdDown_{};

    /// Neither ejected, being re-admitted nor withdrawn.
    bool countsAsHealthy() const
    {
        return phase_ == EjectionPhase::InService && withdrawal_ == Withdrawal::None;
    }
    bool isDefault() const { return countsAsHealthy() && recentEjections_ == 0; }

    friend bool operator==(const ServerEntry &a, const ServerEntry &b)
    {
        return a.phase_ == b.phase_ && a.withdrawal_ == b.withdrawal_
                && a.recentEjections_ == b.recentEjections_ && a.holdDown_ == b.holdDown_;
    }
};

/// The row `health/<service>`. A server without an entry is in service.
///
/// Invariant of each row as committed, with the members that its writer knew: the slots of the
/// servers that are in service or being re-admitted, and not withdrawn, reach the floor, or
/// every server in the phase Ejected is withdrawn as well. A write that adds an ejection counts
/// those being re-admitted as out. Every write is computed from the row as read and conditional on
/// its version, so that two writers keep the invariant between them.
/// @see EjectionDecider, GateEjections
struct EjectionRow
{
    std::map<BackendServerId, ServerEntry> servers_;
    std::string token_; ///< Names the write that made this row.

    /// The entry of @p server, a plain one if it has none.
    ServerEntry entryOf(const BackendServerId &server) const;

    bool isEjected(const BackendServerId &server) const
    {
        return entryOf(server).phase_ == EjectionPhase::Ejected;
    }

    /// Drops entries that say nothing.
    void removeDefaultEntries();
};

std::string ejectionRowKey(const ServiceId &service);

/// JSON text of @p row.
std::string encodeEjectionRow(const EjectionRow &row);

/// Reads JSON text; MalformedReply if it is no such row.
Result<EjectionRow> decodeEjectionRow(const std::string &text);

} // namespace qz
