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
                        const PlacementSettings &costs)
{
    Duration work = scaled(request.expectedLatency_, candidate.relativeLatency_);
    // A request that waits for long says that the server is slower than its answers so far.
    work = std::max(work, candidate.oldestRequestAge_);
    const int ahead = std::max(0, candidate.inFlight_ + 1 - candidate.slots_);
    const Duration wait = work * ahead / std::max(1, candidate.slots_);
    const Duration travel = candidate.distance_ == Distance::OtherRegion
            ? costs.interRegionRoundTrip_
            : Duration::zero();
    return work + wait + travel;
}

Duration distanceCost(const PlacementCandidate &candidate, const PlacementRequest &request,
                      const PlacementSettings &costs)
{
    switch (candidate.distance_) {
    case Distance::SameDomain:
        break;
    case Distance::SameRegion:
        return scaled(request.target_, costs.sameRegionCost_);
    case Distance::OtherRegion:
        return scaled(request.target_, costs.otherRegionCost_);
    }
    return candidate.serverRole_ == ServerRole::Owner
            ? Duration::zero()
            : scaled(request.target_, costs.nonOwnedCost_);
}

bool isFull(const PlacementCandidate &candidate, const PlacementSettings &costs)
{
    return candidate.inFlight_ >= candidate.slots_ * (1 + costs.maxQueuedPerSlot_);
}

/// Whether holds give way, and for which reason.
struct HoldRelief
{
    bool isCongested_ = false; ///< Requests wait for the servers in good health.
    bool isFloorNear_ = false; ///< Many requests fail and too many servers are left out.
};

bool isDueForTrial(const PlacementCandidate &candidate, const HoldRelief &relief,
                   const PlacementSettings &costs, TimePoint now)
{
    if (candidate.state_ == ServerHealth::State::Good || candidate.inFlight_ > 0
        || candidate.wasAttempted_) {
        return false;
    }
    switch (candidate.serverRole_) {
    case ServerRole::Owner:
        return now >= candidate.ejectedUntil_
                || ((relief.isCongested_ || relief.isFloorNear_)
                    && now >= candidate.ejectedSince_ + costs.ownerEarlyTrialDelay_);
    case ServerRole::Backup:
        if (relief.isFloorNear_ && now >= candidate.ejectedSince_ + costs.backupEarlyTrialDelay_) {
            return true;
        }
        break;
    case ServerRole::None:
        break;
    }
    return now >= candidate.ejectedUntil_ + costs.nonOwnerTrialDelay_;
}

/// Whether so many servers are held for long that the rest is too small a part of the service.
bool isFloorNear(const std::vector<PlacementCandidate> &candidates, const PlacementSettings &costs,
                 TimePoint now)
{
    const auto leftOut = std::count_if(candidates.begin(), candidates.end(), [&](const auto &c) {
        return c.state_ != ServerHealth::State::Good
                && now >= c.ejectedSince_ + costs.ownerEarlyTrialDelay_;
    });
    return static_cast<double>(leftOut)
            > costs.maxEjectedShare_ * static_cast<double>(candidates.size());
}

bool hasFreeSlot(const std::vector<PlacementCandidate> &candidates)
{
    return std::any_of(candidates.begin(), candidates.end(), [](const auto &c) {
        return c.state_ == ServerHealth::State::Good && !c.wasAttempted_ && c.inFlight_ < c.slots_;
    });
}

/// Whether this instance is to send the server a request so that it stays in use.
bool isDueForUse(const PlacementCandidate &candidate, const PlacementRequest &request,
                 const PlacementSettings &costs, TimePoint now)
{
    const bool isIdle = candidate.inFlight_ < candidate.slots_
            && now - candidate.lastSent_ > costs.maxIdleTime_;
    const bool isKeptInUse = candidate.serverRole_ == ServerRole::Owner
            || (candidate.serverRole_ == ServerRole::Backup && request.shouldSpread_);
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
        return candidate.serverRole_ == ServerRole::Owner
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
                                         const PlacementSettings &costs, TimePoint now)
{
    std::optional<Placement> best;
    Duration bestCost{};
    ForeignSample sample(costs.nonOwnedSampleSize_);
    std::optional<Placement> leastHeld;
    Duration leastHold{};
    const PlacementCandidate *longestHeld = nullptr; // Of those whose trial is due.
    std::optional<Placement> trial;
    const HoldRelief relief{ request.isCongested_ || !hasFreeSlot(candidates),
                             request.shouldSpread_ && isFloorNear(candidates, costs, now) };
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const PlacementCandidate &candidate = candidates[i];
        if (candidate.wasAttempted_ || isFull(candidate, costs)) {
            continue;
        }
        const Duration expected = expectedAnswer(candidate, request, costs);
        if (isDueForTrial(candidate, relief, costs, now)) {
            if (longestHeld == nullptr || candidate.ejectedSince_ < longestHeld->ejectedSince_) {
                longestHeld = &candidate;
                trial = Placement{ i, true, expected };
            }
            continue;
        }
        if (expected > request.timeLeft_) {
            continue;
        }
        if (candidate.state_ != ServerHealth::State::Good) {
            const Duration hold = std::max(Duration::zero(), candidate.ejectedUntil_ - now)
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
