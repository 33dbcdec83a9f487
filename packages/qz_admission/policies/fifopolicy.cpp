// Serves requests in order of arrival.
#include "qz_admission/policies/fifopolicy.h"

namespace qz {

void FifoPolicy::configure(int /*slots*/, const std::vector<RankShare> & /*ranks*/,
                           TimePoint /*now*/)
{
}

void FifoPolicy::insert(const QueuedRequest &queued, TimePoint /*now*/)
{
    idsBySequence_.emplace(queued.sequence_, queued.request_.id_);
    work_ += queued.expected_;
}

void FifoPolicy::erase(const QueuedRequest &queued, TimePoint /*now*/)
{
    idsBySequence_.erase(queued.sequence_);
    work_ -= queued.expected_;
}

std::optional<std::uint64_t> FifoPolicy::next(TimePoint /*now*/)
{
    if (idsBySequence_.empty()) {
        return std::nullopt;
    }
    return idsBySequence_.begin()->second;
}

void FifoPolicy::start(const QueuedRequest &queued, TimePoint now)
{
    erase(queued, now);
}

void FifoPolicy::finish(const QueuedRequest & /*queued*/, Duration /*used*/, TimePoint /*now*/)
{
}

Duration FifoPolicy::wait(const QueuedRequest & /*queued*/, const SlotLoad &load) const
{
    return load.waitFor(work_);
}

Duration FifoPolicy::waitOfRank(std::size_t /*rank*/, const SlotLoad &load) const
{
    return load.waitFor(work_);
}

std::optional<std::uint64_t> FifoPolicy::victim(const QueuedRequest & /*queued*/,
                                                std::size_t /*maxQueued*/) const
{
    return std::nullopt;
}

std::optional<std::uint64_t> FifoPolicy::findLowerWorth(const QueuedRequest & /*queued*/) const
{
    return std::nullopt;
}

nlohmann::json FifoPolicy::dump() const
{
    return { { "policy", name() }, { "queued", idsBySequence_.size() } };
}

} // namespace qz
