// The callers of a soak run and what they check.
#pragma once

#include "qz_http/stream/backendconnection.h"
#include "soak/soakservers.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace qz::testing {

/// How requests ended.
struct SoakTally
{
    int sent_ = 0;
    int answered_ = 0;
    int notRun_ = 0;  ///< Told with a status that promises it.
    int unknown_ = 0; ///< Told as failed without a promise, or not told in time.
    int cut_ = 0;     ///< The connection ended without an answer.
};

/// Sends requests at a steady rate over kept connections, to whatever address it is told, or as
/// long as a connection is open to an address that it was told before. Checks each answer: it is
/// the whole one of one server to this request, or says that there is none, and comes in time.
/// What was told as not run must not have run, and must not run later.
class SoakCallers
{
public:
    /// Of the ids of requests that are not of these callers and check an instance's configuration.
    static constexpr const char *probePrefix = "probe-";

    /// Where the next request goes; empty host: nowhere.
    using AddressFinder = std::function<Endpoint()>;
    using Reporter = std::function<void(const std::string &violation)>;
    /// Whether a request to this address may end without an answer, or be broken off.
    using CutExcuse = std::function<bool(const Endpoint &endpoint, TimePoint sentAt)>;

    SoakCallers(EventLoop &loop, RunLedger &ledger, AddressFinder finder, CutExcuse excuse,
                Reporter reporter, std::uint64_t seed);
    ~SoakCallers();

    void start(Duration period);
    void stop();
    std::size_t runningCount() const { return calls_.size(); }

    const SoakTally &tally() const { return tally_; }
    /// Requests sent since @p from that have ended, and those answered among them.
    std::pair<int, int> servedSince(TimePoint from) const;
    /// The same for requests sent to some addresses, or to all others, until @p to.
    std::pair<int, int> servedAt(const std::set<Endpoint> &endpoints, bool isAtOthers,
                                 TimePoint from, TimePoint to) const;

    /// Checks the ledger at the end: what must run at most once, or not at all, and with which
    /// body.
    void checkLedger();

    /// When and where a request was sent.
    struct SentRequest
    {
        Endpoint endpoint_;
        TimePoint sentAt_{};
        std::string body_;
    };
    /// Returns nothing for an id that is not of these callers.
    std::optional<SentRequest> findRequest(const std::string &id) const;
    /// Returns when the instance at @p endpoint first passed on that @p server leaves, if it did.
    std::optional<TimePoint> leavingPassedOnAt(const Endpoint &endpoint,
                                               const std::string &server) const;

private:
    class Call;
    struct End
    {
        TimePoint sentAt_;
        bool isAnswered_;
        Endpoint endpoint_;
    };
    void sendOne();
    void end(Call &call);
    /// Returns where the next request goes: a connection that is still open, wherever it leads, or
    /// an address that callers are told.
    Endpoint chooseEndpoint();
    std::unique_ptr<BackendConnection> takeIdle(const Endpoint &endpoint);

    EventLoop &loop_;
    RunLedger &ledger_;
    const AddressFinder finder_;
    const CutExcuse excuse_;
    const Reporter reporter_;
    const std::string prefix_; ///< Of the ids of this run's requests.
    std::mt19937_64 random_;
    SoakTally tally_;
    std::vector<End> ends_;
    std::map<Call *, std::unique_ptr<Call>> calls_;
    std::vector<std::unique_ptr<Call>> ended_; ///< Dropped on the loop's next turn.
    std::map<Endpoint, std::vector<std::unique_ptr<BackendConnection>>> idle_;
    std::map<std::string, SentRequest> requests_; ///< All, by id.
    /// When an instance first passed on that a server leaves.
    std::map<std::pair<Endpoint, std::string>, TimePoint> leavingPassedOn_;
    std::set<std::string> onceIds_;   ///< Must run at most once.
    std::set<std::string> notRunIds_; ///< Were told as not run.
    int lastNumber_ = 0;
    Timers::HandlePtr timer_;
    Timers::HandlePtr drop_;
};

} // namespace qz::testing
