// Forwards callers' requests to backend servers.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_forward/backends/backendtable.h"
#include "qz_forward/observability/forwardmetrics.h"
#include "qz_forward/requests/crashdetector.h"
#include "qz_forward/requests/forwardheaders.h"
#include "qz_http/stream/callerexchange.h"
#include "qz_placement/qz_placement.h"
#include "qz_routing/qz_routing.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace qz {

class ForwardedRequest;

/// Settings for the forwarding of requests.
struct ForwardSettings
{
    Location location_; ///< Location of this instance.
    ForwardHeaders headers_;
    RetryBudgetLimits retryBudget_;
    PlacementSettings placement_;
    /// A connection is closed if the backend server's host does not respond to TCP for this long.
    Duration silenceLimit_ = std::chrono::seconds(2);
    /// Time limit for opening a connection; on expiry the request goes to another server.
    Duration connectTimeout_ = std::chrono::milliseconds(300);
    std::uint64_t fingerprintSeed_ = 0; ///< @see RequestHasher
    /// Shows that a request comes from an instance of this fleet. Not known to callers.
    std::string fleetToken_;
};

/// Another instance, to which requests are given while this one cannot reach the servers.
struct RequestPeer
{
    InstanceId id_;
    Endpoint callerEndpoint_;
    Location location_;
};

/// Owns the requests in progress of one instance and the state that they share: the current
/// routes, the backend servers, latencies, retry budgets and network paths by service, the other
/// instances that get requests while a path is lost, and the requests that crash servers.
/// @see ForwardedRequest, ServicePath, CrashQuarantine
class Forwarder
{
public:
    /// Called with the ejection time when this instance ejects a server for a fault of the server
    /// itself, once another server has answered, which rules out the network path; or with zero
    /// when an ejected server has recovered. @see isServerFault
    using HealthListener = std::function<void(const Backend &server, Duration ejectionTime)>;

    /// Called when a response shows that a server leaves, names a limit for the first time, with
    /// another rate, or again after some time, or no longer names one. The statement is in force.
    using StatementListener = std::function<void(const Backend &server)>;

    Forwarder(EventLoop &loop, ForwardSettings settings, BackendTable &backends,
              ForwardMetrics &metrics);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    /// Sets the routes for requests that start from now on.
    void setRoutes(std::shared_ptr<const RoutingTable> routes) { routes_ = std::move(routes); }
    const std::shared_ptr<const RoutingTable> &routes() const { return routes_; }

    /// Returns this instance's role for a server. Without a provider, this instance is the owner of
    /// every server.
    using ServerRoleProvider = std::function<ServerRole(const Backend &server)>;
    void setServerRoleProvider(ServerRoleProvider provider)
    {
        serverRoleProvider_ = std::move(provider);
    }

    void setHealthListener(HealthListener listener) { healthListener_ = std::move(listener); }

    void setStatementListener(StatementListener listener)
    {
        statementListener_ = std::move(listener);
    }

    /// Called when this instance has seen that a server crashed during a request, or that a request
    /// under which servers crashed was answered.
    using CrashListener = std::function<void(const CrashHistory &history)>;
    void setCrashListener(CrashListener listener) { crashListener_ = std::move(listener); }

    /// Returns whether this instance sends the trial of a quarantined request in a turn.
    /// Without a provider it sends all trials. @see CrashQuarantine
    using TrialTurnProvider =
            std::function<bool(const RequestFingerprint &request, std::size_t turn)>;
    void setTrialTurnProvider(TrialTurnProvider provider)
    {
        trialTurnProvider_ = std::move(provider);
    }

    /// Applies what another instance reported of a request.
    void applyReportedCrashes(const CrashHistory &history);

    /// Applies the limit of @p server that another instance reported, or its end.
    void applyReportedLimit(Backend &server, std::optional<double> requestsPerSecond);

    /// Applies that, as another instance reported, an incarnation of a server leaves.
    void applyReportedLeaving(const BackendServerId &id, std::int64_t incarnation);

    /// Sets the instances that get requests while this one cannot reach the servers of a service.
    /// A peer sends such a request to one server, once, and returns what came of it; the number of
    /// attempts, the retry budget and hedging stay with this instance. @see ServicePath
    void setPeers(const std::vector<RequestPeer> &peers);

    /// Returns whether this instance reaches no server at all, although others do.
    bool isCutOff() const;

    /// Sets this instance's share of the slack of the retry budgets. @see RetryAllowance
    void setSlackPart(double slackPart);

    /// Defers new requests until startDeferredRequests() is called or @p limit has passed. Used
    /// right after a start, while routes and backend servers are being loaded.
    void deferRequests(Duration limit);
    void startDeferredRequests();

    /// Announces that this instance stops at @p stopTime. Requests that may not end before it are
    /// rejected from now on, and those that arrive from @p lateFrom on more strictly. Requests that
    /// are unanswered at @p stopTime are told their outcome. @see canEndBeforeStop
    void startStopping(TimePoint lateFrom, TimePoint stopTime);
    std::optional<TimePoint> stopTime() const { return stopTime_; }

    /// Takes over a caller's request and forwards it.
    void handle(const std::shared_ptr<CallerExchange> &exchange);

    /// Returns the number of requests in progress, including deferred ones.
    std::size_t activeRequestCount() const { return requests_.size(); }

    // Used by ForwardedRequest and ForwardAttempt.
    EventLoop &loop() { return loop_; }
    const ForwardSettings &settings() const { return settings_; }
    ForwardMetrics &metrics() { return metrics_; }
    /// Returns whether a request of @p route that starts now ends before this instance stops.
    /// @p deadline is that of the request. A late request must end with near certainty, because its
    /// caller had time to learn of other instances: its deadline comes before the stop, or the
    /// route is much faster than the time left. Others need only be expected to end.
    bool canEndBeforeStop(const ServiceId &service, const RequestRoute &route, TimePoint deadline);
    const ServiceId &chooseService(const RequestRoute &route)
    {
        return split_.next(route, random_);
    }
    BackendTable &backends() { return backends_; }
    RouteLatency &latency(const ServiceId &service, const RequestRoute &route);
    RetryAllowance &allowance(const ServiceId &service);
    std::mt19937_64 &random() { return random_; }
    FailureRateTracker &failureRateTracker(const ServiceId &service)
    {
        return failureRateTrackers_[service];
    }
    /// Records how an attempt at @p server for a request of @p route ended after @p elapsed.
    /// @p isNewConnection is whether no request had used the connection before.
    void recordAttempt(Backend &server, AttemptResult result, Duration elapsed,
                       const RequestRoute &route, bool isNewConnection);
    /// Ejects @p server if a request to it is overdue. @p isRepeatable is whether the request to
    /// place is. @see ServerHealth::recordOverdue
    void ejectIfOverdue(Backend &server, bool isRepeatable);
    ServerRole serverRole(const Backend &server) const;
    /// Takes what @p server says of itself from the head of its response to a request.
    void recordStatements(Backend &server, const HttpHead &head);
    /// Returns the time after which a rejected request to @p service should come back, at most
    /// @p limit, if the limits of all @p servers exclude further requests now, otherwise zero. Each
    /// call reserves a later time, so that requests come back in the order in which they were
    /// rejected and as fast as the servers accept them.
    Duration reserveReturn(const ServiceId &service,
                           const std::vector<std::shared_ptr<Backend>> &servers, Duration limit);
    /// Returns the servers, or the instances in place of unreachable servers, that may get a
    /// request to @p service now, in random order. @p isFirst is whether it was not sent before.
    std::vector<std::shared_ptr<Backend>> candidates(const ServiceId &service, bool isRepeatable,
                                                     bool isFirst);
    /// The same for a request of another instance, which is not given to a third one.
    std::vector<std::shared_ptr<Backend>> candidatesForPeer(const ServiceId &service,
                                                            bool isRepeatable);
    bool isPathLost(const ServiceId &service) const;
    /// Records that a server accepted a connection.
    void recordConnected(const Backend &server);
    /// Records that the head of an answer arrived from a server or an instance.
    void recordAnswerHead(const Backend &server, bool isNewConnection);
    /// Records that an instance could not give a request to any server of @p service.
    void recordUnable(const ServiceId &service, const Backend &peer);
    const CrashQuarantine &quarantine() const { return quarantine_; }
    /// Returns whether any request is suspected to crash servers, so that fingerprints matter.
    bool hasSuspectRequests() const { return !quarantine_.isEmpty() || !crashDetector_.isEmpty(); }
    /// Returns the number of servers that have ended under @p request, or may have.
    int crashCount(const RequestFingerprint &request) const;
    /// Returns the time after which a quarantined request may come back, or nothing if it may be
    /// sent now.
    std::optional<Duration> quarantineTime(const RequestFingerprint &request);
    /// Records that the connection to @p server broke during a request.
    void recordBrokenConnection(const std::shared_ptr<Backend> &server, CrashHistory request);
    /// Records that a server answered a request, which therefore does not crash servers.
    void recordAnswered(const RequestFingerprint &request);
    /// Deletes an ended request on the loop's next turn.
    void deleteLater(ForwardedRequest *request);

private:
    /// A health report that waits until this instance is known to reach other servers.
    struct HeldReport
    {
        BackendServerId server_;
        std::int64_t incarnation_ = 0;
        TimePoint heldAt_{};
    };
    void sendHeldReports(const Backend &reached);
    std::vector<std::shared_ptr<Backend>> openServers(const ServiceId &service, bool isRepeatable);
    std::vector<std::shared_ptr<Backend>> ablePeers(const ServiceId &service, bool isRepeatable);
    /// Records a failure of an attempt that may be due to the path.
    void recordPathFailure(Backend &server, AttemptResult result, bool isEarly,
                           bool isNewConnection);
    /// Logs and handles that a path was lost or regained since @p wasLost was read.
    void handlePathChange(const ServiceId &service, bool wasLost);
    void checkLostPaths();
    /// Returns the servers of @p service that were ejected after @p since, while the path was to
    /// blame, to service if they accept connections.
    void checkEjectedServers(const ServiceId &service, TimePoint since);
    void applyCrashes(const CrashHistory &history, std::string_view source);
    std::vector<std::shared_ptr<Backend>> referenceServers(const Backend &server);
    void logEjection(const Backend &server, std::string_view cause);
    /// Returns whether the limit has changed, or is to be reported again.
    bool recordNamedLimit(Backend &server, const HttpHead &head);
    /// Returns whether @p server leaves and this was not known.
    bool recordNamedLeaving(const Backend &server, const HttpHead &head);
    void logLimit(const Backend &server, std::string_view source);
    static void logLeaving(const BackendServerId &id, std::int64_t incarnation,
                           std::string_view source);

    EventLoop &loop_;
    const ForwardSettings settings_;
    BackendTable &backends_;
    ForwardMetrics &metrics_;
    std::shared_ptr<const RoutingTable> routes_; ///< Null until a configuration was received.
    TrafficSplit split_;
    /// By service and name of the route.
    std::map<std::pair<ServiceId, std::string>, RouteLatency> latencies_;
    std::map<ServiceId, RetryAllowance> allowances_;
    /// Keeps what a service saves before its first request.
    RetryAllowance unusedAllowance_;
    std::map<ServiceId, FailureRateTracker> failureRateTrackers_;
    std::map<ServiceId, TimePoint> lastReturns_; ///< Times that reserveReturn() gave last.
    std::map<ServiceId, ServicePath> paths_;
    std::map<InstanceId, std::shared_ptr<Backend>> peers_;
    /// Until when a peer is taken to reach no server of a service itself.
    std::map<std::pair<ServiceId, BackendServerId>, TimePoint> unableUntil_;
    TimePoint lastPeerAnswer_{}; ///< A peer passed on the answer of a server.
    std::vector<HeldReport> heldReports_;
    /// Connections to servers of lost paths, by the service.
    std::map<ServiceId, std::vector<std::unique_ptr<ConnectCheck>>> pathChecks_;
    Timers::HandlePtr pathCheckTimer_; ///< Set while a path is lost.
    HealthListener healthListener_;
    StatementListener statementListener_;
    ServerRoleProvider serverRoleProvider_;
    CrashListener crashListener_;
    TrialTurnProvider trialTurnProvider_;
    CrashQuarantine quarantine_;
    CrashDetector crashDetector_;
    std::mt19937_64 random_;
    std::map<ForwardedRequest *, std::unique_ptr<ForwardedRequest>> requests_;
    std::vector<ForwardedRequest *> deferred_; ///< Requests that have not been started.
    Timers::HandlePtr deferralTimer_;          ///< Set while new requests are deferred.
    std::optional<TimePoint> stopTime_;        ///< Set once this instance is stopping.
    TimePoint lateFrom_{};                     ///< Valid with stopTime_. @see canEndBeforeStop
    std::set<ForwardedRequest *> ended_;       ///< Requests to be deleted on the loop's next turn.
    Timers::HandlePtr deletionTimer_;
};

} // namespace qz
