// One start of a backend server, as this instance sees it.
#pragma once

#include "qz_core/ids/ids.h"
#include "qz_core/loop/eventloop.h"
#include "qz_http/stream/backendconnection.h"
#include "qz_placement/health/serverhealth.h"

#include <cstdint>
#include <memory>
#include <set>
#include <vector>

namespace qz {

/// A backend server as the platform lists it.
struct ListedBackend
{
    BackendServerId id_;
    /// Differs between two starts under the same id.
    std::int64_t incarnation_ = 0;
    ServiceId service_;
    Endpoint endpoint_;
    Location location_;
    int slots_ = 1;            ///< Requests that it works on at once.
    bool isDraining_ = false;  ///< It ends soon and must get no new work.
    Duration coldRemaining_{}; ///< It is slow for so long yet.
};

/// Holds what belongs to one incarnation: its health, the requests that it has not answered
/// and its idle connections.
/// @see BackendTable
class Backend
{
public:
    Backend(EventLoop &loop, ListedBackend listed);
    Backend(const Backend &) = delete;
    Backend &operator=(const Backend &) = delete;

    const ListedBackend &listed() const { return listed_; }
    void update(const ListedBackend &listed) { listed_ = listed; }

    /// Listed and not leaving: it may get new work.
    bool isOpen() const;
    /// It has left the list.
    void close();

    ServerHealth &health() { return health_; }
    const ServerHealth &health() const { return health_; }

    void beginRequest(TimePoint now);
    /// When the last request was sent to it.
    TimePoint lastSent() const { return lastSent_; }
    /// Ends the request that began at @p begunAt.
    void endRequest(TimePoint begunAt);
    int inFlight() const { return static_cast<int>(begun_.size()); }
    Duration oldestRequestAge(TimePoint now) const;

    /// An idle connection that may still be used, or null. For a request that is not
    /// repeatable only one whose way was proven a moment ago: a new one takes a round trip and
    /// shows without a request whether the server can be reached.
    std::unique_ptr<BackendConnection> takeIdleConnection(bool isRepeatable, TimePoint now);
    void returnConnection(std::unique_ptr<BackendConnection> connection);
    /// Closes idle connections that are too old.
    void closeStaleConnections(TimePoint now);
    /// Closes all idle connections: the way to the server has gone silent.
    void closeIdleConnections() { idle_.clear(); }
    std::size_t idleConnectionCount() const { return idle_.size(); }

private:
    bool isUsable(const BackendConnection &connection, TimePoint now) const;

    EventLoop &loop_;
    ListedBackend listed_;
    ServerHealth health_;
    std::multiset<TimePoint> begun_; ///< When the unanswered requests were sent.
    std::vector<std::unique_ptr<BackendConnection>> idle_; ///< Longest idle first.
    TimePoint lastSent_{};
    bool isListed_ = true;
};

} // namespace qz
