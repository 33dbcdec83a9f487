// The cost of each server, and the choice of the lowest.
#include "qz_placement/choice/placement.h"

#include <algorithm>

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
    return Duration::zero();
}

bool isFull(const PlacementCandidate &candidate, const PlacementCosts &costs)
{
    return candidate.inFlight_ >= candidate.slots_ * (1 + costs.queuedPerSlot_);
}

bool isDueForTrial(const PlacementCandidate &candidate, const PlacementRequest &request,
                   const PlacementCosts &costs, bool isNeeded, TimePoint now)
{
    if (candidate.state_ == ServerHealth::State::Good || candidate.inFlight_ > 0
        || candidate.isTried_) {
        return false;
    }
    if (!candidate.isOwner_) {
        return now >= candidate.heldUntil_ + costs.foreignTrialDelay_
                || (request.isSpread_ && now >= candidate.heldSince_ + costs.neededForeignHold_);
    }
    return now >= candidate.heldUntil_
            || (isNeeded && now >= candidate.heldSince_ + costs.neededHold_);
}

bool hasFreeSlot(const std::vector<PlacementCandidate> &candidates)
{
    return std::any_of(candidates.begin(), candidates.end(), [](const auto &c) {
        return c.state_ == ServerHealth::State::Good && !c.isTried_ && c.inFlight_ < c.slots_;
    });
}

/// What a request costs at a server in good health; the lowest wins.
Duration costOf(const PlacementCandidate &candidate, Duration expected,
                const PlacementRequest &request, const PlacementCosts &costs, TimePoint now)
{
    const Duration cost = expected + distanceCost(candidate, request, costs);
    const bool isIdle =
            candidate.inFlight_ < candidate.slots_ && now - candidate.lastSent_ > costs.idlePause_;
    const bool isOwn = candidate.isOwner_ && candidate.distance_ == Distance::SameDomain;
    return isIdle && (isOwn || request.isSpread_) ? cost - request.target_ : cost;
}

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
    std::optional<Placement> leastHeld;
    Duration leastHold{};
    const bool isNeeded = request.isSpread_ || !hasFreeSlot(candidates);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const PlacementCandidate &candidate = candidates[i];
        if (candidate.isTried_ || isFull(candidate, costs)) {
            continue;
        }
        const Duration expected = expectedAnswer(candidate, request, costs);
        if (isDueForTrial(candidate, request, costs, isNeeded, now)) {
            return Placement{ i, true, expected };
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
        const Duration cost = costOf(candidate, expected, request, costs, now);
        if (!best || cost < bestCost) {
            best = Placement{ i, false, expected };
            bestCost = cost;
        }
    }
    return best ? best : leastHeld;
}

} // namespace qz
