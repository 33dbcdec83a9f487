// Figures from lists of latencies.
#include "testbed/latencies.h"

#include <algorithm>

namespace qz::testing {

double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double percentile(std::vector<Duration> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return toMilliseconds(values[index]);
}

} // namespace qz::testing
