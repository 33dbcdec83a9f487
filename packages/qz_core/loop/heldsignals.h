// Signals that arrive before a daemon handles them.
#pragma once

namespace qz {

/// Keeps back the signals that daemons handle: SIGTERM, SIGINT, SIGHUP and SIGUSR1. To be called
/// first in main(), before there is any other thread. @see releaseSignals
void holdSignals();

/// Delivers the signals that were kept back, and further ones at once. To be called once their
/// handlers stand; without a handler a signal has its default action, which ends the process.
/// @see EventLoop::onSignal
void releaseSignals();

} // namespace qz
