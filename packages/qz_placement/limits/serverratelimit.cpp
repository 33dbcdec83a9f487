// A token bucket of one request, filled at this instance's share of the server's rate.
#include "qz_placement/limits/serverratelimit.h"

#include <algorithm>

namespace qz {

namespace {

constexpr double ownerShare = 0.75;
constexpr double backupShare = 0.25;

/// A server that answers names its limit more often than this, if it still has one.
constexpr Duration maxSilence = std::chrono::seconds(10);
/// Several reports fit into maxSilence, because any of them may be lost.
constexpr Duration reportPeriod = std::chrono::seconds(3);

double shareOf(ServerRole role)
{
    switch (role) {
    case ServerRole::Owner:
        return ownerShare;
    case ServerRole::Backup:
        return backupShare;
    case ServerRole::None:
        break;
    }
    return 0.0;
}

} // namespace

bool ServerRateLimit::set(double requestsPerSecond, TimePoint now)
{
    const bool isNew = !this->requestsPerSecond(now);
    const bool isChanged = isNew || *requestsPerSecond_ != requestsPerSecond;
    if (isNew) {
        tokens_ = 0.0;
        tokensAt_ = now;
    }
    updateTokens(now);
    requestsPerSecond_ = requestsPerSecond;
    namedAt_ = now;
    return isChanged;
}

bool ServerRateLimit::clear(TimePoint now)
{
    const bool wasLimited = requestsPerSecond(now).has_value();
    requestsPerSecond_.reset();
    return wasLimited;
}

void ServerRateLimit::setRole(ServerRole role, TimePoint now)
{
    if (role != role_) {
        updateTokens(now);
        role_ = role;
    }
}

std::optional<double> ServerRateLimit::requestsPerSecond(TimePoint now) const
{
    return now - namedAt_ < maxSilence ? requestsPerSecond_ : std::nullopt;
}

double ServerRateLimit::ownRate() const
{
    return requestsPerSecond_.value_or(0.0) * shareOf(role_);
}

bool ServerRateLimit::canSend(TimePoint now) const
{
    return !requestsPerSecond(now) || tokens(now) >= 1.0;
}

void ServerRateLimit::recordSent(TimePoint now)
{
    if (requestsPerSecond(now)) {
        updateTokens(now);
        tokens_ -= 1.0;
    }
}

bool ServerRateLimit::isReportDue(TimePoint now) const
{
    return now - reportedAt_ >= reportPeriod;
}

std::optional<Duration> ServerRateLimit::timeUntilFree(TimePoint now) const
{
    if (canSend(now)) {
        return Duration::zero();
    }
    if (ownRate() <= 0.0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>((1.0 - tokens(now)) / ownRate()));
}

double ServerRateLimit::tokens(TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - tokensAt_).count();
    return std::min(1.0, tokens_ + elapsed * ownRate());
}

void ServerRateLimit::updateTokens(TimePoint now)
{
    tokens_ = tokens(now);
    tokensAt_ = now;
}

} // namespace qz
