// What this entry last heard of each gate's queue.
#pragma once

#include "qz_entries/choice/servercandidate.h"
#include "qz_gates/messages/executemessages.h"

#include <unordered_map>

namespace qz {

/// Remembers the digest that each answer of a gate carries.
class GateLoadReports
{
public:
    void record(const BackendServerId &server, const GateLoadReport &digest, TimePoint now);

    /// Fills what is known of the server into @p candidate.
    void fillCandidate(ServerCandidate &candidate, TimePoint now) const;

    /// The expected time in a slot at @p server; zero if unknown.
    Duration expectedServiceTime(const BackendServerId &server) const;

private:
    /// A digest older than this says nothing of the queue any more.
    static constexpr Duration digestLifetime = std::chrono::seconds(5);

    struct Entry
    {
        GateLoadReport digest_;
        TimePoint at_;
    };

    std::unordered_map<BackendServerId, Entry> entries_;
};

} // namespace qz
