// Figures from lists of latencies.
#pragma once

#include "qz_core/time/clock.h"

#include <vector>

namespace qz::testing {

double toMilliseconds(Duration duration);

/// The value below which @p share of @p values lie, in milliseconds; 0 for none.
double percentile(std::vector<Duration> values, double share);

} // namespace qz::testing
