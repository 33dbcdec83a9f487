// The backend servers that are listed now, by service.
#pragma once

#include "qz_forward/backends/backend.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace qz {

/// Follows the platform's list. A change of a server's incarnation or address makes a new
/// Backend, which knows nothing of the one before.
///
/// While the list cannot be read the last one holds. Entries may lapse in that time though
/// their servers live; so for a grace time after reading works again a server that is
/// missing is kept.
/// @see ListedBackend
class BackendTable
{
public:
    using ServerPtr = std::shared_ptr<Backend>;

    explicit BackendTable(EventLoop &loop);

    /// Adds or changes one server.
    void put(const ListedBackend &listed);

    /// A server has left the list. In the grace time it is kept until that ends.
    void remove(const BackendServerId &id);

    /// The whole list; servers that are not in it have left.
    void replaceAll(const std::vector<ListedBackend> &listed);

    /// The list could not be read and can be read again from now on.
    void startRemovalGrace(Duration grace);

    /// Empty if nothing is listed for @p service.
    const std::vector<ServerPtr> &serversOf(const ServiceId &service) const;

    /// Null if it is not listed.
    ServerPtr find(const BackendServerId &id) const;

    std::size_t size() const { return servers_.size(); }
    const std::map<BackendServerId, ServerPtr> &all() const { return servers_; }

    /// Closes connections that have been idle for too long.
    void closeStaleConnections();

private:
    void erase(const BackendServerId &id);
    void endGrace();
    void detach(const ServerPtr &server);

    EventLoop &loop_;
    std::map<BackendServerId, ServerPtr> servers_;
    std::map<ServiceId, std::vector<ServerPtr>> services_; ///< The same servers.
    std::map<BackendServerId, bool> missing_;              ///< Left the list in the grace time.
    TimePoint graceUntil_{};
    Timers::HandlePtr graceEnd_;
};

} // namespace qz
