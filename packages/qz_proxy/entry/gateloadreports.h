// The last load report of each gate.
#pragma once

#include "qz_entries/choice/servercandidate.h"
#include "qz_gates/messages/executemessages.h"

#include <unordered_map>

namespace qz {

/// Stores the load report in the last answer from the gate of each backend server.
class GateLoadReports
{
public:
    /// Stores the report that arrived at @p now.
    void record(const BackendServerId &server, const GateLoadReport &report, TimePoint now);

    /// Adds the server's weight and queue to @p candidate if the report is recent enough.
    void fillCandidate(ServerCandidate &candidate, TimePoint now) const;

    /// Returns the expected service time of a request at @p server; zero if unknown.
    Duration expectedServiceTime(const BackendServerId &server) const;

private:
    /// The queue may have changed entirely since an older report.
    static constexpr Duration maxReportAge = std::chrono::seconds(5);

    struct Entry
    {
        GateLoadReport report_;
        TimePoint receivedAt_;
    };

    std::unordered_map<BackendServerId, Entry> entries_;
};

} // namespace qz
