// Measurements of a fleet of separate processes, each against its stated goal.
#pragma once

#include <cstdint>
#include <string>

namespace qz::testing {

struct MeasureContext
{
    std::string daemon_;
    std::string logs_;
    std::uint64_t seed_ = 1;
};

/// Prints the latency that the fleet adds to a request, beside direct calls in the same run,
/// and what an instance costs at rest for several sizes of the fleet.
void runMeasurements(const MeasureContext &context);

} // namespace qz::testing
