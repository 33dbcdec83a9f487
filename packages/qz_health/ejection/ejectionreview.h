// Which servers may be proposed for ejection: reports of gates, checked by second opinions.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"
#include "qz_health/detection/verdict.h"
#include "qz_platform/table/table.h"

#include <map>
#include <optional>
#include <vector>

namespace qz {

/// What a gate says of one of its backend servers, a few times a second.
struct GateReport
{
    BackendServerId server_;
    InstanceId gate_;
    FailureDomainId gateDomain_;
    Verdict verdict_;
    bool probesFailing_ = false; ///< The gate's own probes of the server speak against it.
    RowVersion rowVersion_ = 0;  ///< The ejection row that the gate has in force; 0: none.
    bool enforcesEjection_ = false;
    unsigned gateServerCount_ = 1;    ///< Backend servers of any service behind this gate,
    unsigned gateUnhealthyCount_ = 0; ///< and those of them that it finds in trouble.
};

/// What another instance found when it connected to a server and probed it.
struct SecondOpinion
{
    BackendServerId server_;
    FailureDomainId domain_; ///< Where the other instance stands.
    bool reachable_ = false;
    bool probeSucceeded_ = false; ///< Answered well within the usual time.
};

/// Asks an instance outside @p excludedDomain_ for a second opinion.
struct OpinionRequest
{
    BackendServerId server_;
    FailureDomainId excludedDomain_;
};

/// The gate rather than the server is in trouble: another instance should be the gate.
struct GateMove
{
    BackendServerId server_;
    InstanceId from_;
};

/// A server that may be ejected if the floor allows it.
struct EjectionCandidate
{
    BackendServerId server_;
    double severity_ = 0; ///< Higher first.
};

struct ReviewResult
{
    std::vector<EjectionCandidate> candidates_; ///< By falling severity, then by name.
    std::vector<OpinionRequest> opinionRequests_;
    std::vector<GateMove> gateMoves_;
};

/// Keeps the newest report and second opinion of each server. A server becomes a candidate
/// only if its gate's verdict allows ejection, an instance of another failure domain does not
/// contradict it, and the gate is not in trouble with most of its servers at once.
/// @see EjectionDecider
class EjectionReview
{
public:
    void onReport(const GateReport &report, TimePoint now);
    void onOpinion(const SecondOpinion &opinion, TimePoint now);

    /// Forgets all about @p server, after it was ejected or has gone.
    void forget(const BackendServerId &server) { cases_.erase(server); }

    /// Reviews all servers; requests are limited to one a server and second.
    ReviewResult review(TimePoint now);

    /// How sick the newest fresh report finds @p server: its confidence, 0 if healthy.
    double severityOf(const BackendServerId &server, TimePoint now) const;

private:
    struct Case
    {
        GateReport report_;
        TimePoint reportedAt_;
        std::optional<SecondOpinion> opinion_;
        TimePoint opinionAt_;
        std::optional<TimePoint> askedAt_;
    };
    enum class Finding { Nothing, NeedsOpinion, GateInTrouble, Candidate };

    static Finding evaluate(const Case &entry, TimePoint now);

    std::map<BackendServerId, Case> cases_; ///< One for each server of the service.
};

} // namespace qz
