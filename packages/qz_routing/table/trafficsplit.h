// Splits the requests of a route between services.
#pragma once

#include "qz_routing/table/routingtable.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace qz {

/// Distributes requests in proportion to the weights of the shares by smooth weighted round-robin.
/// In any sequence of requests, the number sent to each service differs from its exact share by
/// less than the number of shares. Each process starts at a random point of the sequence, so that
/// the requests of many processes together are balanced as well.
class TrafficSplit
{
public:
    /// Returns the service for the next request of @p route.
    const ServiceId &next(const RequestRoute &route, std::mt19937_64 &random);

private:
    /// Credits by share. They are reset when the shares of the route change.
    struct Credits
    {
        std::vector<TrafficShare> shares_;
        std::vector<double> values_;
    };
    static std::size_t step(const RequestRoute &route, Credits &credits);
    static Credits makeCredits(const RequestRoute &route, std::mt19937_64 &random);

    /// By route name; without routes that have a single share.
    std::map<std::string, Credits> routes_;
};

} // namespace qz
