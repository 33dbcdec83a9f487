// Rank order with a share of the slots' time that each rank keeps: the chosen policy.
#pragma once

#include "qz_admission/policies/slotload.h"
#include "qz_admission/policies/workspacefairqueue.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace qz {

/// Serves the most urgent rank that has queued work, unless a rank has been kept from its
/// share: a rank with queued work earns its share of the slots' time, pays for each slot it
/// takes, and goes first once it has earned the time that its next ticket needs.
/// Within a rank, workspaces share by weight.
/// A rank that had to refuse work takes only what can be answered within its target.
/// In a full queue each rank keeps its share of the places in the same way. What a rank must give
/// up is what earns the least worth per slot time.
/// @see AdmissionPolicy for the members, WorkspaceFairQueue
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
        Duration credit_{};  ///< Slot time earned and not used; negative: used ahead.
        WorkspaceFairQueue tickets_;
    };

    RankQueue &queueOf(const QueuedRequest &queued) { return ranks_.at(queued.request_.rank_); }
    void settle(TimePoint now);
    void addCredit(RankQueue &rank, Duration amount) const;
    void forgiveDebts();
    bool isOwed(const RankQueue &rank) const;
    Duration waitFor(std::size_t rank, Duration ownAhead, const SlotLoad &load) const;
    bool isOverItsPlaces(const RankQueue &rank, std::size_t maxQueued) const;

    int slots_ = 1;
    std::vector<RankQueue> ranks_;
    TimePoint settledAt_{}; ///< Credits are as of this time.
};

} // namespace qz
