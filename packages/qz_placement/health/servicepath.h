// Tells a lost network path from servers that fail.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"

#include <algorithm>
#include <cstddef>
#include <map>

namespace qz {

/// Whether an instance can reach the servers of one service.
///
/// The path is lost once some servers, one after the other, let no connection be opened, or answer
/// nothing, while no other server does for a moment. Three things count apart: that connections are
/// opened, that answers arrive on connections just opened, and that any answers arrive. For open
/// connections may live on while new ones are refused, and new ones may be opened by something in
/// between that passes nothing on. Single servers that are down do not matter, since others are
/// reached meanwhile. All servers of a service being down looks the same from here; only another
/// instance can tell the difference.
/// @see Forwarder
class ServicePath
{
public:
    /// Records that a server accepted a connection.
    void recordConnected(TimePoint now);
    /// Records an answer of a server. @p isNewConnection is whether it is the first one on its
    /// connection.
    void recordAnswer(bool isNewConnection, TimePoint now);
    /// Records that a connection to a server could not be opened. @p serverCount is the number of
    /// servers that could be tried.
    void recordConnectFailure(const BackendServerId &server, std::size_t serverCount,
                              TimePoint now);
    /// Records that a server let a request without an answer.
    void recordNoAnswer(const BackendServerId &server, std::size_t serverCount,
                        bool isNewConnection, TimePoint now);

    bool isLost() const { return opening_.isLost_ || newAnswers_.isLost_ || answers_.isLost_; }
    /// Returns whether the path is lost because no connection can be opened.
    bool isOpeningLost() const { return opening_.isLost_; }
    /// Time when the path was lost. Valid while it is.
    TimePoint lostSince() const { return lostSince_; }
    /// Last time when a server was reached; zero before.
    TimePoint reachedAt() const { return std::max(opening_.lastSuccess_, answers_.lastSuccess_); }

    /// Returns whether a request may be sent to a server although the path is lost, to find out
    /// whether servers answer again. Only if they accept connections, and rarely.
    bool tryAcquireTrial(bool isRepeatable, TimePoint now);

private:
    /// One of the things that count.
    struct Part
    {
        std::map<BackendServerId, TimePoint> failures_; ///< Since the last success.
        TimePoint lastSuccess_{};
        bool isLost_ = false;
    };
    /// @p needed is the number of servers whose failures show that the path is lost.
    static void addFailure(Part &part, const BackendServerId &server, std::size_t needed,
                           TimePoint now);
    static void recordSuccess(Part &part, TimePoint now);
    void updateLostSince(bool wasLost, TimePoint now);

    Part opening_;
    Part newAnswers_; ///< First answers of connections.
    Part answers_;
    TimePoint lostSince_{};
    TimePoint lastTrial_{};
    Duration trialDelay_{ 0 }; ///< Grows with each trial since the path was lost.
};

} // namespace qz
