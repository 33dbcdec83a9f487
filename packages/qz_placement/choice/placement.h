// Chooses the backend server that a request is sent to.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"
#include "qz_placement/choice/serverroles.h"
#include "qz_placement/health/serverhealth.h"

#include <optional>
#include <vector>

namespace qz {

/// Distance between this instance and a backend server.
enum class Distance : std::uint8_t { SameDomain, SameRegion, OtherRegion };

Distance distanceBetween(const Location &a, const Location &b);
std::string_view toString(Distance distance);

/// State of one backend server, as an input of choosePlacement().
struct PlacementCandidate
{
    Distance distance_ = Distance::SameDomain;
    ServerHealth::State state_ = ServerHealth::State::Good;
    TimePoint ejectedUntil_{};       ///< End of the current ejection.
    TimePoint ejectedSince_{};       ///< Start of the current ejection.
    TimePoint lastSent_{};           ///< Time of this instance's last request to the server.
    int slots_ = 1;                  ///< Requests that the server processes concurrently.
    int inFlight_ = 0;               ///< Requests from this instance without an answer yet.
    double relativeLatency_ = 1.0;   ///< Mean latency divided by that of the service.
    Duration oldestRequestAge_{ 0 }; ///< Age of the oldest request without an answer yet.
    bool wasAttempted_ = false;      ///< This request was sent to the server before.
    bool isRateLimited_ = false;     ///< The server accepts no request now. @see ServerRateLimit
    ServerRole serverRole_ = ServerRole::Owner; ///< Role of this instance for the server.
};

/// The request to place, as an input of choosePlacement().
struct PlacementRequest
{
    bool isRepeatable_ = false;
    Duration target_{};          ///< Time within which the answer meets its target.
    Duration timeLeft_{};        ///< Time until the deadline.
    Duration expectedLatency_{}; ///< Mean latency of the route. @see RouteLatency
    /// Many requests of the service fail: use all its servers. @see spreadFailureRate
    bool shouldSpread_ = false;
    /// Requests queue at the servers in use: ejected ones get early trials. @see RouteLatency
    bool isCongested_ = false;
};

/// Failure rate of a service at one instance above which PlacementRequest::shouldSpread_ is set.
/// The floor of servers in use applies from a failure rate of 0.1 over all instances. This
/// threshold is lower, because the rate at one instance differs from that by a few percentage
/// points.
constexpr double spreadFailureRate = 0.08;

/// Costs, delays and limits of choosePlacement(). Each cost is a fraction of the request's target
/// time and is added to the expected answer time. Traffic between failure domains and regions is
/// paid by volume, so requests go to near servers unless the answer would be late.
struct PlacementSettings
{
    /// Cost of a server of the same domain that another instance owns: this instance cannot see
    /// how many of the owner's requests are queued there.
    double nonOwnedCost_ = 0.05;
    double sameRegionCost_ = 0.25;
    double otherRegionCost_ = 0.6;
    Duration interRegionRoundTrip_ = std::chrono::milliseconds(24); ///< Network round trip.
    /// Delay from the end of an ejection until an instance other than the owner sends a trial
    /// request.
    Duration nonOwnerTrialDelay_ = std::chrono::seconds(8);
    /// Delay from the start of an ejection until the owner may send a trial request, although the
    /// ejection has not ended. Applies if requests queue at the servers in good health, or if many
    /// requests fail and more than maxEjectedShare_ of the servers have been ejected for this long.
    /// While many requests fail, the floor counts a server as healthy again after the same time.
    Duration ownerEarlyTrialDelay_ = std::chrono::seconds(2);
    /// The same delay for the backup, which sends early trials only while many requests fail.
    /// Longer by the time that the owner's trial and its health report take.
    Duration backupEarlyTrialDelay_ = std::chrono::milliseconds(2700);
    /// Share of ejected servers above which trials are sent early while many requests fail. Half of
    /// what the floor allows to be out of service, because the floor counts only the servers
    /// without a disruption, and their ejected share can be higher than that of all servers.
    double maxEjectedShare_ = 0.15;
    /// A server to which this instance has sent no request for longer than this is preferred, so
    /// that enough servers of a service are in use when many requests start to fail.
    Duration maxIdleTime_ = std::chrono::milliseconds(1300);
    int maxQueuedPerSlot_ = 4; ///< Requests of this instance that may queue at a server, per slot.
    /// Number of servers owned by other instances that are compared, for each distance. Instances
    /// do not see each other's requests, so if each compared all servers, they would all choose
    /// the same one.
    int nonOwnedSampleSize_ = 3;
};

struct Placement
{
    std::size_t index_ = 0;      ///< Index of the chosen candidate.
    bool isTrial_ = false;       ///< The server is ejected, or on trial after an ejection.
    Duration expectedLatency_{}; ///< Expected time until the answer.
};

/// Returns the candidate in good health with the lowest sum of expected answer time and cost of
/// distance. A server that is due for use has a lower cost, see PlacementSettings::maxIdleTime_.
/// Of the servers that other instances own, only the first few are compared, so @p candidates must
/// be in random order.
///
/// A server that accepts no request now is never chosen, not even for a trial.
///
/// A server for which this instance is due to send a trial request is chosen before all others,
/// whatever its expected answer time; of several such servers, the one that was ejected first. Only
/// a first attempt is used for a trial. If only ejected servers are left, returns the one with the
/// lowest sum of remaining ejection time and cost of distance. Returns no value if no trial is due
/// and no server can answer within the remaining time.
///
/// Assumed load: there are enough slots overall, but at any time some of the servers fail or are
/// slow, and the servers of one failure domain may be too few. An instance therefore sends most
/// requests to the servers that it owns, whose queues it knows. Of these it prefers the fastest,
/// because each server in use loses requests when it starts to fail. The other servers get an
/// occasional request from their owner. Once many requests fail, backups use idle servers too and
/// trials are sent earlier, so that servers with a short failure return to service.
std::optional<Placement> choosePlacement(const std::vector<PlacementCandidate> &candidates,
                                         const PlacementRequest &request,
                                         const PlacementSettings &settings, TimePoint now);

} // namespace qz
