// Bookkeeping of idle connections and unanswered requests.
#include "qz_forward/backends/backend.h"

#include "qz_core/faults/faultpoint.h"

#include <algorithm>
#include <utility>

namespace qz {

namespace {

/// Number of idle connections to keep; servers accept only a few connections in total.
constexpr std::size_t maxIdleConnections = 4;
/// Idle time after which a connection is closed if the server sends no Keep-Alive timeout.
constexpr Duration defaultIdleTimeout = std::chrono::seconds(4);
/// A connection is no longer used this long before the server would close it.
constexpr Duration keepAliveMargin = std::chrono::seconds(2);
/// Longest idle time of a connection that may carry a request that is not repeatable. Some
/// servers drop idle connections without notice after a few tenths of a second.
constexpr Duration maxIdleTimeNonRepeatable = std::chrono::milliseconds(150);

} // namespace

Backend::Backend(EventLoop &loop, ListedBackend listed)
    : loop_(loop)
    , listed_(std::move(listed))
{
}

bool Backend::isOpen() const
{
    const bool isEnding = listed_.isDraining_ || isLeaving_;
    return isListed_ && (!isEnding || isFaultInjected(FaultPoint::LeavingIgnored));
}

void Backend::startLeaving()
{
    isLeaving_ = true;
    idle_.clear();
}

void Backend::close()
{
    isListed_ = false;
    idle_.clear();
}

void Backend::beginRequest(TimePoint now, TimePoint overdueAt)
{
    unanswered_.emplace(now, overdueAt);
    lastSent_ = now;
    rateLimit_.recordSent(now);
}

void Backend::endRequest(TimePoint startTime)
{
    const auto found = unanswered_.find(startTime);
    if (found != unanswered_.end()) {
        unanswered_.erase(found);
    }
}

std::optional<TimePoint> Backend::overdueRequestStart(TimePoint now) const
{
    const auto found = std::find_if(unanswered_.begin(), unanswered_.end(),
                                    [now](const auto &request) { return now > request.second; });
    return found == unanswered_.end() ? std::nullopt : std::optional(found->first);
}

Duration Backend::oldestRequestAge(TimePoint now) const
{
    return unanswered_.empty() ? Duration::zero() : now - unanswered_.begin()->first;
}

bool Backend::isUsable(const BackendConnection &connection, TimePoint now) const
{
    const Duration idleTimeout = connection.keepAliveTime() > Duration::zero()
            ? connection.keepAliveTime() - keepAliveMargin
            : defaultIdleTimeout;
    return connection.isReusable() && now - connection.idleSince() < idleTimeout;
}

std::unique_ptr<BackendConnection> Backend::takeIdleConnection(bool isRepeatable, TimePoint now)
{
    while (!idle_.empty()) {
        if (!isRepeatable && now - idle_.back()->idleSince() > maxIdleTimeNonRepeatable) {
            break; // All others have been idle for longer.
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
    if (isOpen() && idle_.size() < maxIdleConnections && connection->isReusable()) {
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
