// Ports at which the processes of tests listen.
#pragma once

#include <cstdint>

namespace qz::testing {

/// Returns a port that was free a moment ago and that no other call of this process returns. It is
/// below those that the system gives to outgoing connections, so that it is still free when a
/// process listens there, also for the second time. Processes begin at different ones.
std::uint16_t takeListenPort();

} // namespace qz::testing
