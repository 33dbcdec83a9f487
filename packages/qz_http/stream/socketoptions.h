// Options and state of TCP connections.
#pragma once

#include "qz_core/time/clock.h"

namespace qz {

/// Makes a connection that has gone silent end with an error: after about @p limit without
/// an acknowledgement of sent bytes, or of keep-alive probes while nothing is sent. Also
/// sends small writes at once. A failed option is logged.
void setSilenceLimit(int descriptor, Duration limit);

/// To be called a few times within @p limit while a request is under way. A peer that has closed
/// its window and acknowledges the probes of it is not silent: the limit then runs from its last
/// acknowledgement. Otherwise it is the one that was set.
void extendSilenceLimit(int descriptor, Duration limit);

/// Returns whether bytes have arrived that were not read yet.
bool hasUnreadBytes(int descriptor);

/// Sets whether closing the connection, also by the end of the process, resets it and drops what
/// is unsent. A failed option is logged.
void setResetOnClose(int descriptor, bool isReset);

} // namespace qz
