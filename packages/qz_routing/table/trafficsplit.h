// Splits a route's requests between services.
#pragma once

#include "qz_routing/table/routingtable.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace qz {

/// Gives each share its weight's part by smooth weighted round-robin: the part of any run of
/// requests differs from the weight by less than one request for each share. Each process
/// starts at a point of its own, so that many processes together are even as well.
class TrafficSplit
{
public:
    /// The service of the next request of @p route.
    const ServiceId &next(const RequestRoute &route, std::mt19937_64 &random);

private:
    /// Credits by share; they start anew when the shares of the route change.
    struct Credits
    {
        std::vector<TrafficShare> shares_;
        std::vector<double> values_;
    };
    static std::size_t step(const RequestRoute &route, Credits &credits);
    static Credits makeCredits(const RequestRoute &route, std::mt19937_64 &random);

    std::map<std::string, Credits> routes_; ///< By name; routes with one share are left out.
};

} // namespace qz
