// Takes callers' requests and runs each to its answer.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "qz_forward/backends/backendtable.h"
#include "qz_forward/observability/forwardmetrics.h"
#include "qz_forward/requests/forwardheaders.h"
#include "qz_http/stream/callerexchange.h"
#include "qz_placement/qz_placement.h"
#include "qz_routing/qz_routing.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace qz {

class ForwardedRequest;

/// What the forwarding of requests is set to.
struct ForwardSettings
{
    Location location_; ///< Of this instance.
    ForwardHeaders headers_;
    RetryBudgetLimits retryBudget_;
    PlacementSettings costs_;
    /// Ends a connection to a backend server that went silent.
    Duration silenceLimit_ = std::chrono::seconds(2);
    /// For a new connection to a backend server; another one is tried then.
    Duration connectTimeout_ = std::chrono::milliseconds(300);
};

/// The requests of one instance, with what they share: the routes in force, the backend
/// servers, latencies and retry budgets by service.
/// @see ForwardedRequest
class Forwarder
{
public:
    /// Runs when this instance starts to hold a server, with the length of the hold, or
    /// when a server on trial has recovered, with zero.
    using HealthListener = std::function<void(const Backend &server, Duration hold)>;

    Forwarder(EventLoop &loop, ForwardSettings settings, BackendTable &backends,
              ForwardMetrics &metrics);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    /// The routes of requests that come from now on.
    void setRoutes(std::shared_ptr<const RoutingTable> routes) { routes_ = std::move(routes); }
    const std::shared_ptr<const RoutingTable> &routes() const { return routes_; }

    /// Tells this instance's duty for a server; without it, it owns each.
    using ServerRoleProvider = std::function<ServerRole(const Backend &server)>;
    void setServerRoleProvider(ServerRoleProvider finder) { dutyFinder_ = std::move(finder); }

    void setHealthListener(HealthListener listener) { healthListener_ = std::move(listener); }

    /// This instance's part of the slack of retry budgets. @see RetryAllowance
    void setSlackPart(double slackPart);

    /// Requests that come from now on wait for startDeferredRequests(), or until @p limit has
    /// passed: the instance has just started, and routes and servers are on their way.
    void deferRequests(Duration limit);
    void startDeferredRequests();

    void handle(const std::shared_ptr<CallerExchange> &exchange);

    std::size_t activeRequestCount() const { return runs_.size(); }

    // For ForwardedRequest.
    EventLoop &loop() { return loop_; }
    const ForwardSettings &settings() const { return settings_; }
    ForwardMetrics &metrics() { return metrics_; }
    const ServiceId &chooseService(const RequestRoute &route)
    {
        return split_.next(route, random_);
    }
    BackendTable &backends() { return backends_; }
    ServiceLatency &latency(const ServiceId &service) { return latencies_[service]; }
    RetryAllowance &allowance(const ServiceId &service);
    std::mt19937_64 &random() { return random_; }
    FailureRateTracker &servedShare(const ServiceId &service) { return servedShares_[service]; }
    void recordAttempt(Backend &server, AttemptResult result, Duration took, bool isRepeatable);
    ServerRole serverRole(const Backend &server) const;
    void deleteLater(ForwardedRequest *run);

private:
    EventLoop &loop_;
    const ForwardSettings settings_;
    BackendTable &backends_;
    ForwardMetrics &metrics_;
    std::shared_ptr<const RoutingTable> routes_; ///< Null: no configuration was seen yet.
    TrafficSplit split_;
    std::map<ServiceId, ServiceLatency> latencies_;
    std::map<ServiceId, RetryAllowance> allowances_;
    double slackPart_ = 0.0;
    std::map<ServiceId, FailureRateTracker> servedShares_;
    HealthListener healthListener_;
    ServerRoleProvider dutyFinder_;
    std::mt19937_64 random_;
    std::map<ForwardedRequest *, std::unique_ptr<ForwardedRequest>> runs_;
    std::vector<ForwardedRequest *> waiting_; ///< In runs_, not started.
    Timers::HandlePtr waitEnd_;               ///< Set while requests wait.
    std::set<ForwardedRequest *> ended_;      ///< Dropped on the loop's next turn.
    Timers::HandlePtr drop_;
};

} // namespace qz
