// Compares the candidates of a request by cost and chooses the cheapest.
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
                        const PlacementSettings &settings)
{
    Duration processing = scaled(request.expectedLatency_, candidate.relativeLatency_);
    // A request that has waited longer than that shows that the server has become slower.
    processing = std::max(processing, candidate.oldestRequestAge_);
    const int queued = std::max(0, candidate.inFlight_ + 1 - candidate.slots_);
    const Duration queueing = processing * queued / std::max(1, candidate.slots_);
    const Duration network = candidate.distance_ == Distance::OtherRegion
            ? settings.interRegionRoundTrip_
            : Duration::zero();
    return processing + queueing + network;
}

Duration distanceCost(const PlacementCandidate &candidate, const PlacementRequest &request,
                      const PlacementSettings &settings)
{
    switch (candidate.distance_) {
    case Distance::SameDomain:
        break;
    case Distance::SameRegion:
        return scaled(request.target_, settings.sameRegionCost_);
    case Distance::OtherRegion:
        return scaled(request.target_, settings.otherRegionCost_);
    }
    return candidate.serverRole_ == ServerRole::Owner
            ? Duration::zero()
            : scaled(request.target_, settings.nonOwnedCost_);
}

bool isFull(const PlacementCandidate &candidate, const PlacementSettings &settings)
{
    return candidate.inFlight_ >= candidate.slots_ * (1 + settings.maxQueuedPerSlot_);
}

/// Reasons to send trial requests before ejections end.
struct EarlyTrialReasons
{
    bool isCongested_ = false; ///< Requests queue at the servers in good health.
    bool isFloorNear_ = false; ///< Many requests fail and too many servers are ejected.
};

bool isDueForTrial(const PlacementCandidate &candidate, const EarlyTrialReasons &reasons,
                   const PlacementSettings &settings, TimePoint now)
{
    if (candidate.state_ == ServerHealth::State::Good || candidate.inFlight_ > 0
        || candidate.wasAttempted_) {
        return false;
    }
    switch (candidate.serverRole_) {
    case ServerRole::Owner:
        return now >= candidate.ejectedUntil_
                || ((reasons.isCongested_ || reasons.isFloorNear_)
                    && now >= candidate.ejectedSince_ + settings.ownerEarlyTrialDelay_);
    case ServerRole::Backup:
        if (reasons.isFloorNear_
            && now >= candidate.ejectedSince_ + settings.backupEarlyTrialDelay_) {
            return true;
        }
        break;
    case ServerRole::None:
        break;
    }
    return now >= candidate.ejectedUntil_ + settings.nonOwnerTrialDelay_;
}

/// Whether the share of the servers that were ejected at least ownerEarlyTrialDelay_ ago exceeds
/// maxEjectedShare_.
bool isFloorNear(const std::vector<PlacementCandidate> &candidates,
                 const PlacementSettings &settings, TimePoint now)
{
    const auto ejected = std::count_if(candidates.begin(), candidates.end(), [&](const auto &c) {
        return c.state_ != ServerHealth::State::Good
                && now >= c.ejectedSince_ + settings.ownerEarlyTrialDelay_;
    });
    return static_cast<double>(ejected)
            > settings.maxEjectedShare_ * static_cast<double>(candidates.size());
}

bool hasFreeSlot(const std::vector<PlacementCandidate> &candidates)
{
    return std::any_of(candidates.begin(), candidates.end(), [](const auto &c) {
        return c.state_ == ServerHealth::State::Good && !c.wasAttempted_ && !c.isRateLimited_
                && c.inFlight_ < c.slots_;
    });
}

/// Whether this instance should send the request to the server so that it stays in use.
bool isDueForUse(const PlacementCandidate &candidate, const PlacementRequest &request,
                 const PlacementSettings &settings, TimePoint now)
{
    const bool isIdle = candidate.inFlight_ < candidate.slots_
            && now - candidate.lastSent_ > settings.maxIdleTime_;
    const bool isKeptInUse = candidate.serverRole_ == ServerRole::Owner
            || (candidate.serverRole_ == ServerRole::Backup && request.shouldSpread_);
    return isIdle && isKeptInUse;
}

/// Limits the comparison of servers that other instances own to the first few of each distance.
class NonOwnedSample
{
public:
    explicit NonOwnedSample(int limit)
        : limit_(limit)
    {
    }

    bool tryAdd(const PlacementCandidate &candidate)
    {
        return candidate.serverRole_ == ServerRole::Owner
                || counts_[static_cast<std::size_t>(candidate.distance_)]++ < limit_;
    }

private:
    const int limit_;
    std::array<int, 3> counts_{}; ///< By distance.
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
                                         const PlacementSettings &settings, TimePoint now)
{
    std::optional<Placement> best;
    Duration bestCost{};
    NonOwnedSample sample(settings.nonOwnedSampleSize_);
    std::optional<Placement> bestEjected;
    Duration bestEjectedCost{};
    const PlacementCandidate *longestEjected = nullptr; // Of the servers due for a trial.
    std::optional<Placement> trial;
    const EarlyTrialReasons reasons{ request.isCongested_ || !hasFreeSlot(candidates),
                                     request.shouldSpread_
                                             && isFloorNear(candidates, settings, now) };
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const PlacementCandidate &candidate = candidates[i];
        if (candidate.wasAttempted_ || candidate.isRateLimited_ || isFull(candidate, settings)) {
            continue;
        }
        const Duration expected = expectedAnswer(candidate, request, settings);
        if (isDueForTrial(candidate, reasons, settings, now)) {
            if (longestEjected == nullptr
                || candidate.ejectedSince_ < longestEjected->ejectedSince_) {
                longestEjected = &candidate;
                trial = Placement{ i, true, expected };
            }
            continue;
        }
        if (expected > request.timeLeft_) {
            continue;
        }
        if (candidate.state_ != ServerHealth::State::Good) {
            const Duration ejectedCost = std::max(Duration::zero(), candidate.ejectedUntil_ - now)
                    + distanceCost(candidate, request, settings);
            if (!bestEjected || ejectedCost < bestEjectedCost) {
                bestEjected = Placement{ i, true, expected };
                bestEjectedCost = ejectedCost;
            }
            continue;
        }
        const bool isDue = isDueForUse(candidate, request, settings, now);
        if (!isDue && !sample.tryAdd(candidate)) {
            continue;
        }
        const Duration cost = expected + distanceCost(candidate, request, settings)
                - (isDue ? request.target_ : Duration::zero());
        if (!best || cost < bestCost) {
            best = Placement{ i, false, expected };
            bestCost = cost;
        }
    }
    const bool isFirstAttempt = std::none_of(candidates.begin(), candidates.end(),
                                             [](const auto &c) { return c.wasAttempted_; });
    if (trial && (isFirstAttempt || !best)) {
        return trial;
    }
    return best ? best : bestEjected;
}

} // namespace qz
