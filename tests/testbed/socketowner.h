// Which process has the other end of a connection on this machine.
#pragma once

#include <vector>

#include <sys/types.h>

namespace qz::testing {

/// Returns the one of @p processes that opened the loopback connection accepted as @p descriptor,
/// or zero if none of them did.
pid_t findSocketOwner(int descriptor, const std::vector<pid_t> &processes);

} // namespace qz::testing
