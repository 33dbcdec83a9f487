// Rank order with kept shares.
#include "qz_admission/policies/sharedrankspolicy.h"

#include <algorithm>
#include <cassert>

namespace qz {

namespace {

/// How far a rank may run ahead of its share, or fall behind it and still be given it later.
constexpr Duration creditWindow = std::chrono::seconds(1);

/// How much of what a rank ran ahead is kept while no two ranks wait: slots that nobody else
/// wanted aren't held against it for long.
constexpr Duration uncontendedDebtWindow = std::chrono::milliseconds(100);

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
    settle(now);
    slots_ = slots;
    ranks_.resize(std::max(ranks.size(), ranks_.size()));
    const double divisor = std::max(1.0, sumOfShares(ranks));
    for (std::size_t i = 0; i < ranks_.size(); ++i) {
        ranks_[i].share_ = i < ranks.size() ? ranks[i].share_ / divisor : 0.0;
    }
}

void SharedRanksPolicy::settle(TimePoint now)
{
    const Duration passed = std::max(Duration{}, now - settledAt_);
    settledAt_ = std::max(now, settledAt_);
    int waitingRanks = 0;
    for (RankQueue &rank : ranks_) {
        if (!rank.tickets_.isEmpty()) {
            ++waitingRanks;
            addCredit(rank, scaled(passed, rank.share_ * slots_));
        }
    }
    if (waitingRanks < 2 && passed > Duration{}) {
        forgiveDebts();
    }
}

void SharedRanksPolicy::addCredit(RankQueue &rank, Duration amount) const
{
    const Duration limit = scaled(creditWindow, rank.share_ * slots_);
    rank.credit_ = std::clamp(rank.credit_ + amount, -limit, limit);
}

void SharedRanksPolicy::forgiveDebts()
{
    for (RankQueue &rank : ranks_) {
        const Duration most = scaled(uncontendedDebtWindow, rank.share_ * slots_);
        rank.credit_ = std::max(rank.credit_, -most);
    }
}

void SharedRanksPolicy::insert(const QueuedRequest &queued, TimePoint now)
{
    settle(now);
    queueOf(queued).tickets_.insert(queued);
}

void SharedRanksPolicy::erase(const QueuedRequest &queued, TimePoint now)
{
    settle(now);
    queueOf(queued).tickets_.erase(queued);
}

bool SharedRanksPolicy::isOwed(const RankQueue &rank) const
{
    return rank.share_ > 0.0 && rank.credit_ >= rank.tickets_.frontExpected();
}

std::optional<std::uint64_t> SharedRanksPolicy::next(TimePoint now)
{
    settle(now);
    const RankQueue *first = nullptr;
    for (const RankQueue &rank : ranks_) {
        if (rank.tickets_.isEmpty()) {
            continue;
        }
        if (isOwed(rank)) {
            return rank.tickets_.frontId();
        }
        if (first == nullptr) {
            first = &rank;
        }
    }
    if (first == nullptr) {
        return std::nullopt;
    }
    return first->tickets_.frontId();
}

void SharedRanksPolicy::start(const QueuedRequest &queued, TimePoint now)
{
    settle(now);
    RankQueue &rank = queueOf(queued);
    rank.tickets_.start(queued);
    addCredit(rank, -queued.expected_);
}

void SharedRanksPolicy::finish(const QueuedRequest &queued, Duration used, TimePoint now)
{
    settle(now);
    RankQueue &rank = queueOf(queued);
    rank.tickets_.finish(queued, used);
    addCredit(rank, queued.expected_ - used);
}

Duration SharedRanksPolicy::wait(const QueuedRequest &queued, const SlotLoad &load) const
{
    const std::size_t rank = queued.request_.rank_;
    return waitFor(rank, ranks_.at(rank).tickets_.workAhead(queued), load);
}

Duration SharedRanksPolicy::waitOfRank(std::size_t rank, const SlotLoad &load) const
{
    const WorkspaceFairQueue &tickets = ranks_.at(rank).tickets_;
    return waitFor(rank, tickets.work(), load);
}

Duration SharedRanksPolicy::waitFor(std::size_t rank, Duration ownAhead, const SlotLoad &load) const
{
    Duration moreUrgent{};
    double keptByOthers = 0.0;
    for (std::size_t i = 0; i < ranks_.size(); ++i) {
        if (i < rank) {
            moreUrgent += ranks_[i].tickets_.work();
        } else if (i > rank && !ranks_[i].tickets_.isEmpty()) {
            keptByOthers += ranks_[i].share_;
        }
    }
    const double share = ranks_[rank].share_;
    const double left = std::max({ 1.0 - keptByOthers, share, 1e-3 });
    const Duration byOrder = load.waitFor(moreUrgent + ownAhead, left);
    if (share <= 0.0) {
        return byOrder;
    }
    return std::min(byOrder, load.waitFor(ownAhead, share));
}

bool SharedRanksPolicy::isOverItsPlaces(const RankQueue &rank, std::size_t maxQueued) const
{
    const double places = rank.share_ * static_cast<double>(maxQueued);
    return static_cast<double>(rank.tickets_.size()) > std::max(1.0, places);
}

std::optional<std::uint64_t> SharedRanksPolicy::victim(const QueuedRequest &queued,
                                                       std::size_t maxQueued) const
{
    const std::size_t own = queued.request_.rank_;
    for (std::size_t i = ranks_.size(); i-- > own + 1;) {
        if (isOverItsPlaces(ranks_[i], maxQueued)) {
            return ranks_[i].tickets_.lastIdOfLongestFlow();
        }
    }
    if (ranks_[own].tickets_.isShorterThanLongestFlow(queued)) {
        return ranks_[own].tickets_.lastIdOfLongestFlow();
    }
    if (const auto lesser = findLowerWorth(queued)) {
        return lesser;
    }
    const double ownPlaces = ranks_[own].share_ * static_cast<double>(maxQueued);
    if (static_cast<double>(ranks_[own].tickets_.size() + 1) > ownPlaces) {
        return std::nullopt;
    }
    for (std::size_t i = own; i-- > 0;) {
        if (isOverItsPlaces(ranks_[i], maxQueued)) {
            return ranks_[i].tickets_.lastIdOfLongestFlow();
        }
    }
    return std::nullopt;
}

std::optional<std::uint64_t> SharedRanksPolicy::findLowerWorth(const QueuedRequest &queued) const
{
    return ranks_.at(queued.request_.rank_).tickets_.findLowerWorth(queued);
}

nlohmann::json SharedRanksPolicy::dump() const
{
    nlohmann::json ranks = nlohmann::json::array();
    for (const RankQueue &rank : ranks_) {
        const std::chrono::duration<double, std::milli> credit = rank.credit_;
        ranks.push_back({ { "share", rank.share_ },
                          { "credit_ms", credit.count() },
                          { "queued", rank.tickets_.size() },
                          { "workspaces", rank.tickets_.workspaceCount() } });
    }
    return { { "policy", name() }, { "ranks", ranks } };
}

} // namespace qz
