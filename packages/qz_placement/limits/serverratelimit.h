// Limits the rate of requests to a backend server that names a limit.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_placement/choice/serverroles.h"

#include <optional>

namespace qz {

/// Keeps this instance's requests to one backend server below its share of the rate that the server
/// accepts from all instances together.
///
/// Assumed load: a server in need accepts a few requests per second, down to less than one, while
/// several instances have many more for it. Only the owner and the backup of the server send to it
/// then, each within a fixed share, so the sum holds without a message per request.
///
/// Invariant: in any span of time, this instance sends at most its share of what the rate allows
/// for that span, and one request.
/// @see ServerRoles, choosePlacement
class ServerRateLimit
{
public:
    /// Sets the rate that the server names, in requests per second. Returns whether it has changed.
    /// A rate that is not named again for some time no longer applies.
    bool set(double requestsPerSecond, TimePoint now);

    /// Ends the limit, because the server no longer names one. Returns whether there was one.
    bool clear(TimePoint now);

    /// Sets the role of this instance for the server, which determines its share of the rate.
    void setRole(ServerRole role, TimePoint now);

    /// Returns the rate that the server accepts from all instances, or nothing if there is no
    /// limit.
    std::optional<double> requestsPerSecond(TimePoint now) const;

    /// Returns this instance's share of the rate in requests per second.
    double ownRate() const;

    /// Returns whether a request may be sent to the server.
    bool canSend(TimePoint now) const;

    void recordSent(TimePoint now);

    /// Returns whether other instances should be told the limit again. @see recordReport
    bool isReportDue(TimePoint now) const;
    /// Records that the limit was reported to or by another instance.
    void recordReport(TimePoint now) { reportedAt_ = now; }

    /// Returns the time until a request may be sent, or nothing if this instance has no share.
    std::optional<Duration> timeUntilFree(TimePoint now) const;

private:
    /// Requests that may be sent at @p now, at most one. Negative after requests that were sent
    /// although none was allowed.
    double tokens(TimePoint now) const;
    void updateTokens(TimePoint now);

    std::optional<double> requestsPerSecond_;
    ServerRole role_ = ServerRole::None;
    double tokens_ = 0.0; ///< At tokensAt_.
    TimePoint tokensAt_{};
    TimePoint namedAt_{}; ///< Time when the rate was last set.
    TimePoint reportedAt_{};
};

} // namespace qz
