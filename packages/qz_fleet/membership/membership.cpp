// Failure detection and gossip of the membership protocol.
#include "qz_fleet/membership/membership.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace qz {

namespace {

constexpr std::size_t maxRelays = 1024;
constexpr Duration relayTimeout = std::chrono::seconds(1);
constexpr std::size_t reportersToConfirm = 2;
/// Enough to send an update twice to the predecessor and to the successor on each ring.
constexpr int transmissionsPerRing = 4;
constexpr Duration cleanupPeriod = std::chrono::seconds(10);

MemberUpdate toUpdate(const Member &member)
{
    MemberUpdate update;
    update.id_ = member.id_;
    update.incarnation_ = member.incarnation_;
    update.isLeaving_ = member.state_ == MemberState::Leaving;
    update.peerEndpoint_ = member.peerEndpoint_;
    update.callerEndpoint_ = member.callerEndpoint_;
    update.location_ = member.location_;
    return update;
}

std::vector<InstanceId> idsOf(const std::vector<Member> &members)
{
    std::vector<InstanceId> ids;
    ids.reserve(members.size());
    for (const Member &member : members) {
        ids.push_back(member.id_);
    }
    return ids;
}

nlohmann::json dumpMember(const Member &member, const MemberUpdate &update)
{
    return { { "state", toString(member.state_) },
             { "verdict", toString(update.verdict()) },
             { "version", update.version_ },
             { "incarnation", member.incarnation_ },
             { "peer_endpoint", toString(member.peerEndpoint_) },
             { "caller_endpoint", toString(member.callerEndpoint_) },
             { "region", member.location_.region_.value() },
             { "failure_domain", member.location_.failureDomain_.value() } };
}

} // namespace

Membership::Membership(const Builder &builder)
    : options_(builder.options_)
    , random_(*builder.random_)
    , table_(toUpdate(builder.self_))
    , rings_(options_.ringCount_)
    , prober_(options_.prober_, random_)
    , lastExchange_(builder.start_)
    , lastTick_(builder.start_)
    , nextReconnect_(builder.start_ + options_.reconnectPeriod_)
    , nextEarlyProbe_(builder.start_)
    , nextCleanup_(builder.start_)
{
    applyTableChanges(builder.start_);
}

Membership::Outgoing Membership::tick(TimePoint now)
{
    Outgoing out;
    detectPause(now);
    removeOldEntries(now);
    if (isEarlyProbeDue_ && now >= nextEarlyProbe_) {
        isEarlyProbeDue_ = false;
        nextEarlyProbe_ = now + options_.earlyProbePeriod_;
        prober_.probeSoon(now);
    }
    if (table_.self().isDead()) {
        return out;
    }
    for (const ProbeAction &action : prober_.tick(now)) {
        std::visit([&](const auto &each) { perform(each, now, out); }, action);
    }
    resolveSuspicions(now);
    probeUnreachable(now, out);
    applyTableChanges(now);
    return out;
}

Membership::Outgoing Membership::receive(const InstanceId &from, const GossipMessage &message,
                                         TimePoint now)
{
    Outgoing out;
    if (!isValid(message) || message.sender_.id_ != from || table_.self().isDead()) {
        return out;
    }
    recordContact(from, message, now);
    applyUpdate(message.sender_, now);
    for (const MemberUpdate &update : message.updates_) {
        applyUpdate(update, now);
    }
    applyTableChanges(now);
    switch (message.kind()) {
    case GossipKind::Probe:
        out.push_back(makeMessage(from, GossipKind::Ack, message.sequence_, now));
        break;
    case GossipKind::Ack:
        handleAck(from, message, now, out);
        break;
    case GossipKind::ProbeRequest:
        handleProbeRequest(from, message, now, out);
        break;
    }
    return out;
}

void Membership::applyListing(const InstanceListing &listing, TimePoint now)
{
    for (const InstanceId &dropped : table_.applyListing(listing)) {
        // The platform's list confirms the failed probes of this instance, so no confirmation by
        // another member is needed.
        if (suspectedSince_.count(dropped) != 0 || prober_.isFailing(dropped)) {
            table_.declareDead(dropped, now);
            gossipUpdate(dropped);
        }
    }
    applyTableChanges(now);
}

void Membership::handleSendFailure(const InstanceId &peer, TimePoint now)
{
    prober_.skipDirectProbe(peer, now);
}

void Membership::handleLinkLost()
{
    isEarlyProbeDue_ = true;
}

void Membership::startLeaving(TimePoint now)
{
    table_.markSelfLeaving();
    gossipUpdate(table_.self().id_);
    applyTableChanges(now);
}

Membership::Outgoing Membership::stop(TimePoint now)
{
    constexpr std::uint64_t noSequence = 0;
    Outgoing out;
    table_.markSelfStopped();
    const InstanceId &self = table_.self().id_;
    std::vector<InstanceId> neighbours = rings_.subjectsOf(self);
    for (const InstanceId &observer : rings_.observersOf(self)) {
        neighbours.push_back(observer);
    }
    std::sort(neighbours.begin(), neighbours.end());
    neighbours.erase(std::unique(neighbours.begin(), neighbours.end()), neighbours.end());
    for (const InstanceId &neighbour : neighbours) {
        out.push_back(makeMessage(neighbour, GossipKind::Ack, noSequence, now));
    }
    return out;
}

void Membership::setRulesVersion(RulesVersion version)
{
    if (version > rulesVersion_) {
        rulesVersion_ = version;
        isEarlyProbeDue_ = true;
    }
}

std::vector<Member> Membership::liveMembers() const
{
    std::vector<Member> live;
    live.reserve(members_.size());
    std::copy_if(members_.begin(), members_.end(), std::back_inserter(live),
                 [](const Member &member) { return member.state_ == MemberState::Live; });
    return live;
}

std::vector<MemberChange> Membership::takeChanges()
{
    return std::exchange(changes_, {});
}

bool Membership::isCutOff(TimePoint now) const
{
    const bool knowsOthers = members_.size() > 1;
    return knowsOthers && now - lastExchange_ > options_.cutOffTimeout_;
}

nlohmann::json Membership::dumpState(TimePoint now) const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    nlohmann::json members = nlohmann::json::object();
    for (const Member &member : members_) {
        const MemberUpdate *update = table_.find(member.id_);
        members[member.id_.value()] = dumpMember(member, update ? *update : table_.self());
    }
    nlohmann::json subjects = nlohmann::json::array();
    for (const InstanceId &subject : prober_.subjects()) {
        subjects.push_back({ { "instance", subject.value() },
                             { "failing", prober_.isFailing(subject) },
                             { "accused", suspectedSince_.count(subject) != 0 } });
    }
    nlohmann::json dead = nlohmann::json::array();
    for (const InstanceId &id : table_.deadMembers()) {
        dead.push_back(id.value());
    }
    const auto sinceExchange = duration_cast<milliseconds>(now - lastExchange_);
    return { { "self", table_.self().id_.value() },
             { "cut_off", isCutOff(now) },
             { "last_exchange_ms", sinceExchange.count() },
             { "listed_leaving", isListedLeaving() },
             { "rules_version", rulesVersion_ },
             { "highest_rules_version", highestRulesVersion_.version_ },
             { "members", std::move(members) },
             { "dead", std::move(dead) },
             { "monitored", std::move(subjects) },
             { "news_to_tell", gossipQueue_.size() } };
}

void Membership::perform(const DirectProbe &probe, TimePoint now, Outgoing &out)
{
    out.push_back(makeMessage(probe.subject_, GossipKind::Probe, probe.sequence_, now));
}

void Membership::perform(const IndirectProbe &probe, TimePoint now, Outgoing &out)
{
    for (const InstanceId &prober : chooseIndirectProbers(probe.subject_)) {
        out.push_back(makeMessage(prober, GossipKind::ProbeRequest, probe.sequence_, now));
        out.back().message_.subject_ = probe.subject_;
    }
}

void Membership::perform(const FailedRound &round, TimePoint now, Outgoing &out)
{
    // If no member has confirmed contact since the first failed round began, this instance
    // itself may be cut off.
    if (round.failures_ < options_.failuresBeforeSuspicion_
        || lastExchange_ <= round.failingSince_) {
        return;
    }
    suspectedSince_.try_emplace(round.subject_, now);
    if (!table_.addSuspicion(round.subject_, table_.self().id_)) {
        return;
    }
    // The first suspicion of this version by this instance restarts the timeout.
    suspectedSince_[round.subject_] = now;
    gossipUpdate(round.subject_);
    for (const InstanceId &observer : rings_.observersOf(round.subject_)) {
        if (observer != table_.self().id_) {
            const std::uint64_t sequence = prober_.nextSequence();
            out.push_back(makeMessage(observer, GossipKind::Probe, sequence, now));
        }
    }
}

/// Declares suspects dead after the timeout. Only an instance that reported a suspect and still
/// cannot reach it does so.
void Membership::resolveSuspicions(TimePoint now)
{
    for (auto entry = suspectedSince_.begin(); entry != suspectedSince_.end();) {
        const MemberUpdate *suspect = table_.find(entry->first);
        const bool isStillSuspect = suspect != nullptr
                && suspect->verdict() == MemberVerdict::Suspect && prober_.isFailing(entry->first);
        if (!isStillSuspect) {
            entry = suspectedSince_.erase(entry);
            continue;
        }
        const bool isConfirmed = suspect->reporters_.size() >= reportersToConfirm;
        const Duration timeout = isConfirmed ? options_.confirmedSuspicionTimeout_
                                             : options_.unconfirmedSuspicionTimeout_;
        if (now - entry->second >= timeout && !isCutOff(now)) {
            table_.declareDead(entry->first, now);
            gossipUpdate(entry->first);
        }
        ++entry;
    }
}

/// Probes a random dead member, or any member while this instance is cut off. Without this, two
/// parts of a fleet that have declared each other dead would never merge again.
void Membership::probeUnreachable(TimePoint now, Outgoing &out)
{
    if (now < nextReconnect_) {
        return;
    }
    nextReconnect_ = now + options_.reconnectPeriod_;
    std::vector<InstanceId> unreachable = table_.deadMembers();
    if (isCutOff(now)) {
        unreachable = idsOf(members_);
    }
    if (unreachable.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> choice(0, unreachable.size() - 1);
    const InstanceId &chosen = unreachable[choice(random_)];
    if (chosen != table_.self().id_) {
        out.push_back(makeMessage(chosen, GossipKind::Probe, prober_.nextSequence(), now));
    }
}

void Membership::detectPause(TimePoint now)
{
    if (now - lastTick_ > options_.maxTickGap_) {
        prober_.reset(now);
        suspectedSince_.clear();
        relays_.clear();
    }
    lastTick_ = now;
}

void Membership::removeOldEntries(TimePoint now)
{
    if (now < nextCleanup_) {
        return;
    }
    nextCleanup_ = now + cleanupPeriod;
    table_.removeExpired(now, options_.deadRetention_);
    for (auto relay = relays_.begin(); relay != relays_.end();) {
        relay = now >= relay->second.expiresAt_ ? relays_.erase(relay) : std::next(relay);
    }
    for (auto contact = contacts_.begin(); contact != contacts_.end();) {
        const bool isOld = now - contact->second.heardAt_ > options_.deadRetention_;
        contact = isOld ? contacts_.erase(contact) : std::next(contact);
    }
}

void Membership::recordContact(const InstanceId &from, const GossipMessage &message, TimePoint now)
{
    contacts_[from] = Contact{ now,
                               message.viewDigest_,
                               message.memberCount_,
                               message.sender_.incarnation_,
                               message.sender_.version_,
                               message.hasHeardFromReceiver_ };
    if (message.hasHeardFromReceiver_) {
        lastExchange_ = now;
    }
    if (message.rulesVersion_ > highestRulesVersion_.version_) {
        highestRulesVersion_ = AnnouncedRulesVersion{ message.rulesVersion_, from };
    }
}

void Membership::applyUpdate(MemberUpdate update, TimePoint now)
{
    const bool isReportedDead = update.isDead() && !update.hasAnnouncedStop();
    if (isReportedDead && hasRecentlyHeardFrom(update.id_, now)
        && contacts_[update.id_].hasHeardFromSelf_) {
        // Recent heartbeats went both ways, so the member gets the chance to refute this.
        update.setVerdict(MemberVerdict::Suspect);
    }
    const InstanceId id = update.id_;
    if (table_.merge(update, now) == MergeResult::ChangedGossipNow) {
        gossipUpdate(id);
    }
}

void Membership::handleAck(const InstanceId &from, const GossipMessage &message, TimePoint now,
                           Outgoing &out)
{
    const auto relay = relays_.find(message.sequence_);
    if (relay != relays_.end() && relay->second.subject_ == from) {
        const Relay finished = relay->second;
        relays_.erase(relay);
        out.push_back(
                makeMessage(finished.origin_, GossipKind::Ack, finished.originSequence_, now));
        out.back().message_.subject_ = from;
        if (const MemberUpdate *subject = table_.find(from)) {
            // The subject may have refuted a suspicion.
            out.back().message_.updates_.push_back(*subject);
        }
        return;
    }
    const InstanceId &responder = message.subject_.isEmpty() ? from : message.subject_;
    prober_.acknowledge(message.sequence_, responder, now);
}

void Membership::handleProbeRequest(const InstanceId &from, const GossipMessage &message,
                                    TimePoint now, Outgoing &out)
{
    const InstanceId &subject = message.subject_;
    const bool isKnown = table_.find(subject) != nullptr;
    if (!isKnown || relays_.size() >= maxRelays) {
        return;
    }
    const std::uint64_t sequence = prober_.nextSequence();
    relays_[sequence] = Relay{ from, message.sequence_, subject, now + relayTimeout };
    out.push_back(makeMessage(subject, GossipKind::Probe, sequence, now));
}

OutgoingGossip Membership::makeMessage(const InstanceId &to, GossipKind kind,
                                       std::uint64_t sequence, TimePoint now)
{
    GossipMessage message;
    message.setKind(kind);
    message.sequence_ = sequence;
    message.sender_ = table_.self();
    message.hasHeardFromReceiver_ = hasRecentlyHeardFrom(to, now);
    message.rulesVersion_ = rulesVersion_;
    message.viewDigest_ = table_.digest();
    message.memberCount_ = static_cast<std::uint32_t>(members_.size());
    message.updates_ = chooseUpdates(to);
    return OutgoingGossip{ to, std::move(message) };
}

std::vector<MemberUpdate> Membership::chooseUpdates(const InstanceId &to)
{
    std::vector<MemberUpdate> updates;
    // The state of the receiver itself goes first if the receiver may not know it, such as a
    // suspicion or the state of its previous process. Only the receiver can refute it.
    const MemberUpdate *receiver = table_.find(to);
    if (receiver != nullptr
        && (receiver->isSelfReported() || receiver->verdict() != MemberVerdict::Alive)) {
        const auto contact = contacts_.find(to);
        const bool isReceiverUpToDate = contact != contacts_.end()
                && receiver->verdict() == MemberVerdict::Alive
                && contact->second.version_ == receiver->version_
                && contact->second.incarnation_ == receiver->incarnation_;
        if (!isReceiverUpToDate) {
            updates.push_back(*receiver);
        }
    }
    for (const InstanceId &id : gossipQueue_.selectNext(options_.maxUpdatesPerMessage_)) {
        const MemberUpdate *update = table_.find(id);
        if (update != nullptr && id != to) {
            updates.push_back(*update);
        }
    }
    const std::size_t limit = std::max(options_.maxUpdatesPerMessage_, updates.size());
    const std::size_t available = std::min(limit - updates.size(), syncUpdateCount(to));
    for (MemberUpdate &update : table_.nextSyncUpdates(available)) {
        updates.push_back(std::move(update));
    }
    return updates;
}

std::size_t Membership::syncUpdateCount(const InstanceId &to) const
{
    const auto contact = contacts_.find(to);
    if (contact == contacts_.end() || contact->second.viewDigest_ == table_.digest()) {
        return 0;
    }
    const bool knowsFewerMembers = contact->second.memberCount_ < members_.size();
    return knowsFewerMembers ? options_.maxUpdatesPerMessage_ : options_.syncUpdatesPerMessage_;
}

bool Membership::hasRecentlyHeardFrom(const InstanceId &member, TimePoint now) const
{
    const auto contact = contacts_.find(member);
    return contact != contacts_.end()
            && now - contact->second.heardAt_ <= options_.recentContactLimit_;
}

std::vector<InstanceId> Membership::chooseIndirectProbers(const InstanceId &subject)
{
    std::vector<InstanceId> candidates = rings_.observersOf(subject);
    for (const InstanceId &neighbour : prober_.subjects()) {
        candidates.push_back(neighbour);
    }
    std::sort(candidates.begin(), candidates.end());
    candidates.erase(std::unique(candidates.begin(), candidates.end()), candidates.end());
    const auto isExcluded = [&](const InstanceId &id) {
        return id == subject || id == table_.self().id_ || prober_.isFailing(id);
    };
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isExcluded),
                     candidates.end());
    std::shuffle(candidates.begin(), candidates.end(), random_);
    candidates.resize(std::min(candidates.size(), options_.indirectProberCount_));
    return candidates;
}

void Membership::gossipUpdate(const InstanceId &member)
{
    const int rings = static_cast<int>(options_.ringCount_);
    // Each message carries the state of its sender anyway.
    if (member != table_.self().id_) {
        gossipQueue_.add(member, transmissionsPerRing * rings);
    }
    isEarlyProbeDue_ = true;
}

/// Updates members_, the rings and the prober after changes of the table.
void Membership::applyTableChanges(TimePoint now)
{
    std::vector<MemberChange> changes = table_.takeChanges();
    if (changes.empty()) {
        return;
    }
    for (const MemberChange &change : changes) {
        updateMembers(change);
    }
    const auto changesRings = [](const MemberChange &change) {
        return change.kind_ == MemberChangeKind::Joined || change.kind_ == MemberChangeKind::Gone;
    };
    if (std::any_of(changes.begin(), changes.end(), changesRings)) {
        rings_.setMembers(idsOf(members_));
        prober_.setSubjects(rings_.subjectsOf(table_.self().id_), now);
    }
    std::move(changes.begin(), changes.end(), std::back_inserter(changes_));
}

void Membership::updateMembers(const MemberChange &change)
{
    const auto isBefore = [](const Member &member, const InstanceId &id) {
        return member.id_ < id;
    };
    const InstanceId &id = change.member_.id_;
    const auto position = std::lower_bound(members_.begin(), members_.end(), id, isBefore);
    const bool isPresent = position != members_.end() && position->id_ == id;
    if (change.kind_ == MemberChangeKind::Gone) {
        if (isPresent) {
            members_.erase(position);
        }
    } else if (isPresent) {
        *position = change.member_;
    } else {
        members_.insert(position, change.member_);
    }
}

Membership::Builder &Membership::Builder::setSelf(Member self)
{
    self_ = std::move(self);
    return *this;
}

Membership::Builder &Membership::Builder::setOptions(const MembershipOptions &options)
{
    options_ = options;
    return *this;
}

Membership::Builder &Membership::Builder::setRandom(std::mt19937_64 &random)
{
    random_ = &random;
    return *this;
}

Membership::Builder &Membership::Builder::setStart(TimePoint start)
{
    start_ = start;
    return *this;
}

std::unique_ptr<Membership> Membership::Builder::build() const
{
    assert(random_ != nullptr);
    assert(!self_.id_.isEmpty() && !self_.incarnation_.empty());
    return std::unique_ptr<Membership>(new Membership(*this));
}

} // namespace qz
