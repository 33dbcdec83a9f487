// A request of a caller, from its arrival to its response.
#pragma once

#include "qz_entries/choice/serverchooser.h"
#include "qz_entries/retries/retrybudget.h"
#include "qz_http/server/httpexchange.h"
#include "qz_once/claims/claimclient.h"
#include "qz_proxy/dispatch/gatedispatcher.h"
#include "qz_proxy/entry/gateloadreports.h"
#include "qz_proxy/observability/proxymetrics.h"
#include "qz_proxy/observability/requestjournal.h"
#include "qz_proxy/state/fleetstate.h"

#include <memory>
#include <optional>
#include <random>
#include <set>

namespace qz {

/// Objects that all requests of one instance share. They outlive every request.
struct EntryContext
{
    EventLoop &loop_;
    const FleetState &fleetState_;
    GateDispatcher &dispatcher_;
    ClaimClient &claims_;
    GateLoadReports &loadReports_;
    RetryBudget &retryBudget_;
    const ServerChooser &chooser_;
    std::mt19937_64 &random_;
    RequestJournal &journal_;
    ProxyMetrics &metrics_;
};

/// Classifies a request by the rules in force at its arrival, claims its key if it is not
/// repeatable, and sends it to backend servers until one responds or no further attempt is allowed.
///
/// Invariants: a non-repeatable request is sent only under a grant, and again only after an
/// attempt that did not run. The caller receives the outcome of the last attempt, and "not run"
/// only if no attempt had another outcome.
/// @see GateDispatcher, ClaimClient
class CallerRequest : public std::enable_shared_from_this<CallerRequest>
{
public:
    /// Handles @p exchange. The created object keeps itself alive until it has responded.
    static void start(const EntryContext &context, std::shared_ptr<HttpExchange> exchange);

    CallerRequest(const EntryContext &context, std::shared_ptr<HttpExchange> exchange);
    CallerRequest(const CallerRequest &) = delete;
    CallerRequest &operator=(const CallerRequest &) = delete;

private:
    void process();
    bool classify();
    void claim();
    void attemptNext();
    std::vector<ServerCandidate> findCandidates() const;
    std::optional<InstanceId> gateFor(const BackendServerId &server) const;
    ExecuteRequest makeExecuteRequest(const BackendServerId &server) const;
    void dispatch(const BackendServerId &server, const InstanceId &gate);
    void handleAnswer(ExecuteAnswer answer, TimePoint sentAt);
    bool mayRetry(const Error &error);
    void cancel();
    void fail(const Error &error);
    void succeed(HttpResponse response);
    void recordOutcome(Outcome outcome);
    void reportClaimResult(ClaimResult result);

    const EntryContext context_;
    const std::shared_ptr<HttpExchange> exchange_;
    const TimePoint arrivalTime_;
    std::shared_ptr<const RuleSet> rules_; ///< The rules at arrival; used until the end.
    const WorkKind *kind_ = nullptr;       ///< Points into rules_.
    TimePoint deadline_;
    std::optional<ClaimGrant> grant_; ///< Set until the result of the claim is reported.
    std::set<BackendServerId> attemptedServers_;
    std::size_t gateIndex_ = 0; ///< Index of the gate to use among a server's gates.
    RequestId attemptId_;       ///< Of the last attempt.
    RequestRecord record_;
    bool hasUnknownOutcome_ = false; ///< An attempt had the outcome "unknown".
    bool isCallerGone_ = false;
};

} // namespace qz
