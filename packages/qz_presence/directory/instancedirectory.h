// The instances of the fleet, and those that callers are sent to.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"
#include "qz_fleet/messages/coreadaptors.h"

#include <map>
#include <optional>
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
    double processorShare_ = 1.0; ///< Of a core that the instance may use.

    MSGPACK_DEFINE(id_, callerEndpoint_, peerEndpoint_, location_, processorShare_)
};

/// What an instance tells of itself that may change.
struct InstanceState
{
    bool isReady_ = false;     ///< It takes callers.
    bool isStoreLost_ = false; ///< It cannot read from the store.
};

/// Knows the instances from their records, and which ones of its own failure domain are live
/// from what was heard of them.
///
/// Callers of a failure domain are sent to a few of its instances only, chosen among those
/// that are live by their part of a processor, and by rendezvous hash where it is the same: so
/// each sees enough requests to judge a backend server and to keep connections warm, and any
/// other can take over. Instances that disagree on
/// who is live send callers to different ones for a moment, which costs nothing else.
class InstanceDirectory
{
public:
    struct Limits
    {
        std::size_t entriesPerDomain_ = 2;
        /// Instances of a failure domain that read from the store for all of it. With two, one
        /// may fail without a gap.
        std::size_t readersPerDomain_ = 2;
        /// Instances that try to, one after the other, where the store refuses some.
        std::size_t readerCandidates_ = 6;
        /// An instance that was not heard for so long is not live.
        Duration silenceLimit_ = std::chrono::milliseconds(1500);
    };

    InstanceDirectory(InstanceRecord self, Limits limits);

    /// Adds an instance or changes its addresses. True if it was not known like this. A new
    /// one is taken as live, but not as ready, until it could have been heard.
    bool addOrUpdate(const InstanceRecord &record, TimePoint now);

    /// Adds an instance that another one knows; what is known of it already holds.
    bool addIfUnknown(const InstanceRecord &record, TimePoint now);

    /// A digest of the ids of all known instances and of this one: the same at instances that
    /// know the same.
    std::uint64_t digest() const { return digest_; }

    /// An instance said that it is live.
    void recordPresence(const InstanceId &id, const InstanceState &state, TimePoint now);
    /// The link to an instance was lost or it said that it stops.
    void markLost(const InstanceId &id);

    void setSelfState(const InstanceState &state) { selfState_ = state; }
    const InstanceRecord &self() const { return self_; }

    /// The instances that callers of this failure domain should use, best first.
    std::vector<InstanceRecord> entries(TimePoint now) const;

    /// Whether this instance is one of entries().
    bool isEntry(TimePoint now) const;

    /// If this instance is one of those that read from the store: how many that can do so
    /// come before it.
    std::optional<std::size_t> readerIndex(TimePoint now) const;

    /// The other instances of this failure domain, in the order in which they take callers.
    std::vector<InstanceRecord> domainPeers() const;

    /// Of each other failure domain, the entries if all its instances are live.
    std::vector<InstanceRecord> remoteEntries() const;

    /// Of each other failure domain, the readers if all its instances are live.
    std::vector<InstanceRecord> remoteReaders() const;

    /// Whether @p id is known to stand in this instance's failure domain.
    bool isInSameDomain(const InstanceId &id) const;

    std::vector<InstanceRecord> all() const;
    std::size_t domainCount() const;
    std::size_t entriesPerDomain() const { return limits_.entriesPerDomain_; }

private:
    struct Known
    {
        InstanceRecord record_;
        TimePoint heardAt_{};
        InstanceState state_;
        bool isLost_ = true;
    };
    bool isLiveNeighbour(const Known &known, TimePoint now) const;
    std::vector<InstanceRecord> firstOf(const std::string &key, std::vector<std::string> ids,
                                        std::size_t count) const;
    const InstanceRecord &recordOf(const std::string &id) const;
    std::vector<InstanceRecord> firstOfOtherDomains(const std::string &keySuffix,
                                                    std::size_t count) const;

    InstanceRecord self_;
    Limits limits_;
    InstanceState selfState_;
    std::map<std::string, Known> others_; ///< By id, without this instance.
    std::uint64_t digest_;                ///< Of the ids in others_ and of self_.
};

} // namespace qz
