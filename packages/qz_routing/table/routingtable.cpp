// Builds the routing table and looks up routes by host and path prefix.
#include "qz_routing/table/routingtable.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace qz {

namespace {

std::string normalizeHost(std::string_view host)
{
    std::string text(host.substr(0, host.find(':')));
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

Error invalid(const RequestRoute &route, const std::string &problem)
{
    return failure(ErrorKind::InvalidRules, "route " + route.name_ + ": " + problem);
}

} // namespace

const RequestRoute *RoutingTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = hosts_.find(normalizeHost(host));
    if (routes == hosts_.end()) {
        return nullptr;
    }
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        const auto found = routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != routes->second.end()) {
            return &found->second;
        }
        slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

RoutingTable::Builder &RoutingTable::Builder::setVersion(ConfigVersion version)
{
    version_ = version;
    return *this;
}

RoutingTable::Builder &RoutingTable::Builder::setLimits(const RequestLimits &limits)
{
    limits_ = limits;
    return *this;
}

RoutingTable::Builder &RoutingTable::Builder::addService(ServiceId service)
{
    services_.insert(std::move(service));
    return *this;
}

RoutingTable::Builder &RoutingTable::Builder::addRoute(RequestRoute route)
{
    route.host_ = normalizeHost(route.host_);
    routes_.push_back(std::move(route));
    return *this;
}

Result<void> RoutingTable::Builder::check(const RequestRoute &route) const
{
    if (route.prefix_.empty() || route.prefix_.front() != '/' || route.prefix_.back() != '/') {
        return invalid(route, "the prefix must begin and end with a slash");
    }
    if (route.timeout_ <= Duration::zero() || route.target_ <= Duration::zero()) {
        return invalid(route, "the timeout and the target time must be above zero");
    }
    if (route.maxAttempts_ < 1 || route.priority_ < 0) {
        return invalid(route,
                       "the number of attempts must be at least 1 and the priority at least 0");
    }
    if (route.shares_.empty()) {
        return invalid(route, "the route has no services");
    }
    for (const TrafficShare &share : route.shares_) {
        if (services_.count(share.service_) == 0) {
            return invalid(route, "unknown service " + share.service_.value());
        }
        if (share.weight_ < 0.0) {
            return invalid(route, "a weight is below zero");
        }
    }
    const bool hasWeight = std::any_of(route.shares_.begin(), route.shares_.end(),
                                       [](const auto &share) { return share.weight_ > 0.0; });
    return hasWeight ? Result<void>(success()) : invalid(route, "all weights are zero");
}

Result<std::shared_ptr<const RoutingTable>> RoutingTable::Builder::build() const
{
    auto table = std::make_shared<RoutingTable>();
    table->version_ = version_;
    table->limits_ = limits_;
    table->services_ = services_;
    table->routeCount_ = routes_.size();
    for (const RequestRoute &route : routes_) {
        BOOST_OUTCOME_TRY(check(route));
        if (!table->hosts_[route.host_].emplace(route.prefix_, route).second) {
            return invalid(route, "another route has the same host and prefix");
        }
    }
    return std::shared_ptr<const RoutingTable>(std::move(table));
}

} // namespace qz
