// Strict priority between ranks, first in, first out within a rank. A baseline for comparison.
#pragma once

#include "qz_admission/policies/fifopolicy.h"

namespace qz {

/// Serves the most urgent rank that has queued work. In a full queue, a new request displaces the
/// newest request of the least urgent rank if that rank is less urgent than its own. Less urgent
/// ranks can starve.
/// @see AdmissionPolicy, which describes the members
class StrictPriorityPolicy
{
public:
    std::string_view name() const { return "strict-priority"; }
    bool limitsOverloadToTarget() const { return false; }
    void configure(int slots, const std::vector<RankShare> &ranks, TimePoint now);
    void insert(const QueuedRequest &queued, TimePoint now);
    void erase(const QueuedRequest &queued, TimePoint now);
    std::optional<std::uint64_t> next(TimePoint now);
    void start(const QueuedRequest &queued, TimePoint now);
    void finish(const QueuedRequest &queued, Duration used, TimePoint now);
    Duration wait(const QueuedRequest &queued, const SlotLoad &load) const;
    Duration waitOfRank(std::size_t rank, const SlotLoad &load) const;
    std::optional<std::uint64_t> victim(const QueuedRequest &queued, std::size_t maxQueued) const;
    std::optional<std::uint64_t> findLowerWorth(const QueuedRequest &queued) const;
    nlohmann::json dump() const;

private:
    struct RankQueue
    {
        std::map<std::uint64_t, std::uint64_t> idsBySequence_;
        Duration work_{}; ///< Sum of the expected service times of its queued requests.
    };

    std::map<std::size_t, RankQueue> ranks_; ///< Only ranks with queued work.
};

} // namespace qz
