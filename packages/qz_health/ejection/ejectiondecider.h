// The decider of a service's ejections: a state machine without sockets, timers or clock.
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

/// What a decider wants done now.
struct EjectionPlan
{
    bool read_ = false;               ///< Read the row and pass it to onRowRead().
    std::optional<TableWrite> write_; ///< Commit it and pass its end to onWriteDone().
    std::vector<BackendServerId> suspendedEjections_; ///< Gates take these back at once.
    std::vector<BackendServerId> probes_;
    std::vector<OpinionRequest> opinionRequests_;
    std::vector<GateMove> gateMoves_;
};

/// Decides ejections and re-admissions of one service under its floor.
///
/// Several instances may hold a decider of the same service at the same time. Each write is
/// computed from the row as read and is conditional on its version; whatever became of a
/// write is learned by reading the row. While the table does not answer, nothing is ejected
/// and nothing forgotten; gates may be told to take a server back (a suspension), which only
/// adds capacity.
///
/// Withdrawals (drains, leaving servers) are acts of others and are never refused. They are
/// counted as out in every ejection as soon as the row or this decider's own members show
/// them. If they take capacity below the floor, ejected servers are re-admitted, sick or not,
/// as far as needed.
/// @see EjectionRow for the invariant, EjectionDriver, GateEjections
class EjectionDecider
{
public:
    /// @p floor is the share of the service's slots, 0..1, that must stay healthy.
    EjectionDecider(ServiceId service, double floor);

    void setFloor(double floor) { floor_ = floor; }

    /// The service's servers by rules and list; to be called at each change.
    void setMembers(std::vector<ServiceMember> members, TimePoint now);

    void onReport(const GateReport &report, TimePoint now);
    void onOpinion(const SecondOpinion &opinion, TimePoint now);
    void onProbeResult(const BackendServerId &server, bool good, TimePoint now);

    /// The row as read; no row if it is absent.
    void onRowRead(const std::optional<TableRow> &row, TimePoint now);

    /// The read failed.
    void onReadFailed(TimePoint now);

    /// The write ended, in whatever way: only the row tells what became of it.
    void onWriteDone();

    /// What to do now. @p token names the write, if there is one.
    EjectionPlan plan(TimePoint now, const std::string &token);

    std::string rowKey() const { return ejectionRowKey(service_); }

    /// The row as last read, for gates and state dumps; version 0 if none was read.
    const EjectionRow &row() const { return row_; }
    RowVersion version() const { return version_; }

private:
    enum class TableState { NeedsRead, Reading, Idle, Writing };

    /// When a server was first seen in its present phase and strikes, and at which version.
    struct SeenPhase
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
    std::optional<BackendServerId> leastSickEjected(const EjectionRow &row, TimePoint now) const;
    void trackPhases(TimePoint now);
    const ServiceMember *findMember(const BackendServerId &server) const;

    ServiceId service_;
    double floor_;
    std::vector<ServiceMember> members_;
    std::map<BackendServerId, TimePoint> withdrawnAt_; ///< When last seen so.
    EjectionReview review_;
    ReadmissionProbes probes_;
    std::map<BackendServerId, RowVersion> confirmed_; ///< Row in force at a gate that serves.

    TableState tableState_ = TableState::NeedsRead;
    TimePoint retryAt_{}; ///< No read before this.
    TimePoint pollAt_{};  ///< A read at the latest then.
    EjectionRow row_;     ///< As last read.
    RowVersion version_ = 0;
    std::map<BackendServerId, SeenPhase> phases_;
};

} // namespace qz
