// The daemon of an instance on the platform's store: all its parts on one event loop.
#pragma once

#include "platform/platformadapter.h"
#include "quetzaldaled/serve/servesettings.h"
#include "qz_core/loop/eventloop.h"
#include "qz_fleet/links/peerlinks.h"
#include "qz_forward/qz_forward.h"
#include "qz_http/stream/callerserver.h"
#include "qz_presence/qz_presence.h"
#include "qz_replica/qz_replica.h"

#include <memory>
#include <vector>

namespace qz {

/// Serves callers, the directory, readiness and metrics until it receives a signal to stop. A
/// stopping instance leaves the directory at once, but serves callers that still use its
/// address. After the time for which they may use it, the instance ends once they have no
/// connection and no running request, or else shortly before its stop limit.
/// @see Forwarder, PlatformAdapter, PresenceDriver
class ServeDaemon
{
public:
    explicit ServeDaemon(ServeSettings settings);
    ServeDaemon(const ServeDaemon &) = delete;
    ServeDaemon &operator=(const ServeDaemon &) = delete;

    /// Runs until the instance has stopped. Returns the exit status of the process.
    int run();

private:
    InstanceRecord makeSelf() const;
    std::unique_ptr<PeerLinks> makeLinks();
    platform::PlatformAdapter::Handlers makeAdapterHandlers();
    ForwardSettings makeForwardSettings() const;
    Result<void> listen();
    void watchSignals();
    void applyRoutes(const std::shared_ptr<const RoutingTable> &routes);
    void applyHealthReport(const HealthReportMessage &report);
    void applyServerStatement(const ServerStatementMessage &statement);
    /// Sends what is known of requests that crash servers to all instances, now and then, so that
    /// lost reports do no harm. One instance of each failure domain does so.
    void repeatCrashReport();
    /// Returns whether it is this instance's turn to send the trial of a quarantined request.
    bool isTrialTurn(const RequestFingerprint &request, std::size_t turn) const;
    bool isReady() const;
    /// Tells the other instances whether callers are to be sent here. They are not while this
    /// instance reaches no server, although it serves those that come.
    void updatePresence();
    void updatePeers();
    void updateState();
    void updateRoles();
    /// Gives this instance its part of the slack of the retry budgets: the instances to which
    /// callers are sent share it, and the others have none.
    void updateRetrySlack();
    void tick();
    void startStopping();
    void checkStopped();
    void handleControlRequest(const std::shared_ptr<CallerExchange> &exchange);
    void answerDirectory(const std::shared_ptr<CallerExchange> &exchange);
    nlohmann::json dumpState() const;

    const ServeSettings settings_;
    const std::string incarnation_;
    EventLoop loop_;
    ForwardMetrics metrics_;
    BackendTable backends_;
    Forwarder forwarder_;
    InstanceDirectory directory_;
    std::unique_ptr<PeerLinks> links_;
    PresenceDriver presence_;
    ReplicaExchange replicas_;
    platform::PlatformAdapter platform_;
    CallerServer callerServer_;
    CallerServer readinessServer_;
    CallerServer directoryServer_;
    CallerServer metricsServer_;
    ServerRoles serverRoles_;
    double slackPart_ = 0.0; ///< Share of the slack of the retry budgets that is in use here.
    bool areBackendsLoaded_ = false;
    bool isStopping_ = false;
    TimePoint stoppingSince_{};
    std::vector<Timers::HandlePtr> handles_; ///< Of timers and signal handlers.
};

} // namespace qz
