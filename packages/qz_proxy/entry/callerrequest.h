// One caller's request from its arrival to its answer.
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

/// What the requests of one instance share. All members outlive every request.
struct EntryContext
{
    EventLoop &loop_;
    const FleetState &fleetState_;
    GateDispatcher &dispatcher_;
    ClaimClient &claims_;
    GateLoadReports &loadReports_;
    RetryBudget &retries_;
    const ServerChooser &chooser_;
    std::mt19937_64 &random_;
    RequestJournal &journal_;
    ProxyMetrics &metrics_;
};

/// Classifies a request by the rules in force at its arrival, claims its key if it may not be
/// repeated, and tries backend servers until one answers or no further try is allowed.
///
/// Invariants: a request that may not be repeated is sent only under a grant, and again only
/// after a try that was not run. The caller is told the outcome of the last try, and "not
/// run" only if no try had another outcome.
/// @see GateDispatcher, ClaimClient
class CallerRequest : public std::enable_shared_from_this<CallerRequest>
{
public:
    /// Takes over @p exchange; the run keeps itself alive until it has answered.
    static void start(const EntryContext &parts, std::shared_ptr<HttpExchange> exchange);

    CallerRequest(const EntryContext &parts, std::shared_ptr<HttpExchange> exchange);
    CallerRequest(const CallerRequest &) = delete;
    CallerRequest &operator=(const CallerRequest &) = delete;

private:
    void begin();
    bool classify();
    void claim();
    void tryNext();
    std::vector<ServerCandidate> findCandidates() const;
    std::optional<InstanceId> gateFor(const BackendServerId &server) const;
    ExecuteRequest makeExecuteRequest(const BackendServerId &server) const;
    void dispatch(const BackendServerId &server, const InstanceId &gate);
    void takeAnswer(ExecuteAnswer answer, TimePoint sentAt);
    bool mayRetry(const Error &error);
    void cancel();
    void fail(const Error &error);
    void succeed(HttpResponse response);
    void record(Outcome outcome);
    void settle(ClaimResult result);

    const EntryContext parts_;
    const std::shared_ptr<HttpExchange> exchange_;
    const TimePoint arrivedAt_;
    std::shared_ptr<const RuleSet> rules_; ///< Those at arrival, to the end.
    const WorkKind *kind_ = nullptr;       ///< Of rules_.
    TimePoint deadline_;
    std::optional<ClaimGrant> grant_; ///< Set while a claim is held and not settled.
    std::set<BackendServerId> triedServers_;
    std::size_t gateChoice_ = 0; ///< Which gate of a server is used: 0 is the first.
    RequestId tryId_;            ///< Of the try under way.
    RequestRecord record_;
    bool isUnknown_ = false; ///< A try of a repeatable request ended as unknown.
    bool isCallerGone_ = false;
};

} // namespace qz
