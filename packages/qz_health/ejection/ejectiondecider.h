// Decides the ejections of a service: a state machine without sockets, timers or clock.
#pragma once

#include "qz_health/ejection/ejectionreview.h"
#include "qz_health/ejection/ejectionrow.h"
#include "qz_health/ejection/readmissionprobes.h"
#include "qz_health/ejection/servicecapacity.h"
#include "qz_platform/table/table.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace qz {

/// Actions that an EjectionDecider requests from its driver.
struct EjectionPlan
{
    bool read_ = false;               ///< Read the row, then call onRowRead() or onReadFailed().
    std::optional<TableWrite> write_; ///< Commit it, then call onWriteDone().
    /// Servers whose gates are to return them to service at once.
    std::vector<BackendServerId> suspendedEjections_;
    std::vector<BackendServerId> probes_;
    std::vector<OpinionRequest> opinionRequests_;
    std::vector<GateMove> gateMoves_;
};

/// Decides ejections and re-admissions of one service under its floor.
///
/// Several instances may run a decider for the same service at the same time. Each write is
/// computed from the row that was read and is conditional on its version. The outcome of a write
/// is found out by reading the row again. While the table is unavailable, no server is ejected
/// and existing ejections stay in force; a gate may be told to suspend an ejection, which only
/// adds capacity.
///
/// Withdrawals (draining, leaving or delisted servers) are decided elsewhere and are never
/// refused. A withdrawn server does not count as healthy as soon as the row or this decider's own
/// member list shows the withdrawal. If withdrawals reduce the capacity below the floor, as many
/// ejected servers as needed are re-admitted, even if they are still unhealthy.
/// @see EjectionRow for the invariant, EjectionDriver, GateEjections
class EjectionDecider
{
public:
    /// @param floor the share of the service's slots, 0..1, that must stay healthy
    EjectionDecider(ServiceId service, double floor);

    void setFloor(double floor) { floor_ = floor; }

    /// Sets the backend servers that belong to the service by the rules and the platform's list.
    /// Call it at each change.
    void setMembers(std::vector<ServiceMember> members, TimePoint now);

    void onReport(const GateReport &report, TimePoint now);
    void onOpinion(const SecondOpinion &opinion, TimePoint now);
    void onProbeResult(const BackendServerId &server, bool succeeded, TimePoint now);

    /// A read has ended; @p row is empty if the table has no such row. An invalid row counts as a
    /// failed read.
    void onRowRead(const std::optional<TableRow> &row, TimePoint now);

    /// A read has failed; it is retried after a delay.
    void onReadFailed(TimePoint now);

    /// A write has ended, successfully or not. The row is read next to find out its outcome.
    void onWriteDone();

    /// Returns the actions to perform now. @p token identifies the write, if there is one.
    EjectionPlan plan(TimePoint now, const std::string &token);

    std::string rowKey() const { return ejectionRowKey(service_); }

    /// Returns the row as last read, for gates and state dumps.
    const EjectionRow &row() const { return row_; }
    /// Returns the version of row(), or 0 if none was read.
    RowVersion version() const { return version_; }

private:
    enum class TableState { NeedsRead, Reading, Idle, Writing };

    /// A server's phase and number of ejections as read, with the row version and the time at
    /// which they were first seen.
    struct ObservedPhase
    {
        EjectionPhase phase_ = EjectionPhase::InService;
        unsigned recentEjections_ = 0;
        RowVersion version_ = 0;
        TimePoint since_;
    };

    void planTable(TimePoint now, const std::string &token, EjectionPlan &plan);
    EjectionRow nextRow(const ReviewResult &review, TimePoint now, EjectionPlan &plan);
    void addWithdrawals(EjectionRow &row, TimePoint now);
    void clearWithdrawals(EjectionRow &row, TimePoint now);
    void completeReadmissions(EjectionRow &row) const;
    void readmitReady(EjectionRow &row) const;
    void readmitForFloor(EjectionRow &row, TimePoint now, EjectionPlan &plan) const;
    void eject(EjectionRow &row, const std::vector<EjectionCandidate> &candidates) const;
    void decayRecentEjections(EjectionRow &row, TimePoint now) const;
    std::optional<BackendServerId> leastUnhealthyEjected(const EjectionRow &row,
                                                         TimePoint now) const;
    void trackPhases(TimePoint now);
    const ServiceMember *findMember(const BackendServerId &server) const;

    ServiceId service_;
    double floor_;
    std::vector<ServiceMember> members_;
    std::map<BackendServerId, TimePoint> withdrawnAt_; ///< When the withdrawal was last seen.
    EjectionReview review_;
    ReadmissionProbes probes_;
    /// Highest row version that a gate reported while it did not enforce an ejection, by server.
    std::map<BackendServerId, RowVersion> confirmed_;

    TableState tableState_ = TableState::NeedsRead;
    TimePoint retryAt_{}; ///< Earliest time of the next read after a failed one.
    TimePoint pollAt_{};  ///< Time of the next periodic read.
    EjectionRow row_;     ///< As last read.
    RowVersion version_ = 0;
    std::map<BackendServerId, ObservedPhase> phases_;
};

} // namespace qz
