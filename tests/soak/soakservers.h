// The backend servers of a soak run and what they have run.
#pragma once

#include "qz_http/stream/callerserver.h"
#include "qz_placement/tests/retrybudgetcheck.h"
#include "testbed/relay.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace qz::testing {

/// What has arrived at all backend servers, and what they have run, by the request's id.
struct RunLedger
{
    explicit RunLedger(const RetryBudgetLimits &retryBudget)
        : retryBudget_(retryBudget)
    {
    }

    std::map<std::string, int> runs_;
    /// The body with which a request was run last.
    std::map<std::string, std::string> bodies_;
    /// Requests that arrived at a server that says in its answers that it leaves, by the server.
    std::map<std::string, std::vector<std::string>> arrivalsWhileLeaving_;
    /// Requests that crash servers: their arrivals, and the times when servers ended under them.
    std::vector<std::pair<std::string, TimePoint>> crashArrivals_;
    std::vector<TimePoint> crashes_;
    RetryBudgetCheck retryBudget_;
};

/// How a server fails for a while.
struct SoakServerFault
{
    double resetShare_ = 0.0;    ///< Of requests that it resets before running them.
    double loseShare_ = 0.0;     ///< Of answers that are lost after the run.
    double truncateShare_ = 0.0; ///< Of answers that break off in the body.
    double stallShare_ = 0.0;    ///< Of answers that fall silent in the body.
    double repeatShare_ = 0.0;   ///< Of answers that are sent once more, a moment later.
    double pieceShare_ = 0.0;    ///< Of answers after which a piece of an earlier one is sent.
    double slowFactor_ = 1.0;    ///< Of the time of its work.
};

/// Runs a few requests at once, sheds the others, and answers with a body of its own that the
/// caller can check. Requests below longPrefix take seconds, and their answers come in pieces.
class SoakServer
{
public:
    SoakServer(EventLoop &loop, std::string id, std::string service, RunLedger &ledger,
               std::uint64_t seed);
    SoakServer(const SoakServer &) = delete;
    SoakServer &operator=(const SoakServer &) = delete;
    ~SoakServer();

    const std::string &id() const { return id_; }
    Relay &relay() { return relay_; }
    void setFault(const SoakServerFault &fault) { fault_ = fault; }
    bool isDraining() const { return isDraining_; }
    /// Says from now on in its entry that it leaves.
    void startDraining(TimePoint now)
    {
        isDraining_ = true;
        drainingSince_ = now;
    }
    /// Says from now on in its answers that it leaves, and not in its entry, as a server that is
    /// cut off from the store.
    void startLeaving() { isLeaving_ = true; }
    bool isLeaving() const { return isLeaving_ || isDraining_; }
    TimePoint drainingSince() const { return drainingSince_; }

    /// When it got its last request; zero before.
    TimePoint lastRequestAt() const { return lastRequestAt_; }

    /// Its entry in the platform's list.
    std::string makeEntry(const std::string &domain) const;

    static constexpr const char *longPrefix = "/long/";
    /// A request with this target ends each server that runs it.
    static constexpr const char *crashTarget = "/safe/crash";

    /// Called once, when the server has ended under a request.
    void setCrashHandler(std::function<void()> handler) { crashHandler_ = std::move(handler); }
    bool hasCrashed() const { return hasCrashed_; }

    /// The whole body of the answer of @p server to request @p id on @p target.
    static std::string makeBody(const std::string &server, const std::string &id,
                                const std::string &target);
    /// The seal of that answer, and the server that it names.
    static std::string makeSeal(const std::string &server, const std::string &id);
    static std::string serverOfSeal(const std::string &seal);

private:
    struct Run;
    void handle(const std::shared_ptr<CallerExchange> &exchange);
    void start(const std::shared_ptr<CallerExchange> &exchange);
    void finish(Run &run);
    void sendPiece(Run &run);
    void crash();
    /// Sends an answer, and late and in two parts @p surplus, which then stands ahead of the answer
    /// to the next request of the connection.
    void sendWithSurplus(const std::shared_ptr<CallerExchange> &exchange, const HttpHead &head,
                         const std::string &body, const std::string &surplus);
    /// A piece, of any size, of an earlier refusal or answer to request @p id.
    std::string makePiece(const std::string &id);
    bool draw(double share);
    /// The head of an answer to request @p id, with what the server says of itself.
    HttpHead makeHead(int status, const std::string &id) const;

    EventLoop &loop_;
    const std::string id_;
    const std::string service_;
    RunLedger &ledger_;
    std::mt19937_64 random_;
    CallerServer server_;
    const Endpoint endpoint_;
    Relay relay_;
    SoakServerFault fault_;
    std::function<void()> crashHandler_;
    bool hasCrashed_ = false;
    bool isDraining_ = false;
    bool isLeaving_ = false;
    TimePoint drainingSince_{};
    TimePoint lastRequestAt_{};
    std::map<Run *, std::unique_ptr<Run>> running_;      ///< Never more than slots and queue.
    std::map<std::uint64_t, Timers::HandlePtr> repeats_; ///< Parts of answers sent once more.
    std::uint64_t lastRepeat_ = 0;
};

} // namespace qz::testing
