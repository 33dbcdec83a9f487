// Priority between ranks with a guaranteed minimum share of slot time for each.
#include "qz_admission/policies/sharedrankspolicy.h"

#include <algorithm>
#include <cassert>

namespace qz {

namespace {

/// Limits credit and debt of a rank to what its share earns in this time. A rank that falls
/// further behind its share does not get the excess back.
constexpr Duration maxCreditTime = std::chrono::seconds(1);

/// Limits the debt of a rank to what its share earns in this time while fewer than two ranks have
/// queued work: the use of slots that no other rank needed must not delay it for long afterwards.
constexpr Duration maxUncontendedDebtTime = std::chrono::milliseconds(100);

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

double sumOfShares(const std::vector<RankShare> &ranks)
{
    double sum = 0.0;
    for (const RankShare &rank : ranks) {
        sum += rank.share_;
    }
    return sum;
}

} // namespace

void SharedRanksPolicy::configure(int slots, const std::vector<RankShare> &ranks, TimePoint now)
{
    updateCredits(now);
    slots_ = slots;
    ranks_.resize(std::max(ranks.size(), ranks_.size()));
    const double divisor = std::max(1.0, sumOfShares(ranks));
    for (std::size_t i = 0; i < ranks_.size(); ++i) {
        ranks_[i].share_ = i < ranks.size() ? ranks[i].share_ / divisor : 0.0;
    }
}

void SharedRanksPolicy::updateCredits(TimePoint now)
{
    const Duration elapsed = std::max(Duration{}, now - creditsUpdatedAt_);
    creditsUpdatedAt_ = std::max(now, creditsUpdatedAt_);
    int backloggedRanks = 0;
    for (RankQueue &rank : ranks_) {
        if (!rank.requests_.isEmpty()) {
            ++backloggedRanks;
            addCredit(rank, scaled(elapsed, rank.share_ * slots_));
        }
    }
    if (backloggedRanks < 2 && elapsed > Duration{}) {
        limitUncontendedDebts();
    }
}

void SharedRanksPolicy::addCredit(RankQueue &rank, Duration amount) const
{
    const Duration limit = scaled(maxCreditTime, rank.share_ * slots_);
    rank.credit_ = std::clamp(rank.credit_ + amount, -limit, limit);
}

void SharedRanksPolicy::limitUncontendedDebts()
{
    for (RankQueue &rank : ranks_) {
        const Duration limit = scaled(maxUncontendedDebtTime, rank.share_ * slots_);
        rank.credit_ = std::max(rank.credit_, -limit);
    }
}

void SharedRanksPolicy::insert(const QueuedRequest &queued, TimePoint now)
{
    updateCredits(now);
    rankQueueOf(queued).requests_.insert(queued);
}

void SharedRanksPolicy::erase(const QueuedRequest &queued, TimePoint now)
{
    updateCredits(now);
    rankQueueOf(queued).requests_.erase(queued);
}

bool SharedRanksPolicy::hasCreditForNext(const RankQueue &rank) const
{
    return rank.share_ > 0.0 && rank.credit_ >= rank.requests_.frontExpected();
}

std::optional<std::uint64_t> SharedRanksPolicy::next(TimePoint now)
{
    updateCredits(now);
    const RankQueue *first = nullptr;
    for (const RankQueue &rank : ranks_) {
        if (rank.requests_.isEmpty()) {
            continue;
        }
        if (hasCreditForNext(rank)) {
            return rank.requests_.frontId();
        }
        if (first == nullptr) {
            first = &rank;
        }
    }
    if (first == nullptr) {
        return std::nullopt;
    }
    return first->requests_.frontId();
}

void SharedRanksPolicy::start(const QueuedRequest &queued, TimePoint now)
{
    updateCredits(now);
    RankQueue &rank = rankQueueOf(queued);
    rank.requests_.start(queued);
    addCredit(rank, -queued.expected_);
}

void SharedRanksPolicy::finish(const QueuedRequest &queued, Duration used, TimePoint now)
{
    updateCredits(now);
    RankQueue &rank = rankQueueOf(queued);
    rank.requests_.finish(queued, used);
    addCredit(rank, queued.expected_ - used);
}

Duration SharedRanksPolicy::wait(const QueuedRequest &queued, const SlotLoad &load) const
{
    const std::size_t rank = queued.request_.rank_;
    return waitFor(rank, ranks_.at(rank).requests_.workAhead(queued), load);
}

Duration SharedRanksPolicy::waitOfRank(std::size_t rank, const SlotLoad &load) const
{
    const WorkspaceFairQueue &requests = ranks_.at(rank).requests_;
    return waitFor(rank, requests.work(), load);
}

Duration SharedRanksPolicy::waitFor(std::size_t rank, Duration ownWorkAhead,
                                    const SlotLoad &load) const
{
    Duration moreUrgentWork{};
    double reservedShare = 0.0;
    for (std::size_t i = 0; i < ranks_.size(); ++i) {
        if (i < rank) {
            moreUrgentWork += ranks_[i].requests_.work();
        } else if (i > rank && !ranks_[i].requests_.isEmpty()) {
            reservedShare += ranks_[i].share_;
        }
    }
    const double share = ranks_[rank].share_;
    const double availableShare = std::max({ 1.0 - reservedShare, share, 1e-3 });
    const Duration waitByPriority = load.waitFor(moreUrgentWork + ownWorkAhead, availableShare);
    if (share <= 0.0) {
        return waitByPriority;
    }
    return std::min(waitByPriority, load.waitFor(ownWorkAhead, share));
}

bool SharedRanksPolicy::exceedsQueueShare(const RankQueue &rank, std::size_t maxQueued) const
{
    const double queueShare = rank.share_ * static_cast<double>(maxQueued);
    return static_cast<double>(rank.requests_.size()) > std::max(1.0, queueShare);
}

std::optional<std::uint64_t> SharedRanksPolicy::victim(const QueuedRequest &queued,
                                                       std::size_t maxQueued) const
{
    const std::size_t own = queued.request_.rank_;
    for (std::size_t i = ranks_.size(); i-- > own + 1;) {
        if (exceedsQueueShare(ranks_[i], maxQueued)) {
            return ranks_[i].requests_.lastIdOfLongestFlow();
        }
    }
    if (ranks_[own].requests_.isShorterThanLongestFlow(queued)) {
        return ranks_[own].requests_.lastIdOfLongestFlow();
    }
    if (const auto lowerWorth = findLowerWorth(queued)) {
        return lowerWorth;
    }
    const double ownQueueShare = ranks_[own].share_ * static_cast<double>(maxQueued);
    if (static_cast<double>(ranks_[own].requests_.size() + 1) > ownQueueShare) {
        return std::nullopt;
    }
    for (std::size_t i = own; i-- > 0;) {
        if (exceedsQueueShare(ranks_[i], maxQueued)) {
            return ranks_[i].requests_.lastIdOfLongestFlow();
        }
    }
    return std::nullopt;
}

std::optional<std::uint64_t> SharedRanksPolicy::findLowerWorth(const QueuedRequest &queued) const
{
    return ranks_.at(queued.request_.rank_).requests_.findLowerWorth(queued);
}

nlohmann::json SharedRanksPolicy::dump() const
{
    nlohmann::json ranks = nlohmann::json::array();
    for (const RankQueue &rank : ranks_) {
        const std::chrono::duration<double, std::milli> credit = rank.credit_;
        ranks.push_back({ { "share", rank.share_ },
                          { "credit_ms", credit.count() },
                          { "queued", rank.requests_.size() },
                          { "workspaces", rank.requests_.workspaceCount() } });
    }
    return { { "policy", name() }, { "ranks", ranks } };
}

} // namespace qz
