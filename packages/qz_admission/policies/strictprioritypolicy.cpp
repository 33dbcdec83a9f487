// Serves ranks in strict order of priority.
#include "qz_admission/policies/strictprioritypolicy.h"

namespace qz {

void StrictPriorityPolicy::configure(int /*slots*/, const std::vector<RankShare> & /*ranks*/,
                                     TimePoint /*now*/)
{
}

void StrictPriorityPolicy::insert(const QueuedRequest &queued, TimePoint /*now*/)
{
    RankQueue &rank = ranks_[queued.request_.rank_];
    rank.idsBySequence_.emplace(queued.sequence_, queued.request_.id_);
    rank.work_ += queued.expected_;
}

void StrictPriorityPolicy::erase(const QueuedRequest &queued, TimePoint /*now*/)
{
    const auto rank = ranks_.find(queued.request_.rank_);
    rank->second.idsBySequence_.erase(queued.sequence_);
    rank->second.work_ -= queued.expected_;
    if (rank->second.idsBySequence_.empty()) {
        ranks_.erase(rank);
    }
}

std::optional<std::uint64_t> StrictPriorityPolicy::next(TimePoint /*now*/)
{
    if (ranks_.empty()) {
        return std::nullopt;
    }
    return ranks_.begin()->second.idsBySequence_.begin()->second;
}

void StrictPriorityPolicy::start(const QueuedRequest &queued, TimePoint now)
{
    erase(queued, now);
}

void StrictPriorityPolicy::finish(const QueuedRequest & /*queued*/, Duration /*used*/,
                                  TimePoint /*now*/)
{
}

Duration StrictPriorityPolicy::wait(const QueuedRequest &queued, const SlotLoad &load) const
{
    return waitOfRank(queued.request_.rank_, load);
}

Duration StrictPriorityPolicy::waitOfRank(std::size_t rank, const SlotLoad &load) const
{
    Duration workAhead{};
    for (const auto &[order, queue] : ranks_) {
        if (order <= rank) {
            workAhead += queue.work_;
        }
    }
    return load.waitFor(workAhead);
}

std::optional<std::uint64_t> StrictPriorityPolicy::victim(const QueuedRequest &queued,
                                                          std::size_t /*maxQueued*/) const
{
    if (ranks_.empty() || ranks_.rbegin()->first <= queued.request_.rank_) {
        return std::nullopt;
    }
    return ranks_.rbegin()->second.idsBySequence_.rbegin()->second;
}

std::optional<std::uint64_t> StrictPriorityPolicy::findLowerWorth(
        const QueuedRequest & /*queued*/) const
{
    return std::nullopt;
}

nlohmann::json StrictPriorityPolicy::dump() const
{
    nlohmann::json queued = nlohmann::json::object();
    for (const auto &[order, queue] : ranks_) {
        queued[std::to_string(order)] = queue.idsBySequence_.size();
    }
    return { { "policy", name() }, { "queued_by_rank", queued } };
}

} // namespace qz
