// Schedules probes of ejected servers and decides on their re-admission.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"

#include <map>
#include <vector>

namespace qz {

/// Schedules probes of ejected servers after their hold-down, at a limited rate for the whole
/// service. A server is ready for re-admission after several consecutive successful probes. A
/// failed probe resets the count and delays the next probe.
/// @see EjectionDecider
class ReadmissionProbes
{
public:
    /// Starts to track an ejected server. Its hold-down starts at the first call; further calls
    /// have no effect.
    void track(const BackendServerId &server, Duration holdDown, TimePoint now);

    /// Stops tracking a server that is no longer ejected.
    void untrack(const BackendServerId &server) { tracked_.erase(server); }

    void onProbeResult(const BackendServerId &server, bool succeeded, TimePoint now);

    /// Returns the servers to probe now, and counts these probes as sent.
    std::vector<BackendServerId> scheduleProbes(TimePoint now);

    /// Returns true if the server can be re-admitted.
    bool isReady(const BackendServerId &server) const;

    /// Returns the time at which the server was first seen ejected, or @p now if it is not tracked.
    TimePoint ejectedAt(const BackendServerId &server, TimePoint now) const;

private:
    struct Tracked
    {
        TimePoint since_;
        TimePoint nextProbe_;
        unsigned consecutiveSuccesses_ = 0;
    };

    std::map<BackendServerId, Tracked> tracked_;
    TimePoint nextServiceProbe_{}; ///< Earliest time of the next probe of any server.
};

} // namespace qz
