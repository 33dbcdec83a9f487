// Limits of peer links in bytes and time.
#pragma once

#include "qz_core/time/clock.h"

#include <cstddef>

namespace qz {

/// What a peer link may take and how long it waits.
/// @see PeerLinks
struct LinkLimits
{
    std::size_t maxFrameBytes_ = std::size_t(2) * 1024 * 1024;
    std::size_t maxOutputBytes_ = std::size_t(8) * 1024 * 1024; ///< Queued for one peer.
    std::size_t maxHandshakes_ = 256; ///< Accepted links that have not proved the key yet.
    Duration connectLimit_ = std::chrono::seconds(1);   ///< Less than handshakeLimit_.
    Duration handshakeLimit_ = std::chrono::seconds(3); ///< From the first dial to the proof.
    /// A heartbeat goes out if something was sent and nothing was received for so long.
    Duration heartbeatPeriod_ = std::chrono::seconds(1);
    /// A heartbeat goes out this long after the last one, whatever else was received.
    Duration idleHeartbeatPeriod_ = std::chrono::seconds(20);
    /// A heartbeat's wait for its answer, and sent bytes' wait for the peer's TCP.
    Duration heartbeatLimit_ = std::chrono::seconds(3);
    Duration minBackoff_ = std::chrono::milliseconds(100); ///< After the first failed dial.
    Duration maxBackoff_ = std::chrono::seconds(2);
};

} // namespace qz
