// Merging and counting the statements of voters.
#include "qz_rules/spread/voterledger.h"

#include <algorithm>

namespace qz {

namespace {

constexpr char incarnationMark = '/';

} // namespace

VoterId makeVoterId(const InstanceId &instance, const std::string &incarnation)
{
    return VoterId(instance.value() + incarnationMark + incarnation);
}

InstanceId instanceOf(const VoterId &voter)
{
    return InstanceId(voter.value().substr(0, voter.value().rfind(incarnationMark)));
}

void VoterLedger::setRoster(std::vector<VoterId> roster)
{
    const auto prune = [&roster](auto &entries) {
        for (auto entry = entries.begin(); entry != entries.end();) {
            const bool isKept =
                    std::find(roster.begin(), roster.end(), entry->first) != roster.end();
            entry = isKept ? std::next(entry) : entries.erase(entry);
        }
    };
    prune(statements_);
    prune(missingSince_);
    replaced_.clear();
    roster_ = std::move(roster);
}

void VoterLedger::take(const VoterId &voter, const RulesDigest &digest, TimePoint asOf)
{
    if (std::find(roster_.begin(), roster_.end(), voter) == roster_.end()) {
        return;
    }
    Statement &statement = statements_.emplace(voter, Statement{ digest, asOf }).first->second;
    statement.digest_.known_ = std::max(statement.digest_.known_, digest.known_);
    statement.digest_.adopted_ = std::max(statement.digest_.adopted_, digest.adopted_);
    statement.asOf_ = std::max(statement.asOf_, asOf);
}

void VoterLedger::setListed(const std::set<InstanceId> &listed, const std::vector<VoterId> &members,
                            TimePoint now)
{
    listedAt_ = now;
    for (const VoterId &voter : roster_) {
        const InstanceId instance = instanceOf(voter);
        if (listed.count(instance) > 0) {
            missingSince_.erase(voter);
        } else {
            missingSince_.emplace(voter, now);
        }
        const bool hasOtherLife =
                std::any_of(members.begin(), members.end(), [&](const VoterId &member) {
                    return member != voter && instanceOf(member) == instance;
                });
        if (hasOtherLife) {
            replaced_.insert(voter);
        }
    }
}

std::optional<TimePoint> VoterLedger::confirmedAt(const std::vector<VoterId> &voters,
                                                  const RulesStamp &head) const
{
    std::vector<TimePoint> times;
    for (const VoterId &voter : voters) {
        const auto statement = statements_.find(voter);
        if (statement != statements_.end() && statement->second.digest_.known_ <= head) {
            times.push_back(statement->second.asOf_);
        }
    }
    const std::size_t majority = majorityOf(voters.size());
    if (voters.empty() || times.size() < majority) {
        return std::nullopt;
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[majority - 1];
}

bool VoterLedger::isHeld(const std::vector<VoterId> &voters, const RulesStamp &head) const
{
    if (voters.empty()) {
        return true;
    }
    const auto holders = std::count_if(voters.begin(), voters.end(), [&](const VoterId &voter) {
        const auto statement = statements_.find(voter);
        const bool holds =
                statement != statements_.end() && head <= statement->second.digest_.adopted_;
        return holds || isGone(voter);
    });
    return static_cast<std::size_t>(holders) >= majorityOf(voters.size());
}

bool VoterLedger::isReached(const std::vector<VoterId> &voters, TimePoint since) const
{
    const auto reached = std::count_if(voters.begin(), voters.end(), [&](const VoterId &voter) {
        const auto statement = statements_.find(voter);
        return (statement != statements_.end() && since <= statement->second.asOf_)
                || isGone(voter);
    });
    return static_cast<std::size_t>(reached) >= majorityOf(voters.size());
}

std::vector<RulesVoucher> VoterLedger::vouchers(TimePoint now) const
{
    std::vector<RulesVoucher> vouchers;
    for (std::size_t i = 0; i < roster_.size(); ++i) {
        const auto statement = statements_.find(roster_[i]);
        if (statement != statements_.end()) {
            vouchers.push_back(RulesVoucher{ static_cast<std::uint16_t>(i),
                                             statement->second.digest_,
                                             now - statement->second.asOf_ });
        }
    }
    return vouchers;
}

bool VoterLedger::isGone(const VoterId &voter) const
{
    if (replaced_.count(voter) > 0) {
        return true;
    }
    const auto missing = missingSince_.find(voter);
    return missing != missingSince_.end() && *listedAt_ - missing->second >= goneAfter_;
}

} // namespace qz
