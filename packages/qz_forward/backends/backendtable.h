// The backend servers that are currently listed, by service.
#pragma once

#include "qz_forward/backends/backend.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace qz {

/// Follows the platform's list of backend servers. A changed incarnation, endpoint or service
/// creates a new Backend without the history of the previous one.
///
/// While the list cannot be read, the last known list stays in use. Entries of running servers
/// may expire during such an outage. Therefore servers that are missing from the list are kept
/// for a grace period after the list can be read again. A list that was restored from a copy may
/// show servers as they were before; entries older than those that this instance has seen are then
/// ignored.
///
/// A server that has said itself that it leaves gets no new requests for the rest of its
/// incarnation, also if it is removed and listed again.
/// @see ListedBackend
class BackendTable
{
public:
    using ServerPtr = std::shared_ptr<Backend>;

    explicit BackendTable(EventLoop &loop);

    /// Adds or updates one server.
    void put(const ListedBackend &listed);

    /// Removes a server that is no longer listed. A server that is removed during the grace
    /// period is kept until the period ends, and longer if it is listed again by then.
    void remove(const BackendServerId &id);

    /// Replaces the whole list; removes the servers that are not in @p listed.
    void replaceAll(const std::vector<ListedBackend> &listed);

    /// Starts the grace period. To be called when the list can be read again after an outage.
    void startRemovalGrace(Duration grace);

    /// To be called when the list was restored from an older copy. For some time, replaceAll()
    /// ignores outdated entries, also of servers that were removed.
    void expectOutdatedEntries();

    /// Records that @p incarnation of a server has said that it leaves; the server need not be
    /// listed. Returns whether this was not known.
    bool recordLeaving(const BackendServerId &id, std::int64_t incarnation);

    /// Returns the servers of @p service; empty if none is listed.
    const std::vector<ServerPtr> &serversOf(const ServiceId &service) const;

    /// Returns the server with @p id, or null if it is not listed.
    ServerPtr find(const BackendServerId &id) const;

    std::size_t size() const { return servers_.size(); }
    const std::map<BackendServerId, ServerPtr> &all() const { return servers_; }

    /// Closes connections that have been idle for too long.
    void closeStaleConnections();

private:
    /// Identifies what a server last said of itself, and when it was removed.
    struct RemovedServer
    {
        std::int64_t incarnation_ = 0;
        std::int64_t revision_ = 0;
        TimePoint removedAt_{};
    };

    /// An incarnation that has said that it leaves.
    struct LeavingServer
    {
        std::int64_t incarnation_ = 0;
        TimePoint recordedAt_{};
    };

    bool isKnownAsLeaving(const ListedBackend &listed) const;
    void forgetOldLeavers();
    /// Returns whether a later entry than @p listed was seen, or its server removed since.
    bool isOutdated(const ListedBackend &listed) const;
    void erase(const BackendServerId &id);
    void forgetOldRemovals();
    void endGrace();
    void removeFromService(const ServerPtr &server);

    EventLoop &loop_;
    std::map<BackendServerId, ServerPtr> servers_;
    std::map<ServiceId, std::vector<ServerPtr>> services_; ///< The same servers, by service.
    /// Servers to remove at the end of the grace period.
    std::map<BackendServerId, bool> missing_;
    std::map<BackendServerId, RemovedServer> removed_; ///< Within the last minute.
    std::map<BackendServerId, LeavingServer> leaving_;
    TimePoint graceUntil_{};
    TimePoint outdatedUntil_{}; ///< The list may contain outdated entries until then.
    Timers::HandlePtr graceTimer_;
};

} // namespace qz
