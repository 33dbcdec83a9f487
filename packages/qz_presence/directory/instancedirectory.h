// The instances of the fleet, and the choice of those that callers connect to.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"
#include "qz_fleet/messages/coreadaptors.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace qz {

/// The properties of an instance that do not change while it runs.
struct InstanceRecord
{
    InstanceId id_;
    Endpoint callerEndpoint_; ///< Address that callers connect to.
    Endpoint peerEndpoint_;   ///< Address that other instances connect to.
    Location location_;
    double processorShare_ = 1.0; ///< Share of a processor core that the instance may use.
    double linkCapacity_ = 10.0;  ///< Capacity of its network link in Mbit/s; above zero.

    MSGPACK_DEFINE(id_, callerEndpoint_, peerEndpoint_, location_, processorShare_, linkCapacity_)
};

/// The properties of an instance that may change while it runs.
struct InstanceState
{
    bool isReady_ = false;     ///< The instance accepts callers.
    bool isStoreLost_ = false; ///< The instance cannot read from the store.
};

/// Keeps the records of all known instances, and determines from their presence messages which
/// instances of its own failure domain are live.
///
/// Callers of a failure domain connect to only a few of its live instances, the entry instances.
/// These are the ones with the largest processor share; a rendezvous hash decides between equal
/// shares. So each entry instance gets enough requests to assess backend servers and to keep
/// connections open, and any other instance can replace it. Instances that disagree about which
/// instances are live direct callers to different ones for a short time; this has no other effect.
class InstanceDirectory
{
public:
    struct Limits
    {
        /// Instances of a failure domain for each of its entry instances, rounded up. Few entries
        /// assess servers and share them better; each must be able to carry its callers.
        std::size_t instancesPerEntry_ = 16;
        /// Number of instances that read from the store for their whole failure domain. With
        /// two, updates continue without a gap if one of them fails.
        std::size_t readersPerDomain_ = 2;
        /// Number of instances that may try to read, one after the other, if the store is
        /// unavailable to some of them.
        std::size_t readerCandidates_ = 6;
        /// An instance is not live if no presence message arrived from it for this time.
        Duration silenceLimit_ = std::chrono::milliseconds(1500);
    };

    InstanceDirectory(InstanceRecord self, Limits limits);

    /// Adds an instance or updates its record. Returns true if anything changed. A new or changed
    /// instance counts as live, but not as ready, until its first presence message is due.
    bool addOrUpdate(const InstanceRecord &record, TimePoint now);

    /// Adds an instance that another instance reported. The record of a known instance stays.
    bool addIfUnknown(const InstanceRecord &record, TimePoint now);

    /// Returns a digest of the ids of all known instances, including this one. It is equal at
    /// instances that know the same set.
    std::uint64_t digest() const { return digest_; }

    /// Records a presence message of an instance. Returns whether it is the first one from it, or
    /// the first one since markLost().
    bool recordPresence(const InstanceId &id, const InstanceState &state, TimePoint now);
    /// Marks an instance as not live, because its link was lost or it announced that it stops.
    void markLost(const InstanceId &id);

    void setSelfState(const InstanceState &state) { selfState_ = state; }
    const InstanceRecord &self() const { return self_; }

    /// Returns the entry instances of this failure domain, in order of preference.
    std::vector<InstanceRecord> entries(TimePoint now) const;

    /// Returns whether this instance is one of entries().
    bool isEntry(TimePoint now) const;

    /// Returns the number of instances before this one in the order of readers that can read from
    /// the store, those with the widest links first, or an empty value if this instance is not one
    /// of the readers.
    std::optional<std::size_t> readerIndex(TimePoint now) const;

    /// Returns the other instances of this failure domain, in the order of preference for callers.
    std::vector<InstanceRecord> domainPeers() const;

    /// Returns the other instances of this failure domain in the order in which they pass on large
    /// messages: live ones first, then by the capacity of their links.
    std::vector<InstanceRecord> relays(TimePoint now) const;

    /// Returns the instances that may get this one's requests while it cannot reach the servers: of
    /// each failure domain more than its entry instances, since some may be cut off too. Those of
    /// this domain are ready.
    std::vector<InstanceRecord> requestPeers(TimePoint now) const;

    /// Returns the entry instances of each other failure domain, assuming that all of its
    /// instances are live.
    std::vector<InstanceRecord> remoteEntries() const;

    /// Returns the readers of each other failure domain, assuming that all of its instances are
    /// live and can read from the store.
    std::vector<InstanceRecord> remoteReaders() const;

    /// Returns whether @p id is a known instance of this instance's failure domain.
    bool isInSameDomain(const InstanceId &id) const;

    std::vector<InstanceRecord> all() const;
    /// Returns the number of entry instances of all failure domains.
    std::size_t entryCount() const;

private:
    struct KnownInstance
    {
        InstanceRecord record_;
        TimePoint lastPresence_{}; ///< Arrival of the last presence message.
        InstanceState state_;
        bool isLinkLost_ = true;
        bool isHeard_ = false; ///< A presence message has arrived since the link was lost.
    };
    bool isLiveInSameDomain(const KnownInstance &known, TimePoint now) const;
    /// The property of an instance of which more is preferred.
    using Preference = double InstanceRecord::*;
    /// Returns the instances @p ids in the order of preference. A rendezvous hash with @p key
    /// decides between equal ones.
    std::vector<InstanceRecord> preferredInstances(const std::string &key,
                                                   std::vector<std::string> ids,
                                                   Preference preference) const;
    const InstanceRecord &recordOf(const std::string &id) const;
    /// Returns the preferred instances of each other failure domain. @p countOf maps the number
    /// of a domain's instances to the number of those to return.
    std::vector<InstanceRecord> preferredInOtherDomains(
            const std::string &keySuffix, Preference preference,
            const std::function<std::size_t(std::size_t)> &countOf) const;
    std::size_t entriesOf(std::size_t domainSize) const;
    std::size_t requestPeersOf(std::size_t domainSize) const { return entriesOf(domainSize) + 1; }
    /// Returns the number of known instances by failure domain.
    std::map<std::string, std::size_t> domainSizes() const;

    InstanceRecord self_;
    Limits limits_;
    InstanceState selfState_;
    std::map<std::string, KnownInstance> others_; ///< Known instances by id, without this one.
    std::uint64_t digest_;                        ///< Digest of the ids in others_ and of self_.
};

} // namespace qz
