// Idle connections and unanswered requests of a backend server.
#include "qz_forward/backends/backend.h"

#include "qz_core/faults/faultpoint.h"

#include <algorithm>
#include <utility>

namespace qz {

namespace {

constexpr std::size_t idleLimit = 4; ///< Connections; servers take few in all.
/// How long an idle connection is kept if the server says nothing of it.
constexpr Duration defaultIdleTime = std::chrono::seconds(4);
/// A connection is not used so shortly before the server would close it.
constexpr Duration idleMargin = std::chrono::seconds(2);
/// An idle connection of this age may carry a request that is not repeatable. Servers that
/// forget idle connections do so after some tenths of a second at the earliest.
constexpr Duration provenTime = std::chrono::milliseconds(150);

} // namespace

Backend::Backend(EventLoop &loop, ListedBackend listed)
    : loop_(loop)
    , listed_(std::move(listed))
{
}

bool Backend::isOpen() const
{
    return isListed_ && (!listed_.isDraining_ || isFaultInjected(FaultPoint::LeavingIgnored));
}

void Backend::close()
{
    isListed_ = false;
    idle_.clear();
}

void Backend::beginRequest(TimePoint now)
{
    begun_.insert(now);
    lastSent_ = now;
}

void Backend::endRequest(TimePoint begunAt)
{
    const auto found = begun_.find(begunAt);
    if (found != begun_.end()) {
        begun_.erase(found);
    }
}

Duration Backend::oldestRequestAge(TimePoint now) const
{
    return begun_.empty() ? Duration::zero() : now - *begun_.begin();
}

bool Backend::isUsable(const BackendConnection &connection, TimePoint now) const
{
    const Duration kept = connection.keepAliveTime() > Duration::zero()
            ? connection.keepAliveTime() - idleMargin
            : defaultIdleTime;
    return connection.isReusable() && now - connection.idleSince() < kept;
}

std::unique_ptr<BackendConnection> Backend::takeIdleConnection(bool isRepeatable, TimePoint now)
{
    while (!idle_.empty()) {
        if (!isRepeatable && now - idle_.back()->idleSince() > provenTime) {
            break; // The others have been idle for longer.
        }
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        if (isUsable(*connection, now)) {
            return connection;
        }
    }
    return nullptr;
}

void Backend::returnConnection(std::unique_ptr<BackendConnection> connection)
{
    connection->setListener(nullptr);
    if (isOpen() && idle_.size() < idleLimit && connection->isReusable()) {
        idle_.push_back(std::move(connection));
    }
}

void Backend::closeStaleConnections(TimePoint now)
{
    const auto isStale = [this, now](const auto &connection) {
        return !isUsable(*connection, now);
    };
    idle_.erase(std::remove_if(idle_.begin(), idle_.end(), isStale), idle_.end());
}

} // namespace qz
