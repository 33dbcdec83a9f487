// Which backend server takes a request.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"
#include "qz_placement/choice/serverroles.h"
#include "qz_placement/health/serverhealth.h"

#include <optional>
#include <vector>

namespace qz {

/// How far a backend server is from this instance.
enum class Distance : std::uint8_t { SameDomain, SameRegion, OtherRegion };

Distance distanceBetween(const Location &a, const Location &b);
std::string_view toString(Distance distance);

/// What the choice knows of one server.
struct PlacementCandidate
{
    Distance distance_ = Distance::SameDomain;
    ServerHealth::State state_ = ServerHealth::State::Good;
    TimePoint ejectedUntil_{};
    TimePoint ejectedSince_{};
    TimePoint lastSent_{};           ///< When it last got a request from this instance.
    int slots_ = 1;                  ///< Requests that the server works on at once.
    int inFlight_ = 0;               ///< Requests of this instance that it has not answered.
    double relativeLatency_ = 1.0;   ///< Its time in relation to the service's mean.
    Duration oldestRequestAge_{ 0 }; ///< Age of the oldest request that it has not answered.
    bool wasAttempted_ = false;      ///< This request was sent to it before.
    ServerRole serverRole_ = ServerRole::Owner; ///< Of this instance.
};

/// What the choice knows of the request.
struct PlacementRequest
{
    bool isRepeatable_ = false;
    Duration target_{};          ///< Time within which the answer is in target.
    Duration timeLeft_{};        ///< Until the request ends in any case.
    Duration expectedLatency_{}; ///< Mean time of an answer of the service.
    /// Many of the service's requests fail: spread the others over all its servers.
    bool shouldSpread_ = false;
    /// Requests wait for the servers in use: held ones are worth a trial. @see ServiceLatency
    bool isCongested_ = false;
};

/// The part of a service's requests at one instance that fails from which on
/// PlacementRequest::shouldSpread_ holds. Below the tenth, over all instances, at which the floor
/// of servers in use binds: what one instance sees differs from the whole by a few in a hundred.
constexpr double spreadFailureRate = 0.08;

/// What a server costs beside its time, as a part of the request's target time. Bytes between
/// failure domains and regions are paid by volume, so work stays near unless it would be late
/// there.
struct PlacementSettings
{
    /// A server of the domain that another instance owns: how much of that one's work waits
    /// there is not known here.
    double nonOwnedCost_ = 0.05;
    double sameRegionCost_ = 0.25;
    double otherRegionCost_ = 0.6;
    Duration interRegionRoundTrip_ = std::chrono::milliseconds(24); ///< Round trip.
    /// A held server that another instance owns is tried by this one at last after this time.
    Duration nonOwnerTrialDelay_ = std::chrono::seconds(8);
    /// A hold gives way at the server's owner after this time if requests wait for the servers
    /// in good health. While many requests fail the floor counts a server as sound again then, and
    /// the longest held ones are tried if more than maxEjectedShare_ of the servers are held for
    /// so long.
    Duration ownerEarlyTrialDelay_ = std::chrono::seconds(2);
    /// The same at the server's deputy: longer by what a trial by the owner and its note take.
    Duration backupEarlyTrialDelay_ = std::chrono::milliseconds(2700);
    /// Half of what the floor leaves, since it counts the servers without disruption alone.
    double maxEjectedShare_ = 0.15;
    /// A server that got no request for so long goes before the others, so that enough of a
    /// service's servers are in use when many requests come to fail.
    Duration maxIdleTime_ = std::chrono::milliseconds(1300);
    int maxQueuedPerSlot_ = 4; ///< Requests of this instance that may wait at a server, a slot.
    /// Servers of other owners that are compared, of each distance. If all instances took the
    /// best of all, they would take the same one, as none sees the others' work.
    int nonOwnedSampleSize_ = 3;
};

struct Placement
{
    std::size_t index_ = 0;
    bool isTrial_ = false;
    Duration expectedLatency_{}; ///< Until the answer.
};

/// Load pattern: slots suffice on the whole, but a part of the servers fails or is slow at
/// any time, and the servers of one failure domain alone can be too few. Chooses the server
/// with the lowest expected answer time plus the cost of distance, out of those in good
/// health; of the servers of other owners the first few count, so @p candidates are to come in
/// a random order. A server whose trial is due goes first, at the instance that owns its trial; of
/// several the longest held. If only held servers are left, the one whose hold ends first is
/// taken. Empty if no server could answer in the time left.
///
/// Most work of an instance stays with the servers that it owns, whose queues it knows, and of
/// these with the ones that answer fast, since each server in use costs requests when it begins
/// to fail; the others get a request now and then from the instance that owns
/// them. Once many requests fail, deputies use idle servers too, and holds end sooner: servers
/// that failed for a moment must not be left out then.
std::optional<Placement> choosePlacement(const std::vector<PlacementCandidate> &candidates,
                                         const PlacementRequest &request,
                                         const PlacementSettings &costs, TimePoint now);

} // namespace qz
