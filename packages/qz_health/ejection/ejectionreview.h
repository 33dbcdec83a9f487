// Checks the reports of gates against second opinions before a server is ejected.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"
#include "qz_health/detection/verdict.h"
#include "qz_platform/table/table.h"

#include <map>
#include <optional>
#include <vector>

namespace qz {

/// A gate's report about one of its backend servers, sent several times a second.
struct GateReport
{
    BackendServerId server_;
    InstanceId gate_;
    FailureDomainId gateDomain_;
    Verdict verdict_;
    bool probesFailing_ = false; ///< The gate's own probes of the server fail or are slow.
    RowVersion rowVersion_ = 0;  ///< Version of the ejection row in force at the gate; 0 if none.
    bool enforcesEjection_ = false; ///< The gate sends the server no new requests.
    /// Number of backend servers behind this gate, of any service.
    unsigned gateServerCount_ = 1;
    /// Number of those that the gate finds unhealthy.
    unsigned gateUnhealthyCount_ = 0;
};

/// The result of a probe of the server by another instance.
struct SecondOpinion
{
    BackendServerId server_;
    FailureDomainId domain_; ///< Failure domain of the other instance.
    bool reachable_ = false;
    bool probeSucceeded_ = false; ///< The server answered correctly within the usual time.
};

/// A request to an instance outside @p excludedDomain_ for a second opinion.
struct OpinionRequest
{
    BackendServerId server_;
    FailureDomainId excludedDomain_;
};

/// A request to make another instance the server's gate, because the fault appears to be at the
/// current gate and not at the server.
struct GateMove
{
    BackendServerId server_;
    InstanceId from_;
};

/// A server to be ejected if the floor allows it.
struct EjectionCandidate
{
    BackendServerId server_;
    double severity_ = 0; ///< Confidence of the verdict, 0..1; the highest is ejected first.
};

struct ReviewResult
{
    std::vector<EjectionCandidate> candidates_; ///< Sorted by descending severity, then by id.
    std::vector<OpinionRequest> opinionRequests_;
    std::vector<GateMove> gateMoves_;
};

/// Keeps the latest report and second opinion about each server. A server becomes a candidate for
/// ejection only if the verdict of its gate allows it, an instance in another failure domain does
/// not contradict the verdict, and the gate does not find most of its servers unhealthy at once.
/// @see EjectionDecider
class EjectionReview
{
public:
    void onReport(const GateReport &report, TimePoint now);
    void onOpinion(const SecondOpinion &opinion, TimePoint now);

    /// Removes the data of @p server after it was ejected or delisted.
    void remove(const BackendServerId &server) { reviews_.erase(server); }

    /// Reviews all servers. Requests a second opinion on each server at most once per second.
    ReviewResult review(TimePoint now);

    /// Returns the confidence of the verdict in the latest report about @p server; 0 if it is
    /// healthy or the report has expired.
    double severityOf(const BackendServerId &server, TimePoint now) const;

private:
    struct ServerReview
    {
        GateReport report_;
        TimePoint reportedAt_;
        std::optional<SecondOpinion> opinion_;
        TimePoint opinionAt_;
        std::optional<TimePoint> requestedAt_;
    };
    enum class Finding { NoAction, NeedsOpinion, GateSuspect, Candidate };

    static Finding evaluate(const ServerReview &entry, TimePoint now);

    std::map<BackendServerId, ServerReview> reviews_; ///< One for each reported server.
};

} // namespace qz
