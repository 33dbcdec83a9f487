// The kinds of work, ranks, deployments and load cases of the flood simulation.
#pragma once

#include "qz_admission/queue/admissionrequest.h"

#include <array>
#include <string>
#include <vector>

namespace qz::floods {

constexpr std::size_t rankCount = 3;

/// One kind of request, with log-normally distributed service times.
struct WorkKind
{
    std::string name_;
    std::size_t rank_ = 0;
    Duration meanServiceTime_{};
    double worth_ = 1.0;
    double shareOfRank_ = 1.0; ///< Share of its rank's slot time.
    Duration deadline_{};
};

/// The backend servers and network delays of one deployment.
struct Deployment
{
    std::string name_;
    int slots_ = 1; ///< Per backend server.
    Duration withinRegion_{};
    Duration betweenRegions_{};
};

/// Offered slot time of each rank, as a fraction of the capacity of all servers.
using OfferedLoad = std::array<double, rankCount>;

struct FloodCase
{
    std::string name_;
    std::size_t floodingRank_ = 0;
    OfferedLoad load_{};
};

constexpr OfferedLoad baselineLoads{ 0.30, 0.25, 0.20 };

inline std::vector<RankShare> makeRanks()
{
    using std::chrono::milliseconds;
    return { { 0.5, milliseconds(200), 10.0 },
             { 0.2, milliseconds(800), 3.0 },
             { 0.1, milliseconds(3000), 1.0 } };
}

inline std::vector<WorkKind> makeKinds()
{
    using std::chrono::milliseconds;
    return { { "order", 0, milliseconds(40), 10.0, 0.5, milliseconds(2000) },
             { "loan-status", 0, milliseconds(20), 6.0, 0.5, milliseconds(2000) },
             { "availability", 1, milliseconds(60), 3.0, 0.5, milliseconds(4000) },
             { "stock-lookup", 1, milliseconds(30), 2.0, 0.5, milliseconds(4000) },
             { "catalogue", 2, milliseconds(50), 1.0, 0.5, milliseconds(10000) },
             { "pattern", 2, milliseconds(25), 1.0, 0.5, milliseconds(10000) } };
}

inline std::vector<Deployment> makeDeployments()
{
    using std::chrono::microseconds;
    return { { "nakhla", 2, microseconds(1000), microseconds(12000) },
             { "red-andina", 4, microseconds(1500), microseconds(12000) } };
}

/// Returns floods of 2, 5 and 10 times the total capacity, first of the least urgent rank and then
/// of the most urgent rank. The other ranks have the baseline load.
inline std::vector<FloodCase> makeFloodCases()
{
    std::vector<FloodCase> cases;
    for (const std::size_t rank : { rankCount - 1, std::size_t{ 0 } }) {
        for (const int factor : { 2, 5, 10 }) {
            FloodCase flood{ (rank == 0 ? "urgent " : "least ") + std::to_string(factor) + "x",
                             rank, baselineLoads };
            flood.load_.at(rank) = factor;
            cases.push_back(flood);
        }
    }
    return cases;
}

} // namespace qz::floods
