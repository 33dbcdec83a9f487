// Who is live, leaving or gone, decided from heartbeats and the platform's list.
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
    std::size_t ringCount_ = 4; ///< Members that each one monitors.
    ProberOptions prober_;
    std::size_t indirectProberCount_ = 3; ///< Asked to probe a member that does not answer.
    int failuresBeforeSuspicion_ = 2;     ///< Failed rounds in a row.
    Duration confirmedSuspicionTimeout_ = std::chrono::milliseconds(1500); ///< By two accusers.
    Duration unconfirmedSuspicionTimeout_ = std::chrono::seconds(6);       ///< By a single one.
    Duration recentContactLimit_ = std::chrono::milliseconds(1500); ///< How long "heard" holds.
    Duration cutOffTimeout_ = std::chrono::seconds(3);   ///< Without an exchange with anybody.
    Duration maxTickGap_ = std::chrono::seconds(1);      ///< Between ticks; more was a pause.
    Duration reconnectPeriod_ = std::chrono::seconds(5); ///< Between probes of dead members.
    Duration earlyProbePeriod_ = std::chrono::milliseconds(250); ///< Between rounds for news.
    Duration deadRetention_ = std::chrono::minutes(10);
    std::size_t maxUpdatesPerMessage_ = 8;  ///< In one message.
    std::size_t syncUpdatesPerMessage_ = 2; ///< Of these, for views that differ.
};

/// A heartbeat to send.
struct OutgoingGossip
{
    InstanceId to_;
    GossipMessage message_;
};

/// The highest version of the rules that any heartbeat has told of.
struct AnnouncedRulesVersion
{
    RulesVersion version_ = 0;
    InstanceId instance_; ///< Who has it; empty if nobody but this instance spoke.
};

/// Membership without sockets and timers: time and messages in, messages and changes out.
/// Each instance probes a few neighbours on MonitoringRings. One that does not answer is
/// probed through others, then suspected, and dead unless it refutes that by a higher
/// version. Changes travel on the probes. The cost for each instance does not grow with
/// the fleet.
///
/// An instance that has no exchange with anybody is cut off: it goes on with the members
/// that it knows and declares nobody dead.
/// @see MembershipDriver, MemberTable, Prober
class Membership
{
public:
    using Outgoing = std::vector<OutgoingGossip>;

    /// Collects what Membership is made of. Only the options have defaults.
    class Builder;

    /// What is due. To be called often, compared with the limits of the options.
    Outgoing tick(TimePoint now);

    /// Takes a heartbeat of @p from, whose identity its link has proved. A message that is
    /// not plausible is ignored.
    Outgoing receive(const InstanceId &from, const GossipMessage &message, TimePoint now);

    /// Takes the platform's list, however old.
    void applyListing(const InstanceListing &listing, TimePoint now);

    /// The heartbeat to @p peer could not be sent.
    void handleSendFailure(const InstanceId &peer, TimePoint now);

    /// The link to @p peer was lost: probes soon.
    void handleLinkLost();

    /// This instance is leaving, from now to its end.
    void startLeaving(TimePoint now);

    /// This instance ends: tells its neighbours, so that nobody has to find out.
    Outgoing stop(TimePoint now);

    /// The version in force here, to be told to others.
    void setRulesVersion(RulesVersion version);

    /// All that are live or leaving, this instance included, ordered by id.
    const std::vector<Member> &members() const { return members_; }

    /// Those of members() that are live.
    std::vector<Member> liveMembers() const;

    /// Where all known members listen for links, the dead ones too: they may come back.
    std::vector<Peer> knownPeers() const { return table_.peers(); }

    /// Changes of members() since the last call.
    std::vector<MemberChange> takeChanges();

    /// True if others should be there and there has been no exchange with any of them.
    bool isCutOff(TimePoint now) const;

    /// True if the platform wants this instance to leave.
    bool isListedLeaving() const { return table_.isListedLeaving(); }

    const AnnouncedRulesVersion &highestRulesVersion() const { return highestRules_; }

    nlohmann::json dumpState(TimePoint now) const;

private:
    /// What a neighbour last said.
    struct Contact
    {
        TimePoint heardAt_;
        std::uint64_t viewDigest_ = 0;
        std::uint32_t memberCount_ = 0;
        std::string incarnation_; ///< Of the member's own word.
        std::uint64_t version_ = 0;
        bool hasHeardUs_ = false;
    };

    /// A probe on behalf of another member.
    struct Relay
    {
        InstanceId origin_;
        std::uint64_t originSequence_ = 0;
        InstanceId subject_;
        TimePoint expiresAt_;
    };

    explicit Membership(const Builder &builder);

    void act(const DirectProbe &probe, TimePoint now, Outgoing &out);
    void act(const IndirectProbe &probe, TimePoint now, Outgoing &out);
    void act(const FailedRound &round, TimePoint now, Outgoing &out);
    void concludeSuspicions(TimePoint now);
    void probeLost(TimePoint now, Outgoing &out);
    void noticePause(TimePoint now);
    void forgetOld(TimePoint now);

    void takeContact(const InstanceId &from, const GossipMessage &message, TimePoint now);
    void takeUpdate(MemberUpdate update, TimePoint now);
    void takeAck(const InstanceId &from, const GossipMessage &message, TimePoint now,
                 Outgoing &out);
    void takeProbeRequest(const InstanceId &from, const GossipMessage &message, TimePoint now,
                          Outgoing &out);

    OutgoingGossip makeMessage(const InstanceId &to, GossipKind kind, std::uint64_t sequence,
                               TimePoint now);
    std::vector<MemberUpdate> chooseUpdates(const InstanceId &to);
    std::size_t syncCount(const InstanceId &to) const;
    bool hasHeard(const InstanceId &member, TimePoint now) const;
    std::vector<InstanceId> helpersFor(const InstanceId &subject);
    void spread(const InstanceId &member);
    void refresh(TimePoint now);
    void updateMembers(const MemberChange &change);

    MembershipOptions options_;
    std::mt19937_64 &random_;
    MemberTable table_;
    MonitoringRings rings_;
    Prober prober_;
    GossipQueue queue_;
    std::vector<Member> members_;       ///< As table_ holds them, after each call; ordered by id.
    std::vector<MemberChange> changes_; ///< Not taken yet.
    std::map<InstanceId, Contact> contacts_;
    std::map<InstanceId, TimePoint> accusedSince_; ///< By this instance.
    std::map<std::uint64_t, Relay> relays_;        ///< By the sequence of our own probe.
    RulesVersion rulesVersion_ = 0;
    AnnouncedRulesVersion highestRules_;
    TimePoint lastExchange_; ///< When somebody last told that it hears this instance.
    TimePoint lastTick_;
    TimePoint nextReconnect_;
    TimePoint nextPrompt_;
    TimePoint nextCleaning_;
    bool isPromptDue_ = false;
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
