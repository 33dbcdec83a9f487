// Durations as libevent takes them.
#pragma once

#include "qz_core/time/clock.h"

#include <sys/time.h>

namespace qz {

/// @p duration in whole microseconds.
timeval toTimeval(Duration duration);

} // namespace qz
