// Counts ports up from one that depends on the process.
#include "testbed/listenports.h"

#include "qz_http/tests/rawsocket.h"

#include <unistd.h>

namespace qz::testing {

namespace {

constexpr int firstPort = 12000;
constexpr int portsOfAProcess = 110;
constexpr int portRanges = 180;

bool isFree(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = toAddress({ "127.0.0.1", port });
    const bool isBound =
            bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    evutil_closesocket(descriptor);
    return isBound;
}

} // namespace

std::uint16_t takeListenPort()
{
    static int next = firstPort + (getpid() % portRanges) * portsOfAProcess;
    while (!isFree(static_cast<std::uint16_t>(next))) {
        ++next;
    }
    return static_cast<std::uint16_t>(next++);
}

} // namespace qz::testing
