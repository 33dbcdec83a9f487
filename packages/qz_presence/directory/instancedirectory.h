// The instances of the fleet, and those that callers are sent to.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"
#include "qz_fleet/messages/coreadaptors.h"

#include <map>
#include <string>
#include <vector>

namespace qz {

/// What an instance tells of itself for as long as it runs.
struct InstanceRecord
{
    InstanceId id_;
    Endpoint callerEndpoint_; ///< Where callers connect.
    Endpoint peerEndpoint_;   ///< Where other instances connect.
    Location location_;

    MSGPACK_DEFINE(id_, callerEndpoint_, peerEndpoint_, location_)
};

/// Knows the instances from their records, and which ones of its own failure domain are live
/// from what was heard of them.
///
/// Callers of a failure domain are sent to a few of its instances only, chosen by rendezvous
/// hash among those that are live: so each sees enough requests to judge a backend server
/// and to keep connections warm, and any other can take over. Instances that disagree on
/// who is live send callers to different ones for a moment, which costs nothing else.
class InstanceDirectory
{
public:
    struct Limits
    {
        std::size_t entriesPerDomain_ = 2;
        /// An instance that was not heard for so long is not live.
        Duration silenceLimit_ = std::chrono::milliseconds(1500);
    };

    InstanceDirectory(InstanceRecord self, Limits limits);

    /// Adds an instance or changes its addresses. True if it was not known like this.
    bool put(const InstanceRecord &record);

    /// An instance said that it is live; @p isReady: and takes callers.
    void hear(const InstanceId &id, bool isReady, TimePoint now);
    /// The link to an instance was lost or it said that it stops.
    void lose(const InstanceId &id);

    void setSelfReady(bool isReady) { isSelfReady_ = isReady; }
    const InstanceRecord &self() const { return self_; }

    /// The instances that callers of this failure domain should use, best first.
    std::vector<InstanceRecord> entries(TimePoint now) const;

    /// Whether this instance is one of entries().
    bool isEntry(TimePoint now) const;

    /// The other instances of this failure domain.
    std::vector<InstanceRecord> neighbours() const;

    /// Of each other failure domain, the instances that come first there if all are live.
    std::vector<InstanceRecord> remoteEntries() const;

    std::vector<InstanceRecord> all() const;
    std::size_t domainCount() const;
    std::size_t entriesPerDomain() const { return limits_.entriesPerDomain_; }

private:
    struct Known
    {
        InstanceRecord record_;
        TimePoint heardAt_{};
        bool isReady_ = false;
        bool isLost_ = true;
    };
    std::vector<InstanceRecord> firstOf(const std::string &domain,
                                        std::vector<std::string> ids) const;

    InstanceRecord self_;
    Limits limits_;
    bool isSelfReady_ = false;
    std::map<std::string, Known> others_; ///< By id, without this instance.
};

} // namespace qz
