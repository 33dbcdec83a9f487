// Options and state of TCP connections.
#include "qz_http/stream/socketoptions.h"

#include "qz_core/logging/logger.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <optional>

namespace qz {

namespace {

constexpr int mostProbes = 2; ///< Keep-alive probes that may stay unanswered.

template<typename Value>
void setOption(int descriptor, int level, int name, const Value &value)
{
    if (setsockopt(descriptor, level, name, &value, sizeof value) != 0) {
        log(LogLevel::Warning, "socket-option-failed",
            { { "option", name }, { "reason", std::strerror(errno) } });
    }
}

/// Returns the system's record of a connection that stands, or nothing if it has none.
std::optional<tcp_info> readTcpInfo(int descriptor)
{
    static bool isSupported = true;
    tcp_info info{};
    socklen_t size = sizeof info;
    if (isSupported && getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        isSupported = errno != ENOPROTOOPT && errno != EOPNOTSUPP;
        log(LogLevel::Warning, "socket-option-failed",
            { { "option", TCP_INFO }, { "reason", std::strerror(errno) } });
        return std::nullopt;
    }
    // Zero outside of TCP's states: nothing was written.
    return info.tcpi_state == 0 ? std::nullopt : std::optional(info);
}

} // namespace

void setSilenceLimit(int descriptor, Duration limit)
{
    using namespace std::chrono;
    const auto whole = static_cast<int>(duration_cast<seconds>(limit).count());
    const int probeCount = std::clamp(whole - 1, 1, mostProbes);
    const int interval = std::max(1, whole / (probeCount + 1));
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, interval);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, interval);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probeCount);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(duration_cast<milliseconds>(limit).count()));
}

void extendSilenceLimit(int descriptor, Duration limit)
{
    using std::chrono::milliseconds;
    const auto info = readTcpInfo(descriptor);
    if (!info) {
        return;
    }
    // Everything that was sent is acknowledged, and the peer takes no more: it is probed.
    const bool isWindowClosed = info->tcpi_unacked == 0 && info->tcpi_notsent_bytes > 0;
    const auto answeredFor =
            milliseconds(info->tcpi_last_data_sent) - milliseconds(info->tcpi_last_ack_recv);
    const Duration extension = isWindowClosed && answeredFor > milliseconds::zero()
            ? std::chrono::duration_cast<Duration>(answeredFor)
            : Duration::zero();
    setOption(
            descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(std::chrono::duration_cast<milliseconds>(limit + extension).count()));
}

bool hasUnreadBytes(int descriptor)
{
    char byte = 0;
    return recv(descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void setResetOnClose(int descriptor, bool isReset)
{
    setOption(descriptor, SOL_SOCKET, SO_LINGER, linger{ isReset ? 1 : 0, 0 });
}

} // namespace qz
