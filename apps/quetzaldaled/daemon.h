// The daemon of an instance with its own rules: all its parts on one event loop.
#pragma once

#include "quetzaldaled/daemonsettings.h"
#include "quetzaldaled/drainsequence.h"
#include "quetzaldaled/rulesadapter.h"
#include "qz_core/loop/eventloop.h"
#include "qz_fleet/qz_fleet.h"
#include "qz_http/server/httpserver.h"
#include "qz_platform/client/platformclient.h"
#include "qz_proxy/qz_proxy.h"

#include <memory>
#include <random>
#include <vector>

namespace qz {

/// Builds the parts of an instance, connects them and runs them until a graceful stop has ended.
/// @see DaemonSettings, DrainSequence
class Daemon
{
public:
    explicit Daemon(DaemonSettings settings);
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Runs until the instance has stopped. Returns the exit status of the process.
    int run();

private:
    Member makeSelf() const;
    std::unique_ptr<PeerLinks> makeLinks();
    std::unique_ptr<Membership> makeMembership();
    std::unique_ptr<ClaimClient> makeClaims();
    Result<void> listen();
    void watchMembership();
    void watchSignals();
    void applyMembers();
    void applyListing(const InstanceListing &listing);
    void applyRules();
    void tick();
    DrainSteps makeDrainSteps();
    nlohmann::json inFlight() const;
    nlohmann::json dumpState() const;

    const DaemonSettings settings_;
    const std::string incarnation_;
    EventLoop loop_;
    std::mt19937_64 random_;
    PlatformClient platform_;
    FleetState fleetState_;
    std::unique_ptr<PeerLinks> links_;
    std::unique_ptr<Membership> membership_;
    MembershipDriver membershipDriver_;
    RulesAdapter rules_;
    std::unique_ptr<ClaimClient> claims_;
    GateSet gates_;
    GateDispatcher dispatcher_;
    GateLoadReports loadReports_;
    RetryBudget retries_;
    ServerChooser chooser_;
    RequestJournal journal_;
    ProxyMetrics metrics_;
    EntryService entry_;
    OperatorService operators_;
    HttpServer server_;
    DrainSequence drain_;
    RulesVersion appliedRules_ = 0; ///< The version whose ranks the gates use.
    int exitStatus_ = 0;
    std::vector<Timers::HandlePtr> handles_; ///< Of timers and signal handlers.
};

} // namespace qz
