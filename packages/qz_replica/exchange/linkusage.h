// Estimates how long an instance's network link is busy with the tables that it sends.
#pragma once

#include "qz_core/time/clock.h"

#include <cstddef>

namespace qz {

/// The outgoing side of a network link of known capacity. Its user sends only as much as the link
/// transfers within a short time, since all other messages and calls wait behind it.
/// @see ReplicaExchange
class LinkUsage
{
public:
    /// @p capacity is in Mbit/s.
    explicit LinkUsage(double capacity);

    /// Returns the time for which @p bytes occupy the link.
    Duration transferTime(std::size_t bytes) const;

    /// Returns how many messages of @p bytes each may be sent now: at least one if the link is
    /// idle, however large it is.
    std::size_t availableMessages(std::size_t bytes, TimePoint now) const;

    void recordSent(std::size_t bytes, TimePoint now);

private:
    const double capacity_;
    TimePoint busyUntil_{};
};

} // namespace qz
