// Decisions of membership.
#include "qz_fleet/membership/membership.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace qz {

namespace {

constexpr std::size_t maxRelays = 1024;
constexpr Duration relayLimit = std::chrono::seconds(1);
constexpr std::size_t accusersToConfirm = 2;
/// Each neighbour, before and after on each ring, is told of news twice.
constexpr int transmissionsPerRing = 4;
constexpr Duration cleaningPeriod = std::chrono::seconds(10);

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
    , nextPrompt_(builder.start_)
    , nextCleaning_(builder.start_)
{
    refresh(builder.start_);
}

Membership::Outgoing Membership::tick(TimePoint now)
{
    Outgoing out;
    noticePause(now);
    forgetOld(now);
    if (isPromptDue_ && now >= nextPrompt_) {
        isPromptDue_ = false;
        nextPrompt_ = now + options_.earlyProbePeriod_;
        prober_.probeSoon(now);
    }
    if (table_.self().isDead()) {
        return out;
    }
    for (const ProbeAction &action : prober_.tick(now)) {
        std::visit([&](const auto &each) { act(each, now, out); }, action);
    }
    concludeSuspicions(now);
    probeLost(now, out);
    refresh(now);
    return out;
}

Membership::Outgoing Membership::receive(const InstanceId &from, const GossipMessage &message,
                                         TimePoint now)
{
    Outgoing out;
    if (!isValid(message) || message.sender_.id_ != from || table_.self().isDead()) {
        return out;
    }
    takeContact(from, message, now);
    takeUpdate(message.sender_, now);
    for (const MemberUpdate &update : message.updates_) {
        takeUpdate(update, now);
    }
    refresh(now);
    switch (message.kind()) {
    case GossipKind::Probe:
        out.push_back(makeMessage(from, GossipKind::Ack, message.sequence_, now));
        break;
    case GossipKind::Ack:
        takeAck(from, message, now, out);
        break;
    case GossipKind::ProbeRequest:
        takeProbeRequest(from, message, now, out);
        break;
    }
    return out;
}

void Membership::applyListing(const InstanceListing &listing, TimePoint now)
{
    for (const InstanceId &dropped : table_.applyListing(listing)) {
        // The list and our own probes agree: no need to hear a third word.
        if (accusedSince_.count(dropped) != 0 || prober_.isFailing(dropped)) {
            table_.declareDead(dropped, now);
            spread(dropped);
        }
    }
    refresh(now);
}

void Membership::handleSendFailure(const InstanceId &peer, TimePoint now)
{
    prober_.skipDirectProbe(peer, now);
}

void Membership::handleLinkLost()
{
    isPromptDue_ = true;
}

void Membership::startLeaving(TimePoint now)
{
    table_.leave();
    spread(table_.self().id_);
    refresh(now);
}

Membership::Outgoing Membership::stop(TimePoint now)
{
    constexpr std::uint64_t noSequence = 0;
    Outgoing out;
    table_.end();
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
        isPromptDue_ = true;
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
                             { "accused", accusedSince_.count(subject) != 0 } });
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
             { "highest_rules_version", highestRules_.version_ },
             { "members", std::move(members) },
             { "dead", std::move(dead) },
             { "monitored", std::move(subjects) },
             { "news_to_tell", queue_.size() } };
}

void Membership::act(const DirectProbe &probe, TimePoint now, Outgoing &out)
{
    out.push_back(makeMessage(probe.subject_, GossipKind::Probe, probe.sequence_, now));
}

void Membership::act(const IndirectProbe &probe, TimePoint now, Outgoing &out)
{
    for (const InstanceId &helper : helpersFor(probe.subject_)) {
        out.push_back(makeMessage(helper, GossipKind::ProbeRequest, probe.sequence_, now));
        out.back().message_.subject_ = probe.subject_;
    }
}

void Membership::act(const FailedRound &round, TimePoint now, Outgoing &out)
{
    // Without an exchange with anybody since, it may be this instance that is cut off.
    if (round.failures_ < options_.failuresBeforeSuspicion_
        || lastExchange_ <= round.failingSince_) {
        return;
    }
    accusedSince_.try_emplace(round.subject_, now);
    if (!table_.addSuspicion(round.subject_, table_.self().id_)) {
        return;
    }
    accusedSince_[round.subject_] = now; // The first suspicion of this version.
    spread(round.subject_);
    for (const InstanceId &observer : rings_.observersOf(round.subject_)) {
        if (observer != table_.self().id_) {
            const std::uint64_t sequence = prober_.nextSequence();
            out.push_back(makeMessage(observer, GossipKind::Probe, sequence, now));
        }
    }
}

/// Only an accuser that still cannot reach the suspect declares it dead.
void Membership::concludeSuspicions(TimePoint now)
{
    for (auto entry = accusedSince_.begin(); entry != accusedSince_.end();) {
        const MemberUpdate *suspect = table_.find(entry->first);
        const bool isOpen = suspect != nullptr && suspect->verdict() == MemberVerdict::Suspect
                && prober_.isFailing(entry->first);
        if (!isOpen) {
            entry = accusedSince_.erase(entry);
            continue;
        }
        const bool isConfirmed = suspect->reporters_.size() >= accusersToConfirm;
        const Duration limit = isConfirmed ? options_.confirmedSuspicionTimeout_
                                           : options_.unconfirmedSuspicionTimeout_;
        if (now - entry->second >= limit && !isCutOff(now)) {
            table_.declareDead(entry->first, now);
            spread(entry->first);
        }
        ++entry;
    }
}

/// Two parts of a fleet that have declared each other dead find each other again.
void Membership::probeLost(TimePoint now, Outgoing &out)
{
    if (now < nextReconnect_) {
        return;
    }
    nextReconnect_ = now + options_.reconnectPeriod_;
    std::vector<InstanceId> lost = table_.deadMembers();
    if (isCutOff(now)) {
        lost = idsOf(members_);
    }
    if (lost.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> choice(0, lost.size() - 1);
    const InstanceId &chosen = lost[choice(random_)];
    if (chosen != table_.self().id_) {
        out.push_back(makeMessage(chosen, GossipKind::Probe, prober_.nextSequence(), now));
    }
}

void Membership::noticePause(TimePoint now)
{
    if (now - lastTick_ > options_.maxTickGap_) {
        prober_.reset(now);
        accusedSince_.clear();
        relays_.clear();
    }
    lastTick_ = now;
}

void Membership::forgetOld(TimePoint now)
{
    if (now < nextCleaning_) {
        return;
    }
    nextCleaning_ = now + cleaningPeriod;
    table_.removeExpired(now, options_.deadRetention_);
    for (auto relay = relays_.begin(); relay != relays_.end();) {
        relay = now >= relay->second.expiresAt_ ? relays_.erase(relay) : std::next(relay);
    }
    for (auto contact = contacts_.begin(); contact != contacts_.end();) {
        const bool isOld = now - contact->second.heardAt_ > options_.deadRetention_;
        contact = isOld ? contacts_.erase(contact) : std::next(contact);
    }
}

void Membership::takeContact(const InstanceId &from, const GossipMessage &message, TimePoint now)
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
    if (message.rulesVersion_ > highestRules_.version_) {
        highestRules_ = AnnouncedRulesVersion{ message.rulesVersion_, from };
    }
}

void Membership::takeUpdate(MemberUpdate update, TimePoint now)
{
    const bool isOthersVerdict = update.isDead() && !update.hasAnnouncedStop();
    if (isOthersVerdict && hasHeard(update.id_, now) && contacts_[update.id_].hasHeardUs_) {
        update.setVerdict(MemberVerdict::Suspect); // Reached a moment ago: let it refute.
    }
    const InstanceId id = update.id_;
    if (table_.merge(update, now) == MergeResult::ChangedGossipNow) {
        spread(id);
    }
}

void Membership::takeAck(const InstanceId &from, const GossipMessage &message, TimePoint now,
                         Outgoing &out)
{
    const auto relay = relays_.find(message.sequence_);
    if (relay != relays_.end() && relay->second.subject_ == from) {
        const Relay done = relay->second;
        relays_.erase(relay);
        out.push_back(makeMessage(done.origin_, GossipKind::Ack, done.originSequence_, now));
        out.back().message_.subject_ = from;
        if (const MemberUpdate *subject = table_.find(from)) {
            out.back().message_.updates_.push_back(*subject); // It may have refuted something.
        }
        return;
    }
    const InstanceId &answerer = message.subject_.isEmpty() ? from : message.subject_;
    prober_.acknowledge(message.sequence_, answerer, now);
}

void Membership::takeProbeRequest(const InstanceId &from, const GossipMessage &message,
                                  TimePoint now, Outgoing &out)
{
    const InstanceId &subject = message.subject_;
    const bool isKnown = table_.find(subject) != nullptr;
    if (!isKnown || relays_.size() >= maxRelays) {
        return;
    }
    const std::uint64_t sequence = prober_.nextSequence();
    relays_[sequence] = Relay{ from, message.sequence_, subject, now + relayLimit };
    out.push_back(makeMessage(subject, GossipKind::Probe, sequence, now));
}

OutgoingGossip Membership::makeMessage(const InstanceId &to, GossipKind kind,
                                       std::uint64_t sequence, TimePoint now)
{
    GossipMessage message;
    message.setKind(kind);
    message.sequence_ = sequence;
    message.sender_ = table_.self();
    message.hasHeardFromReceiver_ = hasHeard(to, now);
    message.rulesVersion_ = rulesVersion_;
    message.viewDigest_ = table_.digest();
    message.memberCount_ = static_cast<std::uint32_t>(members_.size());
    message.updates_ = chooseUpdates(to);
    return OutgoingGossip{ to, std::move(message) };
}

std::vector<MemberUpdate> Membership::chooseUpdates(const InstanceId &to)
{
    std::vector<MemberUpdate> updates;
    // What is held against the receiver, or a former process of its, goes first: only the
    // receiver can set that right.
    const MemberUpdate *receiver = table_.find(to);
    if (receiver != nullptr
        && (receiver->isSelfReported() || receiver->verdict() != MemberVerdict::Alive)) {
        const auto contact = contacts_.find(to);
        const bool isSure = contact != contacts_.end()
                && receiver->verdict() == MemberVerdict::Alive
                && contact->second.version_ == receiver->version_
                && contact->second.incarnation_ == receiver->incarnation_;
        if (!isSure) {
            updates.push_back(*receiver);
        }
    }
    for (const InstanceId &id : queue_.selectNext(options_.maxUpdatesPerMessage_)) {
        const MemberUpdate *update = table_.find(id);
        if (update != nullptr && id != to) {
            updates.push_back(*update);
        }
    }
    const std::size_t limit = std::max(options_.maxUpdatesPerMessage_, updates.size());
    const std::size_t room = std::min(limit - updates.size(), syncCount(to));
    for (MemberUpdate &update : table_.nextSyncUpdates(room)) {
        updates.push_back(std::move(update));
    }
    return updates;
}

std::size_t Membership::syncCount(const InstanceId &to) const
{
    const auto contact = contacts_.find(to);
    if (contact == contacts_.end() || contact->second.viewDigest_ == table_.digest()) {
        return 0;
    }
    const bool isSmall = contact->second.memberCount_ < members_.size();
    return isSmall ? options_.maxUpdatesPerMessage_ : options_.syncUpdatesPerMessage_;
}

bool Membership::hasHeard(const InstanceId &member, TimePoint now) const
{
    const auto contact = contacts_.find(member);
    return contact != contacts_.end()
            && now - contact->second.heardAt_ <= options_.recentContactLimit_;
}

std::vector<InstanceId> Membership::helpersFor(const InstanceId &subject)
{
    std::vector<InstanceId> candidates = rings_.observersOf(subject);
    for (const InstanceId &neighbour : prober_.subjects()) {
        candidates.push_back(neighbour);
    }
    std::sort(candidates.begin(), candidates.end());
    candidates.erase(std::unique(candidates.begin(), candidates.end()), candidates.end());
    const auto isUnfit = [&](const InstanceId &id) {
        return id == subject || id == table_.self().id_ || prober_.isFailing(id);
    };
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isUnfit),
                     candidates.end());
    std::shuffle(candidates.begin(), candidates.end(), random_);
    candidates.resize(std::min(candidates.size(), options_.indirectProberCount_));
    return candidates;
}

void Membership::spread(const InstanceId &member)
{
    const int rings = static_cast<int>(options_.ringCount_);
    if (member != table_.self().id_) { // Its own state is in each message anyway.
        queue_.add(member, transmissionsPerRing * rings);
    }
    isPromptDue_ = true;
}

/// Follows the table after it has changed.
void Membership::refresh(TimePoint now)
{
    std::vector<MemberChange> changes = table_.takeChanges();
    if (changes.empty()) {
        return;
    }
    for (const MemberChange &change : changes) {
        updateMembers(change);
    }
    const auto movesRings = [](const MemberChange &change) {
        return change.kind_ == MemberChangeKind::Joined || change.kind_ == MemberChangeKind::Gone;
    };
    if (std::any_of(changes.begin(), changes.end(), movesRings)) {
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
    const auto place = std::lower_bound(members_.begin(), members_.end(), id, isBefore);
    const bool isHeld = place != members_.end() && place->id_ == id;
    if (change.kind_ == MemberChangeKind::Gone) {
        if (isHeld) {
            members_.erase(place);
        }
    } else if (isHeld) {
        *place = change.member_;
    } else {
        members_.insert(place, change.member_);
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
