// The routes of one version of the configuration.
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

/// The version of a configuration; later ones are higher.
using ConfigVersion = std::uint64_t;

/// The part of a route's requests that goes to one service.
struct TrafficShare
{
    ServiceId service_;
    double weight_ = 1.0; ///< Above 0; counts in relation to the other shares.
};

/// Where requests of one host and path prefix go, and what may be done with them.
struct RequestRoute
{
    std::string name_;
    std::string host_;                 ///< Without a port, in lower case.
    std::string prefix_;               ///< Begins and ends with a slash.
    bool isRepeatable_ = false;        ///< A request may run more than once.
    Duration timeout_{};               ///< A caller is not kept waiting longer.
    Duration target_{};                ///< An answer within this time is in target.
    int priority_ = 0;                 ///< 0 is the most urgent.
    int maxAttempts_ = 1;              ///< Backend servers that one request may be sent to.
    std::vector<TrafficShare> shares_; ///< At least one.
};

/// What callers may send, as the operator set it.
struct RequestLimits
{
    std::uint64_t headerBytes_ = 16384;
    std::uint64_t bodyBytes_ = std::uint64_t(64) * 1024 * 1024;
    Duration headerTimeout_ = std::chrono::seconds(10);
    Duration idleTimeout_ = std::chrono::seconds(60);
};

/// Finds the route of a request: of its host, with the longest prefix of its path.
/// Immutable once built, so that a request keeps the version that it began with.
/// @see RoutingTable::Builder
class RoutingTable
{
public:
    class Builder;

    ConfigVersion version() const { return version_; }
    const RequestLimits &limits() const { return limits_; }
    std::size_t routeCount() const { return routeCount_; }
    const std::set<ServiceId> &services() const { return services_; }

    /// Null if no route matches. @p host may carry a port and is matched without regard to
    /// case; @p path is without the query. Costs a lookup for each slash of the path.
    const RequestRoute *find(std::string_view host, std::string_view path) const;

private:
    using RoutesByPrefix = std::unordered_map<std::string, RequestRoute>;

    ConfigVersion version_ = 0;
    RequestLimits limits_;
    std::set<ServiceId> services_;
    std::unordered_map<std::string, RoutesByPrefix> hosts_;
    std::size_t routeCount_ = 0;
};

/// Collects and checks a configuration. Errors of build(), all of kind InvalidRules: a
/// prefix without its slashes, two routes for one place, a share of an unknown service or
/// without weight, a time limit that is not above zero.
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
