// Hearing of heads, adopting and confirming them.
#include "qz_rules/spread/ruleskeeper.h"

#include "qz_core/hashing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace qz {

namespace {

constexpr std::string_view pollerKey = "rules/pollers";
constexpr std::string_view voterKey = "rules/voters";

std::vector<std::string> toNames(const std::vector<VoterId> &members)
{
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const VoterId &member : members) {
        names.push_back(member.value());
    }
    return names;
}

bool isPast(const std::optional<TimePoint> &last, Duration pause, TimePoint now)
{
    return !last || now - *last >= pause;
}

void raise(std::optional<TimePoint> &time, TimePoint candidate)
{
    time = std::max(time.value_or(candidate), candidate);
}

} // namespace

RulesKeeper::RulesKeeper(VoterId self, RulesSpreadSettings settings, TimePoint now)
    : self_(std::move(self))
    , settings_(settings)
    , startedAt_(now)
    , ledger_(settings.goneAfter_)
{
}

void RulesKeeper::tick(TimePoint now)
{
    ledger_.take(self_, digest(), now);
    confirm();
    if (pollerRank_ != 0 || !known_.isSet() || areVotersSuited()) {
        unsuitedSince_.reset();
    } else if (!unsuitedSince_) {
        unsuitedSince_ = now;
    }
}

void RulesKeeper::setMembers(std::vector<VoterId> members)
{
    members.erase(std::remove(members.begin(), members.end(), self_), members.end());
    members_ = std::move(members);
    const std::uint64_t own = rendezvousWeight(pollerKey, self_.value());
    pollerRank_ = static_cast<std::size_t>(
            std::count_if(members_.begin(), members_.end(), [own](const VoterId &member) {
                return rendezvousWeight(pollerKey, member.value()) > own;
            }));
}

void RulesKeeper::setListed(const std::set<InstanceId> &listed, TimePoint now)
{
    std::vector<VoterId> members = members_;
    members.push_back(self_);
    ledger_.setListed(listed, members, now);
}

void RulesKeeper::takeDigest(const RulesDigest &digest)
{
    highestHeard_ = std::max(highestHeard_, digest.known_);
}

void RulesKeeper::takeAnswer(const VoterId &from, const RulesAnswer &answer, TimePoint sentAt)
{
    raise(heardAt_, sentAt);
    takeDigest(answer.digest_);
    if (answer.head_) {
        learn(*answer.head_);
    }
    ledger_.take(from, answer.digest_, sentAt);
    if (answer.digest_.known_ != known_.stamp_) {
        return; // What it says of others is about another head.
    }
    if (answer.tableAge_) {
        raise(tableAsOf_, sentAt - *answer.tableAge_);
    }
    const std::vector<VoterId> roster = ledger_.roster();
    for (const RulesVoucher &voucher : answer.vouchers_) {
        if (voucher.voter_ < roster.size()) {
            ledger_.take(roster[voucher.voter_], voucher.digest_, sentAt - voucher.age_);
        }
    }
    confirm();
}

void RulesKeeper::takeTableHead(const RulesHead &head, TimePoint sentAt)
{
    learn(head);
    if (head.stamp_ == known_.stamp_) {
        raise(tableAsOf_, sentAt);
        confirm();
    }
}

bool RulesKeeper::adopt(RulesRevision revision)
{
    learn(revision.head_);
    const RulesVersion version = revision.head_.stamp_.version_;
    if (adopted_ != nullptr && version <= adopted_->head_.stamp_.version_) {
        return false;
    }
    adopted_ = std::make_shared<const RulesRevision>(std::move(revision));
    confirm(); // What confirmed the version before confirms a higher one too.
    return true;
}

RulesDigest RulesKeeper::digest() const
{
    return RulesDigest{ known_.stamp_, adoptedStamp() };
}

RulesAnswer RulesKeeper::answer(const RulesRequest &request, TimePoint now) const
{
    RulesAnswer answer;
    answer.requestId_ = request.id_;
    answer.digest_ = digest();
    if (request.known_ < known_.stamp_) {
        answer.head_ = known_;
    }
    answer.tableAge_ = tableAge(now);
    answer.vouchers_ = ledger_.vouchers(now);
    return answer;
}

bool RulesKeeper::isInForce(TimePoint now) const
{
    return adopted_ != nullptr && confirmedAt_ && now - *confirmedAt_ < settings_.inForceLimit_;
}

bool RulesKeeper::isBehind() const
{
    return known_.isSet()
            && (adopted_ == nullptr || adopted_->head_.stamp_.version_ < known_.stamp_.version_);
}

bool RulesKeeper::isPollDue(TimePoint now) const
{
    if (!isPast(polledAt_, settings_.pollInterval_, now)) {
        return false;
    }
    const bool isSilent = isPast(heardAt_, settings_.silentAfter_, now)
            && now - startedAt_ >= settings_.silentAfter_;
    return members_.empty() || isSilent || isPoller(now)
            || (!isInForce(now) && now - startedAt_ >= settings_.silentAfter_);
}

std::optional<VoterId> RulesKeeper::choosePeer(std::mt19937_64 &random) const
{
    if (members_.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any(0, members_.size() - 1);
    return members_[any(random)];
}

bool RulesKeeper::isEstablished() const
{
    return ledger_.isHeld(known_.voters_, known_.stamp_)
            && ledger_.isHeld(known_.previousVoters_, known_.stamp_);
}

bool RulesKeeper::canPublish(TimePoint now) const
{
    if (!known_.isSet()) {
        return true;
    }
    return !isBehind() && isEstablished()
            && ledger_.isReached(known_.voters_, now - settings_.inForceLimit_);
}

std::vector<VoterId> RulesKeeper::votersToPublish() const
{
    return known_.isSet() ? known_.voters_ : chooseVoters();
}

std::vector<VoterId> RulesKeeper::chooseVoters() const
{
    std::vector<std::string> names = toNames(members_);
    names.push_back(self_.value());
    names = rendezvousOrder(voterKey, std::move(names));
    names.resize(std::min(names.size(), settings_.voterLimit_));
    std::vector<VoterId> voters;
    voters.reserve(names.size());
    for (std::string &name : names) {
        voters.emplace_back(std::move(name));
    }
    return voters;
}

bool RulesKeeper::isRenewalDue(TimePoint now) const
{
    const auto age = tableAge(now);
    const bool isFresh = age && *age < settings_.inForceLimit_;
    return unsuitedSince_ && now - *unsuitedSince_ >= settings_.renewAfter_ && isFresh
            && canPublish(now);
}

std::optional<Duration> RulesKeeper::confirmationAge(TimePoint now) const
{
    return confirmedAt_ ? std::optional<Duration>(now - *confirmedAt_) : std::nullopt;
}

std::optional<Duration> RulesKeeper::tableAge(TimePoint now) const
{
    return tableAsOf_ ? std::optional<Duration>(now - *tableAsOf_) : std::nullopt;
}

bool RulesKeeper::isPoller(TimePoint now) const
{
    return pollerRank_ < pollersAllowed(now);
}

void RulesKeeper::learn(const RulesHead &head)
{
    highestHeard_ = std::max(highestHeard_, head.stamp_);
    if (!(known_.stamp_ < head.stamp_)) {
        return;
    }
    known_ = head;
    tableAsOf_.reset();
    ledger_.setRoster(rosterOf(known_));
}

void RulesKeeper::confirm()
{
    if (adopted_ == nullptr || isBehind()) {
        return;
    }
    if (tableAsOf_) {
        raise(confirmedAt_, *tableAsOf_);
    }
    if (const auto byVoters = ledger_.confirmedAt(known_.voters_, known_.stamp_)) {
        raise(confirmedAt_, *byVoters);
    }
}

RulesStamp RulesKeeper::adoptedStamp() const
{
    if (adopted_ == nullptr) {
        return RulesStamp{};
    }
    return isBehind() ? adopted_->head_.stamp_ : known_.stamp_;
}

bool RulesKeeper::areVotersSuited() const
{
    std::vector<VoterId> wanted = chooseVoters();
    std::vector<VoterId> present = known_.voters_;
    std::sort(wanted.begin(), wanted.end());
    std::sort(present.begin(), present.end());
    return wanted == present;
}

std::size_t RulesKeeper::pollersAllowed(TimePoint now) const
{
    const Duration silence = now - tableAsOf_.value_or(startedAt_);
    std::size_t allowed = settings_.pollerCount_;
    for (Duration limit = settings_.escalateAfter_;
         silence >= limit && allowed < settings_.pollerLimit_; limit += settings_.escalateAfter_) {
        allowed *= 2;
    }
    return std::min(allowed, settings_.pollerLimit_);
}

} // namespace qz
