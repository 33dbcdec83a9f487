// The routes of one configuration version.
#pragma once

#include "qz_core/errors/error.h"
#include "qz_core/ids/ids.h"
#include "qz_core/time/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace qz {

/// Version of a configuration; a later configuration has a higher one.
using ConfigVersion = std::uint64_t;

/// The share of a route's requests that is sent to one service.
struct TrafficShare
{
    ServiceId service_;
    double weight_ = 1.0; ///< Relative to the other shares; at least one of a route is above 0.
};

/// Services for the requests of one host and path prefix, and how these requests are handled.
struct RequestRoute
{
    std::string name_;
    std::string host_;          ///< Without a port, in lower case.
    std::string prefix_;        ///< Begins and ends with a slash.
    bool isRepeatable_ = false; ///< Whether a request may run more than once.
    Duration timeout_{};        ///< Maximum time until the caller gets an answer.
    Duration target_{};         ///< An answer within this time meets its target.
    int priority_ = 0;          ///< 0 is the most urgent.
    int maxAttempts_ = 1;       ///< Maximum number of backend servers that one request is sent to.
    std::vector<TrafficShare> shares_; ///< At least one.
};

/// Limits on what callers may send, set by the operator.
struct RequestLimits
{
    std::uint64_t headerBytes_ = 16384;
    std::uint64_t bodyBytes_ = std::uint64_t(64) * 1024 * 1024;
    Duration headerTimeout_ = std::chrono::seconds(10);
    Duration idleTimeout_ = std::chrono::seconds(60);
};

/// Finds the route of a request: the route of its host with the longest matching path prefix.
/// Immutable once built, so that a request uses one version until it ends.
/// @see RoutingTable::Builder
class RoutingTable
{
public:
    class Builder;

    ConfigVersion version() const { return version_; }
    const RequestLimits &limits() const { return limits_; }
    std::size_t routeCount() const { return routeCount_; }
    const std::set<ServiceId> &services() const { return services_; }

    /// Returns null if no route matches. The case and the port of @p host are ignored;
    /// @p path must not include the query. Does at most one lookup for each slash in the path.
    const RequestRoute *find(std::string_view host, std::string_view path) const;

private:
    using RoutesByPrefix = std::unordered_map<std::string, RequestRoute>;

    ConfigVersion version_ = 0;
    RequestLimits limits_;
    std::set<ServiceId> services_;
    std::unordered_map<std::string, RoutesByPrefix> hosts_;
    std::size_t routeCount_ = 0;
};

/// Collects and validates a configuration. build() fails with InvalidRules if
/// - a prefix does not begin and end with a slash,
/// - two routes have the same host and prefix,
/// - a timeout or target time is not above zero,
/// - the number of attempts is below one or the priority below zero,
/// - a route has no shares, or only shares with a weight of zero,
/// - a share has a negative weight or an unknown service.
class RoutingTable::Builder
{
public:
    Builder &setVersion(ConfigVersion version);
    Builder &setLimits(const RequestLimits &limits);
    Builder &addService(ServiceId service);
    Builder &addRoute(RequestRoute route);

    Result<std::shared_ptr<const RoutingTable>> build() const;

private:
    Result<void> check(const RequestRoute &route) const;

    ConfigVersion version_ = 0;
    RequestLimits limits_;
    std::set<ServiceId> services_;
    std::vector<RequestRoute> routes_;
};

} // namespace qz
