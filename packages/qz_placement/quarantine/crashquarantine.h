// Keeps requests that crash backend servers from further servers.
#pragma once

#include "qz_placement/quarantine/crashhistory.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace qz {

struct QuarantineLimits
{
    int crashes_ = 3; ///< Servers that end under a request before it is quarantined.
    /// Servers that end within this time of each other ended for the same reason.
    Duration minCrashInterval_ = std::chrono::milliseconds(20);
    /// Time from the crash that quarantines a request to its first trial. A request that was
    /// blamed wrongly is served again after it.
    Duration firstTrialDelay_ = std::chrono::seconds(30);
    int trialDelayGrowth_ = 8; ///< Factor of the delay for each further crash.
    Duration maxTrialDelay_ = std::chrono::hours(1);
    /// Once a trial is due, the instances of the fleet take turns of this length.
    Duration trialTurn_ = std::chrono::seconds(10);
    Duration memory_ = std::chrono::hours(1); ///< After the last crash and its trial delay.
    std::size_t maxRequests_ = 1024;          ///< Requests that are remembered.
    std::size_t maxCrashes_ = 8;              ///< Crashes that are remembered of each.
};

/// Counts the backend servers that ended under each request, and quarantines a request after a few.
///
/// A server may end by itself while it has sound requests. Therefore an answer to a request, seen
/// by any instance, clears it, and of crashes that overlap or come at once only one counts: a
/// popular request is under way at many servers that a power failure ends together, whereas a
/// request that crashes servers does so again each time it is sent.
///
/// A quarantined request may be sent again as a trial, late and by one instance of the fleet at a
/// time. Each crash in a trial makes the next one much rarer.
///
/// The instances exchange histories. merge() gives the same result in whichever order they arrive.
/// @see CrashDetector
class CrashQuarantine
{
public:
    explicit CrashQuarantine(QuarantineLimits limits = {});

    /// State of a quarantined request.
    struct Hold
    {
        Duration untilTrial_{}; ///< Zero if a trial is due.
        std::size_t turn_ = 0;  ///< Number of turns that have passed since the trial is due.
    };
    /// Returns nothing for a request that may be sent.
    std::optional<Hold> find(const RequestFingerprint &request, TimePoint now) const;

    /// Records that this instance sends a trial; the next one is due after another delay.
    void recordTrial(const RequestFingerprint &request, TimePoint now);

    /// Returns the number of crashes that count, with those that are @p suspected but not known.
    int crashCount(const RequestFingerprint &request,
                   const std::vector<ServerCrash> &suspected = {}) const;

    /// Returns whether a request with a long body and this head has crashed a server.
    bool hasLongRequest(std::uint64_t head) const;

    /// Adds what this instance has found out or another one has reported. Returns whether it
    /// changes the crashes of the request. An answer to a request that is not known is ignored.
    bool merge(const CrashHistory &history, TimePoint now);

    const QuarantineLimits &limits() const { return limits_; }
    /// Returns whether no request has crashes.
    bool isEmpty() const { return suspects_ == 0; }
    /// Returns the number of quarantined requests.
    std::size_t heldCount(TimePoint now) const;

    /// Returns the requests with the latest crashes or answers, at most @p limit.
    std::vector<CrashHistory> latest(std::size_t limit) const;

private:
    struct Record
    {
        CrashHistory history_;
        int count_ = 0;     ///< Crashes that count.
        TimePoint trialAt_; ///< Time of this instance's last trial.
        TimePoint lastEvent() const;
    };
    int countCrashes(const std::vector<ServerCrash> &crashes) const;
    Duration trialDelay(int count) const;
    static void addCrash(std::vector<ServerCrash> &crashes, const ServerCrash &crash);
    void forgetOld(TimePoint now);
    void evictOne();

    const QuarantineLimits limits_;
    std::map<RequestFingerprint, Record> records_;
    std::size_t suspects_ = 0; ///< Records with crashes.
};

} // namespace qz
