// Callers of the fleet: they ask for addresses, send requests and check each answer.
#pragma once

#include "qz_http/client/httpclientpool.h"
#include "testbed/backendstandin.h"
#include "testbed/deployment.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace qz::testing {

/// What callers saw of one rank.
struct RankTally
{
    int sent_ = 0;
    int answered_ = 0;
    int inTarget_ = 0;
    int failed_ = 0; ///< Answered by a backend server with 5xx.
    int notRun_ = 0;
    int unknown_ = 0;
    std::map<std::string, int> causes_;
    std::vector<Duration> latencies_; ///< Of the answered ones.
};

/// What must never happen, with an example of each.
struct Violations
{
    int wrongAnswers_ = 0; ///< Not the whole answer to the own request.
    int falseNotRun_ = 0;  ///< Told "not run" and yet run.
    int doubled_ = 0;      ///< A non-repeatable request ran more than once.
    std::string example_;

    int total() const { return wrongAnswers_ + falseNotRun_ + doubled_; }
};

/// Offers a mixed load at a mean rate, open loop, from one failure domain.
class Caller
{
public:
    struct Plan
    {
        const Deployment &deployment_;
        Location location_;
        std::vector<Endpoint> seeds_; ///< Instances to ask for addresses first.
        double requestsPerSecond_ = 10;
        std::uint64_t seed_ = 1;
        std::map<std::string, double> floodFactors_; ///< By kind: its load is multiplied.
        double duplicateShare_ = 0; ///< Of non-repeatable requests sent to two instances at once.
    };

    Caller(EventLoop &loop, Plan plan, const ExecutionLedger &ledger);
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    void start();
    void stopSending() { next_.reset(); }
    std::size_t openCount() const { return open_; }

    const std::map<std::string, RankTally> &tallies() const { return tallies_; }

    /// Compares what was told with what ran, once all is settled.
    Violations findViolations() const;

private:
    struct Sent
    {
        std::string name_; ///< Of this try of the caller.
        std::string key_;  ///< Of the order; two tries of it share the key.
        const PlannedKind *kind_;
        std::string target_;
        TimePoint at_;
    };

    void scheduleNext();
    void sendOne();
    const PlannedKind &drawKind();
    void send(const Sent &sent, std::size_t addressIndex);
    void take(const Sent &sent, std::size_t addressIndex, const Result<HttpResponse> &result);
    void tell(const Sent &sent, const HttpResponse &response);
    void refreshAddresses();
    HttpClientPool &poolFor(const Endpoint &endpoint);
    Duration targetOf(const PlannedKind &kind) const;

    EventLoop &loop_;
    const Plan plan_;
    const ExecutionLedger &ledger_;
    std::mt19937_64 random_;
    std::vector<Endpoint> addresses_;
    std::map<Endpoint, std::unique_ptr<HttpClientPool>> pools_;
    TimePoint dueAt_; ///< When the next request is due, however late the loop is.
    Timers::HandlePtr next_;
    Timers::HandlePtr refresh_;
    std::size_t open_ = 0;
    int lastNumber_ = 0;
    std::map<std::string, RankTally> tallies_;
    std::vector<std::string> toldNotRun_; ///< Names of requests.
    Violations violations_;
};

} // namespace qz::testing
