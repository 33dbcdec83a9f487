// A stand-in for one backend server.
#pragma once

#include "qz_http/server/httpserver.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace qz::testing {

/// How a stand-in behaves; healthy as it is by default.
struct BackendBehavior
{
    double slowFactor_ = 1.0;   ///< Service times are multiplied by it.
    double failureShare_ = 0.0; ///< Of requests answered 500, 0..1.
    bool isSilent_ = false;     ///< Accepts and never answers.
    bool isDraining_ = false;   ///< Says so on each answer.
    bool cutsAnswers_ = false;  ///< Runs the request, then closes without an answer.
};

/// Counts of all stand-ins together: who ran what, how often.
struct ExecutionLedger
{
    std::unordered_map<std::string, int> runsByKey_;     ///< By idempotency key.
    std::unordered_map<std::string, int> runsByRequest_; ///< By the caller's name for the request.
};

/// Runs at most so many requests at once, each for a random time around a mean, and sheds the
/// others. The answer names the request, so that a caller can tell its own.
class BackendStandIn
{
public:
    struct Plan
    {
        std::string name_;
        Endpoint endpoint_;
        int slots_ = 1;
        Duration meanServiceTime_ = std::chrono::milliseconds(20);
        std::uint64_t seed_ = 1;
    };

    BackendStandIn(EventLoop &loop, Plan plan, ExecutionLedger &ledger);
    BackendStandIn(const BackendStandIn &) = delete;
    BackendStandIn &operator=(const BackendStandIn &) = delete;

    void setBehavior(BackendBehavior behavior) { behavior_ = behavior; }
    const BackendBehavior &behavior() const { return behavior_; }

    /// The body that an answer to @p target of request @p name must have.
    static std::string answerBody(const std::string &name, const std::string &target);

    int runCount() const { return runs_; }
    int shedCount() const { return sheds_; }
    int highestRunning() const { return highestRunning_; }
    TimePoint lastStart() const { return lastStart_; }

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange);
    void finish(const std::shared_ptr<HttpExchange> &exchange);
    void endRun(std::uint64_t run);
    Duration drawServiceTime();

    EventLoop &loop_;
    const Plan plan_;
    ExecutionLedger &ledger_;
    BackendBehavior behavior_;
    std::mt19937_64 random_;
    HttpServer server_;
    std::map<std::uint64_t, Timers::HandlePtr> running_; ///< Never more than the slots.
    std::uint64_t lastRun_ = 0;
    int runs_ = 0;
    int sheds_ = 0;
    int highestRunning_ = 0;
    TimePoint lastStart_;
};

} // namespace qz::testing
