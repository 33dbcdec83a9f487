// The signal mask of the main thread.
#include "qz_core/loop/heldsignals.h"

#include <csignal>
#include <initializer_list>

namespace qz {

namespace {

void changeMask(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : { SIGTERM, SIGINT, SIGHUP, SIGUSR1 }) {
        sigaddset(&signals, number);
    }
    pthread_sigmask(how, &signals, nullptr);
}

} // namespace

void holdSignals()
{
    changeMask(SIG_BLOCK);
}

void releaseSignals()
{
    changeMask(SIG_UNBLOCK);
}

} // namespace qz
