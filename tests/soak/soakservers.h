// The backend servers of a soak run and what they have run.
#pragma once

#include "qz_http/stream/callerserver.h"
#include "soak/relay.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace qz::testing {

/// What all backend servers have run, by the request's id.
struct RunLedger
{
    std::map<std::string, int> runs_;
};

/// How a server fails for a while.
struct SoakServerFault
{
    double resetShare_ = 0.0;    ///< Of requests that it resets before running them.
    double loseShare_ = 0.0;     ///< Of answers that are lost after the run.
    double truncateShare_ = 0.0; ///< Of answers that break off in the body.
    double slowFactor_ = 1.0;    ///< Of the time of its work.
};

/// Runs a few requests at once, sheds the others, and answers with a body that the caller can
/// check.
class SoakServer
{
public:
    SoakServer(EventLoop &loop, std::string id, std::string service, RunLedger &ledger,
               std::uint64_t seed);
    SoakServer(const SoakServer &) = delete;
    SoakServer &operator=(const SoakServer &) = delete;

    const std::string &id() const { return id_; }
    Relay &relay() { return relay_; }
    void setFault(const SoakServerFault &fault) { fault_ = fault; }
    bool isDraining() const { return isDraining_; }
    /// Says from now on that it leaves.
    void startDraining(TimePoint now)
    {
        isDraining_ = true;
        drainingSince_ = now;
    }
    TimePoint drainingSince() const { return drainingSince_; }

    /// When it got its last request; zero before.
    TimePoint lastRequestAt() const { return lastRequestAt_; }

    /// Its entry in the platform's list.
    std::string makeEntry(const std::string &domain) const;

    /// The whole body of the answer to request @p id on @p target.
    static std::string makeBody(const std::string &id, const std::string &target);

private:
    void handle(const std::shared_ptr<CallerExchange> &exchange);
    void finish(const std::shared_ptr<CallerExchange> &exchange);
    bool draw(double share);

    EventLoop &loop_;
    const std::string id_;
    const std::string service_;
    RunLedger &ledger_;
    std::mt19937_64 random_;
    CallerServer server_;
    const Endpoint endpoint_;
    Relay relay_;
    SoakServerFault fault_;
    bool isDraining_ = false;
    TimePoint drainingSince_{};
    TimePoint lastRequestAt_{};
    std::map<std::uint64_t, Timers::HandlePtr> running_; ///< Never more than slots and queue.
    std::uint64_t lastRun_ = 0;
};

} // namespace qz::testing
