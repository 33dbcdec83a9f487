// Decides which instances are live, leaving or gone, from heartbeats and the platform's list of
// instances.
#pragma once

#include "qz_core/time/clock.h"
#include "qz_fleet/membership/gossipmessage.h"
#include "qz_fleet/membership/gossipqueue.h"
#include "qz_fleet/membership/member.h"
#include "qz_fleet/membership/membertable.h"
#include "qz_fleet/membership/monitoringrings.h"
#include "qz_fleet/membership/prober.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <random>
#include <vector>

namespace qz {

struct MembershipOptions
{
    /// The most members that each one monitors, except in a small fleet.
    std::size_t ringCount_ = 4;
    ProberOptions prober_;
    /// Members that are requested to probe one that does not reply.
    std::size_t indirectProberCount_ = 3;
    /// Consecutive failed probe rounds after which a member is suspect.
    int failuresBeforeSuspicion_ = 2;
    /// Time from suspicion to death with at least two reporters.
    Duration confirmedSuspicionTimeout_ = std::chrono::milliseconds(1500);
    /// Time from suspicion to death with a single reporter.
    Duration unconfirmedSuspicionTimeout_ = std::chrono::seconds(6);
    /// Age up to which a heartbeat counts as recent.
    Duration recentContactLimit_ = std::chrono::milliseconds(1500);
    /// Time without an exchange with any member after which this instance is cut off.
    Duration cutOffTimeout_ = std::chrono::seconds(3);
    /// A longer gap between ticks means that the process was paused.
    Duration maxTickGap_ = std::chrono::seconds(1);
    /// Time between probes of dead members, which may have come back.
    Duration reconnectPeriod_ = std::chrono::seconds(5);
    /// Shortest time between early starts of probe rounds that spread new information.
    Duration earlyProbePeriod_ = std::chrono::milliseconds(250);
    /// How long dead members are remembered.
    Duration deadRetention_ = std::chrono::minutes(10);
    std::size_t maxUpdatesPerMessage_ = 8;
    /// The most updates in a message for anti-entropy sync if the receiver's view differs. A
    /// receiver that knows fewer members gets up to maxUpdatesPerMessage_.
    std::size_t syncUpdatesPerMessage_ = 2;
};

/// A heartbeat to send.
struct OutgoingGossip
{
    InstanceId to_;
    GossipMessage message_;
};

/// The highest rules version that any heartbeat has announced.
struct AnnouncedRulesVersion
{
    RulesVersion version_ = 0;
    InstanceId instance_; ///< Who announced it; empty if no heartbeat announced a version.
};

/// A gossip membership protocol in the manner of SWIM, without sockets and timers: the caller
/// passes in the time and received messages, and sends the returned messages.
///
/// Each instance probes a few neighbours on MonitoringRings. A neighbour that does not reply is
/// probed indirectly through other members, then marked as suspect, and declared dead unless it
/// refutes the suspicion by raising its version. Probes and their replies carry member updates.
/// The cost for each instance does not grow with the size of the fleet.
///
/// An instance that has had no exchange with any member for a while is cut off. It keeps the
/// members that it knows and declares none of them dead.
/// @see MembershipDriver, MemberTable, Prober
class Membership
{
public:
    using Outgoing = std::vector<OutgoingGossip>;

    /// Sets the parts of a Membership. All but the options are required.
    class Builder;

    /// Advances the protocol and returns the messages that are due. Must be called at intervals
    /// much shorter than the timeouts in the options.
    Outgoing tick(TimePoint now);

    /// Handles a heartbeat of @p from, whose identity the link has authenticated, and returns
    /// the messages to send. Ignores an invalid message.
    Outgoing receive(const InstanceId &from, const GossipMessage &message, TimePoint now);

    /// Applies the platform's list of instances, which may be outdated.
    void applyListing(const InstanceListing &listing, TimePoint now);

    /// To be called when a heartbeat to @p peer could not be sent.
    void handleSendFailure(const InstanceId &peer, TimePoint now);

    /// To be called when a link was lost. Starts probe rounds early.
    void handleLinkLost();

    /// Announces that this instance is leaving. It remains leaving until it stops.
    void startLeaving(TimePoint now);

    /// Marks this instance as stopped and returns the messages that announce this to its
    /// neighbours, so that they need not detect it as a failure.
    Outgoing stop(TimePoint now);

    /// Sets the rules version in force at this instance, which heartbeats announce.
    void setRulesVersion(RulesVersion version);

    /// Returns all live and leaving members, including this instance, ordered by id.
    const std::vector<Member> &members() const { return members_; }

    /// Returns the live ones of members().
    std::vector<Member> liveMembers() const;

    /// Returns where all other known members listen for links, including dead ones, which may
    /// come back.
    std::vector<Peer> knownPeers() const { return table_.peers(); }

    /// Returns the changes of members() since the last call.
    std::vector<MemberChange> takeChanges();

    /// Returns true if other members are known and none of them has confirmed contact with this
    /// instance within the cut-off timeout.
    bool isCutOff(TimePoint now) const;

    /// Returns true if the platform lists this instance as leaving.
    bool isListedLeaving() const { return table_.isListedLeaving(); }

    const AnnouncedRulesVersion &highestRulesVersion() const { return highestRulesVersion_; }

    nlohmann::json dumpState(TimePoint now) const;

private:
    /// The content of the last heartbeat of another instance.
    struct Contact
    {
        TimePoint heardAt_;
        std::uint64_t viewDigest_ = 0;
        std::uint32_t memberCount_ = 0;
        std::string incarnation_;       ///< As the sender reported it.
        std::uint64_t version_ = 0;     ///< As the sender reported it.
        bool hasHeardFromSelf_ = false; ///< The sender has recently heard from this instance.
    };

    /// A probe that this instance sent on behalf of another member.
    struct Relay
    {
        InstanceId origin_;
        std::uint64_t originSequence_ = 0;
        InstanceId subject_;
        TimePoint expiresAt_;
    };

    explicit Membership(const Builder &builder);

    void perform(const DirectProbe &probe, TimePoint now, Outgoing &out);
    void perform(const IndirectProbe &probe, TimePoint now, Outgoing &out);
    void perform(const FailedRound &round, TimePoint now, Outgoing &out);
    void resolveSuspicions(TimePoint now);
    void probeUnreachable(TimePoint now, Outgoing &out);
    void detectPause(TimePoint now);
    void removeOldEntries(TimePoint now);

    void recordContact(const InstanceId &from, const GossipMessage &message, TimePoint now);
    void applyUpdate(MemberUpdate update, TimePoint now);
    void handleAck(const InstanceId &from, const GossipMessage &message, TimePoint now,
                   Outgoing &out);
    void handleProbeRequest(const InstanceId &from, const GossipMessage &message, TimePoint now,
                            Outgoing &out);

    OutgoingGossip makeMessage(const InstanceId &to, GossipKind kind, std::uint64_t sequence,
                               TimePoint now);
    std::vector<MemberUpdate> chooseUpdates(const InstanceId &to);
    std::size_t syncUpdateCount(const InstanceId &to) const;
    bool hasRecentlyHeardFrom(const InstanceId &member, TimePoint now) const;
    std::vector<InstanceId> chooseIndirectProbers(const InstanceId &subject);
    void gossipUpdate(const InstanceId &member);
    void applyTableChanges(TimePoint now);
    void updateMembers(const MemberChange &change);

    MembershipOptions options_;
    std::mt19937_64 &random_;
    MemberTable table_;
    MonitoringRings rings_;
    Prober prober_;
    GossipQueue gossipQueue_;
    std::vector<Member> members_;       ///< Matches table_ after each call; ordered by id.
    std::vector<MemberChange> changes_; ///< Not yet returned by takeChanges().
    std::map<InstanceId, Contact> contacts_;
    std::map<InstanceId, TimePoint>
            suspectedSince_;                ///< When this instance began to suspect members.
    std::map<std::uint64_t, Relay> relays_; ///< By the sequence number of the relayed probe.
    RulesVersion rulesVersion_ = 0;
    AnnouncedRulesVersion highestRulesVersion_;
    TimePoint lastExchange_; ///< When a member last confirmed that it hears this instance.
    TimePoint lastTick_;
    TimePoint nextReconnect_;
    TimePoint nextEarlyProbe_;
    TimePoint nextCleanup_;
    bool isEarlyProbeDue_ = false;
};

class Membership::Builder
{
public:
    Builder &setSelf(Member self);
    Builder &setOptions(const MembershipOptions &options);
    /// @p random must outlive the membership.
    Builder &setRandom(std::mt19937_64 &random);
    Builder &setStart(TimePoint start);

    std::unique_ptr<Membership> build() const;

private:
    friend class Membership;

    Member self_;
    MembershipOptions options_;
    std::mt19937_64 *random_ = nullptr;
    TimePoint start_;
};

} // namespace qz
