// Probes of ejected servers, to decide on their re-admission.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"

#include <map>
#include <vector>

namespace qz {

/// Asks for probes of ejected servers once their hold-down is over, within a budget for the
/// service. A number of good probes in a row makes a server ready; a bad one costs a pause.
/// @see EjectionDecider
class ReadmissionProbes
{
public:
    /// The server is seen ejected; its hold-down counts from the first call.
    void track(const BackendServerId &server, Duration holdDown, TimePoint now);

    /// The server is not ejected any more.
    void forget(const BackendServerId &server) { tracked_.erase(server); }

    void onProbeResult(const BackendServerId &server, bool good, TimePoint now);

    /// The servers to probe now.
    std::vector<BackendServerId> due(TimePoint now);

    bool isReady(const BackendServerId &server) const;

    /// When the server was first seen ejected; @p now if it is not tracked.
    TimePoint ejectedAt(const BackendServerId &server, TimePoint now) const;

private:
    struct Tracked
    {
        TimePoint since_;
        TimePoint nextProbe_;
        unsigned goodInRow_ = 0;
    };

    std::map<BackendServerId, Tracked> tracked_;
    TimePoint nextBudget_{}; ///< No probe before this.
};

} // namespace qz
