// A whole fleet for tests: stand-ins in this process, each daemon a process of its own.
#pragma once

#include "qz_core/loop/eventloop.h"
#include "testbed/backendstandin.h"
#include "testbed/caller.h"
#include "testbed/daemonprocess.h"
#include "testbed/deployment.h"
#include "testbed/platformstandin.h"

#include <memory>
#include <string>
#include <vector>

namespace qz::testing {

/// One instance of the daemon and where it listens.
struct TestInstance
{
    InstanceId id_;
    Location location_;
    Endpoint callerEndpoint_;
    Endpoint peerEndpoint_;
    std::unique_ptr<DaemonProcess> process_;
};

/// Starts and drives a fleet on loopback addresses. Everything it started ends with it.
class Testbed
{
public:
    struct Plan
    {
        std::string daemon_; ///< Path of the daemon's program.
        std::string logDirectory_;
        Deployment deployment_ = makeNakhla();
        int instances_ = 4;
        Duration meanServiceTime_ = std::chrono::milliseconds(20);
        std::uint64_t seed_ = 1;
        std::vector<std::string> daemonFlags_; ///< For every daemon.
        std::string faultPoint_;               ///< For a test build of the daemon; empty: none.
        double duplicateShare_ = 0; ///< Of non-repeatable requests sent to two instances at once.
    };

    explicit Testbed(Plan plan);
    ~Testbed();
    Testbed(const Testbed &) = delete;
    Testbed &operator=(const Testbed &) = delete;

    /// Starts all instances and puts the rules in force. False if that took over @p limit.
    bool start(Duration limit);

    /// Starts instance @p index, again if it had ended.
    void startInstance(std::size_t index);

    /// Offers load from each failure domain, together @p requestsPerSecond.
    void startCallers(double requestsPerSecond,
                      const std::map<std::string, double> &floodFactors = {});
    void stopCallers();

    /// Runs the loop until no request is open, or for @p limit. True if none is.
    bool settle(Duration limit);

    /// Puts @p document in force through instance @p index. The new version, or 0 if refused.
    RulesVersion putRules(std::size_t index, RulesVersion expected, const std::string &document,
                          Duration limit);

    /// GET of an operator's path at instance @p index; empty object if there is no answer.
    nlohmann::json operate(std::size_t index, const std::string &path);

    /// Whether all running instances have @p version in force.
    bool isInForceEverywhere(RulesVersion version);

    /// Marks an instance, or a backend server, as leaving in the platform's list.
    void listLeaving(const InstanceId &instance);
    void listLeaving(const BackendServerId &server);

    Violations findViolations() const;
    std::map<std::string, RankTally> tallies() const;

    EventLoop &loop() { return loop_; }
    PlatformStandIn &platform() { return *platform_; }
    std::vector<std::unique_ptr<BackendStandIn>> &backends() { return backends_; }
    std::vector<TestInstance> &instances() { return instances_; }
    const std::vector<ListedBackendServer> &listedBackends() const { return listedBackends_; }
    const ExecutionLedger &ledger() const { return ledger_; }

private:
    void planInstances();
    void planBackends();
    std::vector<std::string> argumentsFor(const TestInstance &instance) const;
    Result<HttpResponse> call(std::size_t index, HttpRequest request, Duration limit);

    Plan plan_;
    EventLoop loop_;
    ExecutionLedger ledger_;
    Endpoint platformEndpoint_;
    std::unique_ptr<PlatformStandIn> platform_;
    std::vector<std::unique_ptr<BackendStandIn>> backends_;
    std::vector<ListedBackendServer> listedBackends_;
    std::vector<TestInstance> instances_;
    std::vector<std::unique_ptr<Caller>> callers_;
};

} // namespace qz::testing
