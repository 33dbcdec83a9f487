// A backend server as this instance sees it.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/loop/eventloop.h"
#include "qz_http/stream/backendconnection.h"
#include "qz_placement/health/serverhealth.h"
#include "qz_placement/limits/serverratelimit.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace qz {

/// A backend server as the platform lists it, or another instance that passes requests on to
/// servers.
struct ListedBackend
{
    BackendServerId id_;
    /// Distinguishes restarts of a server that keeps its id.
    std::int64_t incarnation_ = 0;
    /// Rises with what the server says of itself during an incarnation.
    std::int64_t revision_ = 0;
    ServiceId service_;
    Endpoint endpoint_;
    Location location_;
    int slots_ = 1;            ///< Number of requests that the server processes concurrently.
    bool isInstance_ = false;  ///< @see Forwarder::setPeers
    bool isDraining_ = false;  ///< The server will stop soon and must get no new requests.
    Duration coldRemaining_{}; ///< Time until the server has warmed up; it is slow until then.
};

/// The state that belongs to one incarnation of a backend server: its health, its limit, the
/// requests in progress and its idle connections.
/// @see BackendTable
class Backend
{
public:
    Backend(EventLoop &loop, ListedBackend listed);
    Backend(const Backend &) = delete;
    Backend &operator=(const Backend &) = delete;

    const ListedBackend &listed() const { return listed_; }
    void update(const ListedBackend &listed) { listed_ = listed; }

    /// Returns true if the server is listed and not leaving, so that it may get new requests.
    bool isOpen() const;
    /// Records that the server itself has said that it leaves, and closes its idle connections.
    void startLeaving();
    /// Returns whether the server itself has said that it leaves.
    bool isLeaving() const { return isLeaving_; }
    /// Marks the server as removed from the list and closes its idle connections.
    void close();
    /// Returns whether this incarnation of the server is listed.
    bool isListed() const { return isListed_; }

    ServerHealth &health() { return health_; }
    const ServerHealth &health() const { return health_; }

    ServerRateLimit &rateLimit() { return rateLimit_; }
    const ServerRateLimit &rateLimit() const { return rateLimit_; }

    /// Records that a request is sent to the server at @p now. From @p overdueAt on it is overdue.
    void beginRequest(TimePoint now, TimePoint overdueAt);
    /// Returns the time when the last request was sent to the server.
    TimePoint lastSent() const { return lastSent_; }
    /// Records the end of the request that began at @p startTime.
    void endRequest(TimePoint startTime);
    /// Returns the number of requests that the server has not answered yet.
    int inFlight() const { return static_cast<int>(unanswered_.size()); }
    /// Returns the time when an overdue request was sent, or nothing if none is overdue.
    std::optional<TimePoint> overdueRequestStart(TimePoint now) const;
    /// Returns the age of the oldest unanswered request, or zero if there is none.
    Duration oldestRequestAge(TimePoint now) const;

    /// Returns an idle connection that may still be used, or null. A request that is not
    /// repeatable gets only a connection that was in use a moment ago. Opening a new connection
    /// costs a round trip, but shows that the server is reachable before a request is sent.
    std::unique_ptr<BackendConnection> takeIdleConnection(bool isRepeatable, TimePoint now);
    /// Keeps @p connection for a later request if it is reusable, otherwise closes it.
    void returnConnection(std::unique_ptr<BackendConnection> connection);
    /// Closes connections that have been idle for too long.
    void closeStaleConnections(TimePoint now);
    /// Closes all idle connections, after the server has become unreachable.
    void closeIdleConnections() { idle_.clear(); }
    std::size_t idleConnectionCount() const { return idle_.size(); }

private:
    bool isUsable(const BackendConnection &connection, TimePoint now) const;

    EventLoop &loop_;
    ListedBackend listed_;
    ServerHealth health_;
    ServerRateLimit rateLimit_;
    /// Times from which the unanswered requests are overdue, by the time when they were sent.
    std::multimap<TimePoint, TimePoint> unanswered_;
    /// Idle connections; the one that has been idle longest comes first.
    std::vector<std::unique_ptr<BackendConnection>> idle_;
    TimePoint lastSent_{};
    bool isListed_ = true;
    bool isLeaving_ = false; ///< Once set, holds whatever the list says.
};

} // namespace qz
