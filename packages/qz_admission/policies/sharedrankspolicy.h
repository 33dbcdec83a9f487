// Priority between ranks with a guaranteed minimum share of slot time for each. The default policy.
#pragma once

#include "qz_admission/policies/slotload.h"
#include "qz_admission/policies/workspacefairqueue.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace qz {

/// Serves the most urgent rank that has queued work and guarantees each rank its configured share
/// of slot time. A rank with queued work earns credit at the rate of its share and spends the
/// service time of each request it starts. A rank whose credit covers its next request goes
/// before more urgent ranks.
///
/// Within a rank, workspaces share by weight. An overloaded rank accepts only requests that can be
/// answered within its target. In a full queue, each rank is guaranteed its share of the places: a
/// rank over its share drops the last request of its longest flow. Within a rank, a new request
/// can also displace one of lower worth per slot time.
/// @see AdmissionPolicy, which describes the members, WorkspaceFairQueue
class SharedRanksPolicy
{
public:
    std::string_view name() const { return "shared-ranks"; }
    bool limitsOverloadToTarget() const { return true; }
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
        double share_ = 0.0; ///< The shares of all ranks sum to at most 1.
        Duration credit_{};  ///< Unspent slot time; negative if overdrawn.
        WorkspaceFairQueue requests_;
    };

    RankQueue &rankQueueOf(const QueuedRequest &queued) { return ranks_.at(queued.request_.rank_); }
    void updateCredits(TimePoint now);
    void addCredit(RankQueue &rank, Duration amount) const;
    void limitUncontendedDebts();
    bool hasCreditForNext(const RankQueue &rank) const;
    Duration waitFor(std::size_t rank, Duration ownWorkAhead, const SlotLoad &load) const;
    bool exceedsQueueShare(const RankQueue &rank, std::size_t maxQueued) const;

    int slots_ = 1;
    std::vector<RankQueue> ranks_;
    TimePoint creditsUpdatedAt_{}; ///< Time of the last credit update.
};

} // namespace qz
