// The result of one request or probe as the gate observed it.
#pragma once

#include "qz_core/time/clock.h"

#include <cstdint>
#include <string>

namespace qz {

enum class ObservedResult : std::uint8_t {
    Succeeded,
    Shed,          ///< The server refused the request because of its load.
    Failed,        ///< The server responded with a 5xx status.
    TimedOut,      ///< No complete response before the deadline.
    ConnectFailed, ///< The connection could not be established.
    Cut,           ///< The connection was closed before the response was complete.
};

/// A completed request or probe.
struct Observation
{
    std::string kind_; ///< Kind of the request according to the rules.
    ObservedResult result_ = ObservedResult::Succeeded;
    Duration latency_{}; ///< From dispatch to completion.
    TimePoint at_;       ///< Time of completion.
};

} // namespace qz
