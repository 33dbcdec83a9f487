// The cost of each server, and the choice of the lowest.
#include "qz_placement/choice/placement.h"

#include <algorithm>
#include <array>

namespace qz {

namespace {

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

Duration expectedAnswer(const PlacementCandidate &candidate, const PlacementRequest &request,
                        const PlacementCosts &costs)
{
    Duration work = scaled(request.expected_, candidate.slowness_);
    // A request that waits for long says that the server is slower than its answers so far.
    work = std::max(work, candidate.oldestWait_);
    const int ahead = std::max(0, candidate.inFlight_ + 1 - candidate.slots_);
    const Duration wait = work * ahead / std::max(1, candidate.slots_);
    const Duration travel =
            candidate.distance_ == Distance::OtherRegion ? costs.betweenRegions_ : Duration::zero();
    return work + wait + travel;
}

Duration distanceCost(const PlacementCandidate &candidate, const PlacementRequest &request,
                      const PlacementCosts &costs)
{
    switch (candidate.distance_) {
    case Distance::SameDomain:
        break;
    case Distance::SameRegion:
        return scaled(request.target_, costs.sameRegion_);
    case Distance::OtherRegion:
        return scaled(request.target_, costs.otherRegion_);
    }
    return candidate.duty_ == ServerDuty::Owner ? Duration::zero()
                                                : scaled(request.target_, costs.otherOwner_);
}

bool isFull(const PlacementCandidate &candidate, const PlacementCosts &costs)
{
    return candidate.inFlight_ >= candidate.slots_ * (1 + costs.queuedPerSlot_);
}

/// Whether holds give way, and for which reason.
struct HoldRelief
{
    bool isCrowded_ = false;   ///< Requests wait for the servers in good health.
    bool isFloorNear_ = false; ///< Many requests fail and too many servers are left out.
};

bool isDueForTrial(const PlacementCandidate &candidate, const HoldRelief &relief,
                   const PlacementCosts &costs, TimePoint now)
{
    if (candidate.state_ == ServerHealth::State::Good || candidate.inFlight_ > 0
        || candidate.isTried_) {
        return false;
    }
    switch (candidate.duty_) {
    case ServerDuty::Owner:
        return now >= candidate.heldUntil_
                || ((relief.isCrowded_ || relief.isFloorNear_)
                    && now >= candidate.heldSince_ + costs.neededHold_);
    case ServerDuty::Deputy:
        if (relief.isFloorNear_ && now >= candidate.heldSince_ + costs.neededDeputyHold_) {
            return true;
        }
        break;
    case ServerDuty::None:
        break;
    }
    return now >= candidate.heldUntil_ + costs.foreignTrialDelay_;
}

/// Whether so many servers are held for long that the rest is too small a part of the service.
bool isFloorNear(const std::vector<PlacementCandidate> &candidates, const PlacementCosts &costs,
                 TimePoint now)
{
    const auto leftOut = std::count_if(candidates.begin(), candidates.end(), [&](const auto &c) {
        return c.state_ != ServerHealth::State::Good && now >= c.heldSince_ + costs.neededHold_;
    });
    return static_cast<double>(leftOut)
            > costs.maxLeftOutPart_ * static_cast<double>(candidates.size());
}

bool hasFreeSlot(const std::vector<PlacementCandidate> &candidates)
{
    return std::any_of(candidates.begin(), candidates.end(), [](const auto &c) {
        return c.state_ == ServerHealth::State::Good && !c.isTried_ && c.inFlight_ < c.slots_;
    });
}

/// Whether this instance is to send the server a request so that it stays in use.
bool isDueForUse(const PlacementCandidate &candidate, const PlacementRequest &request,
                 const PlacementCosts &costs, TimePoint now)
{
    const bool isIdle =
            candidate.inFlight_ < candidate.slots_ && now - candidate.lastSent_ > costs.idlePause_;
    const bool isKeptInUse = candidate.duty_ == ServerDuty::Owner
            || (candidate.duty_ == ServerDuty::Deputy && request.isSpread_);
    return isIdle && isKeptInUse;
}

/// Chooses which servers of other owners are compared: the first few of each distance.
class ForeignSample
{
public:
    explicit ForeignSample(int limit)
        : limit_(limit)
    {
    }

    bool takes(const PlacementCandidate &candidate)
    {
        return candidate.duty_ == ServerDuty::Owner
                || taken_[static_cast<std::size_t>(candidate.distance_)]++ < limit_;
    }

private:
    const int limit_;
    std::array<int, 3> taken_{}; ///< By distance.
};

} // namespace

Distance distanceBetween(const Location &a, const Location &b)
{
    if (a.failureDomain_ == b.failureDomain_) {
        return Distance::SameDomain;
    }
    return a.region_ == b.region_ ? Distance::SameRegion : Distance::OtherRegion;
}

std::string_view toString(Distance distance)
{
    switch (distance) {
    case Distance::SameDomain:
        return "same-domain";
    case Distance::SameRegion:
        return "same-region";
    case Distance::OtherRegion:
        break;
    }
    return "other-region";
}

std::optional<Placement> choosePlacement(const std::vector<PlacementCandidate> &candidates,
                                         const PlacementRequest &request,
                                         const PlacementCosts &costs, TimePoint now)
{
    std::optional<Placement> best;
    Duration bestCost{};
    ForeignSample sample(costs.comparedForeign_);
    std::optional<Placement> leastHeld;
    Duration leastHold{};
    const PlacementCandidate *longestHeld = nullptr; // Of those whose trial is due.
    std::optional<Placement> trial;
    const HoldRelief relief{ request.isCrowded_ || !hasFreeSlot(candidates),
                             request.isSpread_ && isFloorNear(candidates, costs, now) };
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const PlacementCandidate &candidate = candidates[i];
        if (candidate.isTried_ || isFull(candidate, costs)) {
            continue;
        }
        const Duration expected = expectedAnswer(candidate, request, costs);
        if (isDueForTrial(candidate, relief, costs, now)) {
            if (longestHeld == nullptr || candidate.heldSince_ < longestHeld->heldSince_) {
                longestHeld = &candidate;
                trial = Placement{ i, true, expected };
            }
            continue;
        }
        if (expected > request.timeLeft_) {
            continue;
        }
        if (candidate.state_ != ServerHealth::State::Good) {
            const Duration hold = std::max(Duration::zero(), candidate.heldUntil_ - now)
                    + distanceCost(candidate, request, costs);
            if (!leastHeld || hold < leastHold) {
                leastHeld = Placement{ i, true, expected };
                leastHold = hold;
            }
            continue;
        }
        const bool isDue = isDueForUse(candidate, request, costs, now);
        if (!isDue && !sample.takes(candidate)) {
            continue;
        }
        const Duration cost = expected + distanceCost(candidate, request, costs)
                - (isDue ? request.target_ : Duration::zero());
        if (!best || cost < bestCost) {
            best = Placement{ i, false, expected };
            bestCost = cost;
        }
    }
    if (trial) {
        return trial;
    }
    return best ? best : leastHeld;
}

} // namespace qz
