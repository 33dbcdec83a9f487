// What a gate saw of one request to its backend server.
#pragma once

#include "qz_core/time/clock.h"

#include <cstdint>
#include <string>

namespace qz {

enum class ObservedResult : std::uint8_t {
    Succeeded,
    Shed,          ///< The server refused the request for load.
    Failed,        ///< The server answered with a 5xx status.
    TimedOut,      ///< No whole answer before the deadline.
    ConnectFailed, ///< No connection was made.
    Cut,           ///< The connection ended before the answer did.
};

/// One ended request, or one ended probe.
struct Observation
{
    std::string kind_; ///< Kind of work by the rules.
    ObservedResult result_ = ObservedResult::Succeeded;
    Duration latency_{}; ///< From dispatch until the end.
    TimePoint at_;       ///< When it ended.
};

} // namespace qz
