// One seeded run of the soak: a fleet under load, with faults from outside it.
#pragma once

#include "platform/tests/fakestore.h"
#include "qz_http/stream/httpcaller.h"
#include "soak/soakcallers.h"
#include "soak/soakservers.h"
#include "testbed/daemonprocess.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace qz::testing {

struct SoakPlan
{
    std::string daemon_;     ///< The program quetzaldaled.
    std::string logs_;       ///< A directory for the instances' logs.
    std::string faultPoint_; ///< Of a test build: the rule that it breaks. Empty: none.
    std::uint64_t seed_ = 1;
    int instances_ = 6;
    int servers_ = 8;
    Duration length_ = std::chrono::seconds(10); ///< In which faults begin.
    /// Most of it is slack, which restarts and moving roles could spend more than once.
    RetryBudgetLimits retryBudget_{ 0.05, 56.0, std::chrono::seconds(10) };
};

struct SoakResult
{
    std::vector<std::string> violations_;
    std::vector<std::string> faults_; ///< What was done, with the time since the start.
    SoakTally tally_;
};

/// Starts the instances, offers load, does what the seed says, lets all recover and checks.
/// @see SoakCallers
class SoakRun
{
public:
    explicit SoakRun(SoakPlan plan);
    ~SoakRun();
    SoakRun(const SoakRun &) = delete;
    SoakRun &operator=(const SoakRun &) = delete;

    SoakResult run();

private:
    struct Instance;
    using AnswerHandler = std::function<void(const Result<HttpResponse> &answer)>;

    bool awaitReady();
    void startProcess(Instance &instance);
    void restartEnded();
    void publishConfig();
    void publishServer(const SoakServer &server);
    void addServer(const std::string &service);
    void scheduleFaults();
    void doFault();
    void faultInstance();
    void faultInstancesInSeries();
    void disturb(Instance &instance, int kind, Duration length);
    void faultServer();
    void failAllServers();
    void faultStore();
    void drainServer();
    /// Sends a request that crashes servers, to any instance, from a time of the run on.
    void scheduleCrashes();
    void sendCrash();
    void replaceCrashed(const std::string &id);
    void checkCrashes();
    /// Cuts some instances off from all servers for a while.
    void schedulePathCut();
    void startPathCut();
    /// Tells the relays the processes whose paths may be cut.
    void updatePathProcesses();
    void checkPathCut();
    void probeConfig();
    void probeInstance(Instance &instance);
    void ask(const Endpoint &endpoint, const std::string &target, AnswerHandler handler);
    void checkLeaving();
    /// The same for servers that say so in their answers only.
    void checkLeavingByAnswers();
    void checkRetryBudget();
    void updateAddresses();
    Endpoint pickAddress();
    bool isCutExcused(const Endpoint &endpoint, TimePoint sentAt) const;
    bool isCalm(const Instance &instance) const;
    void later(Duration delay, std::function<void()> work);
    void note(const std::string &what);
    void report(const std::string &violation);
    double elapsed() const;
    /// Of the faults' random numbers.
    Duration drawDuration(Duration least, Duration most);
    int drawBelow(int limit);

    const SoakPlan plan_;
    EventLoop loop_;
    std::mt19937_64 faultRandom_; ///< For faults alone, so that a seed means the same ones.
    std::mt19937_64 random_;
    std::mt19937_64 pathRandom_; ///< For crashes and cut paths, so that the other faults stay.
    FakeStore store_;
    RunLedger ledger_;
    std::vector<std::unique_ptr<SoakServer>> servers_; ///< Those that have left stay.
    std::vector<std::unique_ptr<Instance>> instances_;
    std::unique_ptr<SoakCallers> callers_;
    SoakResult result_;
    TimePoint startedAt_;
    TimePoint storeCalmSince_;    ///< The end of its last fault.
    TimePoint serverFaultsUntil_; ///< The end of the last fault of a backend server.
    /// Where and when the requests that crash servers were sent, by id, and whether the instance
    /// was calm.
    struct CrashRequest
    {
        TimePoint sentAt_{};
        bool isCalm_ = false;
    };
    std::map<std::string, CrashRequest> crashRequests_;
    Timers::HandlePtr crashTimer_;
    std::vector<Instance *> cutInstances_; ///< Those whose path is cut once.
    RelayMode pathMode_ = RelayMode::Pass;
    TimePoint pathCutFrom_{};
    TimePoint pathCutTo_{};
    int configVersion_ = 0;
    TimePoint configAt_;
    int lastServer_ = 0;
    int lastProbe_ = 0;
    std::map<int, std::unique_ptr<HttpCaller>> probes_; ///< Calls under way.
    std::vector<Timers::HandlePtr> timers_;
};

} // namespace qz::testing
